//! What becomes of a call: its answer, its end, or another attempt.

use crate::reducer::EntryReducer;
use crate::routing::count_events;
use crate::{AnswerPart, CallKey, EntryEffect, Refusal, RefusalKind};
use egretstage_link::LinkKey;
use egretstage_routing::CallResult;
use egretstage_wire::{AnswerHead, Chunk, NotRunReason, Outcome, StreamEnd, UnknownReason};
use std::time::{Duration, Instant};

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

impl EntryReducer {
    pub(crate) fn head(&mut self, link: LinkKey, head: AnswerHead, fx: &mut Vec<EntryEffect>) {
        let Some(key) = self.call_on(link, head.stream) else {
            return;
        };
        let call = self.calls.get_mut(key).expect("the call was just found");
        if std::mem::replace(&mut call.head_passed, true) {
            return;
        }
        let content_type = head.content_type.as_deref();
        call.streamed = content_type.is_some_and(|t| t.starts_with(EVENT_STREAM));
        let part = AnswerPart::Head {
            status: head.status,
            content_type: head.content_type,
        };
        fx.push(EntryEffect::Answer { call: key, part });
    }

    pub(crate) fn chunk(&mut self, link: LinkKey, chunk: Chunk, fx: &mut Vec<EntryEffect>) {
        let Some(key) = self.call_on(link, chunk.stream) else {
            return;
        };
        let call = self.calls.get_mut(key).expect("the call was just found");
        if !call.head_passed || chunk.offset != call.received_bytes {
            fx.push(EntryEffect::Close(link));
            return;
        }
        call.received_bytes += chunk.bytes.len() as u64;
        if call.streamed {
            call.events += count_events(&chunk.bytes);
        }
        call.received_chunks += 1;
        self.first_token(key);
        let part = AnswerPart::Bytes(chunk.bytes);
        fx.push(EntryEffect::Answer { call: key, part });
    }

    /// Notes that an answer has begun, so that its prefill is done.
    pub(crate) fn first_token(&mut self, key: CallKey) {
        let call = self.calls.get_mut(key);
        if let Some(sent) = call.and_then(|call| call.sent.as_mut())
            && let Some(runner) = self.runners.get_mut(sent.runner)
        {
            runner.tracker.record_first_token(&mut sent.work);
        }
    }

    pub(crate) fn end(
        &mut self,
        now: Instant,
        link: LinkKey,
        end: &StreamEnd,
        fx: &mut Vec<EntryEffect>,
    ) {
        let Some(key) = self.call_on(link, end.stream) else {
            return;
        };
        let call = self.calls.get(key).expect("the call was just found");
        let whole = call.head_passed && call.received_bytes == end.body_bytes;
        match end.outcome {
            Outcome::Completed if whole => {
                self.router.completed(call);
                self.release(key, CallResult::Completed);
                self.finish(key, AnswerPart::End, fx);
            }
            Outcome::Completed => self.lost(now, key, UnknownReason::AnswerForgotten, fx),
            Outcome::NotRun {
                reason,
                retry_after_ms,
            } => self.not_run(now, key, reason, retry_after_ms, fx),
            Outcome::Unknown { reason } => self.lost(now, key, reason, fx),
        }
    }

    /// Ends a call with its final answer part.
    pub(crate) fn finish(&mut self, key: CallKey, part: AnswerPart, fx: &mut Vec<EntryEffect>) {
        self.release(key, CallResult::Neutral);
        if self.calls.remove(key).is_some() {
            fx.push(EntryEffect::Answer { call: key, part });
        }
    }

    /// Gives back the place that a call has at its runner.
    pub(crate) fn release(&mut self, key: CallKey, result: CallResult) {
        let sent = self.calls.get(key).and_then(|call| call.sent);
        if let Some(sent) = sent
            && let Some(runner) = self.runners.get_mut(sent.runner)
        {
            runner.tracker.record_end(sent.work, result);
        }
        self.calls.set_sent(key, None);
    }

    /// Handles a call that was proved not to have run: sends it elsewhere or
    /// refuses it.
    pub(crate) fn not_run(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: NotRunReason,
        retry_after_ms: Option<u64>,
        fx: &mut Vec<EntryEffect>,
    ) {
        let retry_after = retry_after_ms.map(Duration::from_millis);
        self.note_refusal(now, key, reason, retry_after);
        let result = match reason {
            NotRunReason::UpstreamUnreachable => CallResult::Failed,
            _ => CallResult::Neutral,
        };
        self.release(key, result);
        if self
            .calls
            .get(key)
            .is_some_and(|call| call.digest.is_some())
        {
            self.keyed_not_run(now, key, reason, fx);
            return;
        }
        let elsewhere = matches!(
            reason,
            NotRunReason::Leaving | NotRunReason::UpstreamUnreachable | NotRunReason::Overloaded
        );
        let planned = reason == NotRunReason::Leaving;
        if elsewhere && self.may_retry(now, key) && (planned || self.take_retry(key)) {
            self.route(now, key, fx);
            return;
        }
        self.refuse_call(key, reason, retry_after, fx);
    }

    /// Remembers that an upstream has no place for an organisation for a time.
    pub(crate) fn note_refusal(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: NotRunReason,
        retry_after: Option<Duration>,
    ) {
        let (Some(call), Some(time)) = (self.calls.get(key), retry_after) else {
            return;
        };
        if let Some(sent) = call.sent.filter(|_| reason == NotRunReason::Overloaded)
            && let Some(runner) = self.runners.get_mut(sent.runner)
        {
            runner.tracker.record_refusal(now, &call.organisation, time);
        }
    }

    pub(crate) fn may_retry(&self, now: Instant, key: CallKey) -> bool {
        let max_attempts = self.router.limits().max_attempts;
        self.calls.get(key).is_some_and(|call| {
            !call.head_passed && call.attempts < max_attempts && call.deadline > now
        })
    }

    /// Takes a retry from the budget of the call's service.
    pub(crate) fn take_retry(&mut self, key: CallKey) -> bool {
        let call = self.calls.get(key);
        call.is_some_and(|call| self.router.take_retry(&call.service))
    }

    /// Handles a call whose answer is lost: sends it again if that is allowed.
    pub(crate) fn lost(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: UnknownReason,
        fx: &mut Vec<EntryEffect>,
    ) {
        self.release(key, CallResult::Failed);
        let never_arrived = reason == UnknownReason::AnswerForgotten;
        let may_retry = self.may_retry(now, key) || never_arrived;
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.doubt = Some(reason);
        let (head_passed, repeatable) = (call.head_passed, call.repeatable);
        let keyed = call.digest.is_some();
        if head_passed {
            self.finish(key, AnswerPart::Cut, fx);
        } else if keyed {
            self.keyed_unknown(key, reason, fx);
        } else if repeatable && may_retry && self.take_retry(key) {
            self.route(now, key, fx);
        } else {
            let refusal = Refusal {
                kind: RefusalKind::Unknown(reason),
                retry_after: None,
            };
            self.finish(key, AnswerPart::Refused(refusal), fx);
        }
    }
}

//! The outcome of a call: its answer, its end, or another attempt.

use crate::reducer::EntryReducer;
use crate::routing::count_events;
use crate::{AnswerPart, CallKey, EntryEffect, Refusal, RefusalKind};
use egretstage_link::LinkKey;
use egretstage_routing::CallResult;
use egretstage_wire::{AnswerHead, Chunk, NotRunReason, Outcome, StreamEnd, UnknownReason};
use std::time::{Duration, Instant};

/// Media type of a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

impl EntryReducer {
    pub(crate) fn handle_head(
        &mut self,
        link: LinkKey,
        head: AnswerHead,
        fx: &mut Vec<EntryEffect>,
    ) {
        let Some(key) = self.find_call(link, head.stream) else {
            return;
        };
        let call = self.calls.get_mut(key).expect("the call was just found");
        if std::mem::replace(&mut call.head_forwarded, true) {
            return;
        }
        let content_type = head.content_type.as_deref();
        call.is_event_stream = content_type.is_some_and(|t| t.starts_with(EVENT_STREAM));
        let part = AnswerPart::Head {
            status: head.status,
            content_type: head.content_type,
        };
        fx.push(EntryEffect::Answer { call: key, part });
    }

    pub(crate) fn handle_chunk(&mut self, link: LinkKey, chunk: Chunk, fx: &mut Vec<EntryEffect>) {
        let Some(key) = self.find_call(link, chunk.stream) else {
            return;
        };
        let call = self.calls.get_mut(key).expect("the call was just found");
        if !call.head_forwarded || chunk.offset != call.received_bytes {
            fx.push(EntryEffect::Close(link));
            return;
        }
        call.received_bytes += chunk.bytes.len() as u64;
        if call.is_event_stream {
            call.received_events += count_events(&chunk.bytes);
        }
        call.received_chunks += 1;
        self.record_first_token(key);
        let part = AnswerPart::Bytes(chunk.bytes);
        fx.push(EntryEffect::Answer { call: key, part });
    }

    /// Records that an answer has begun, so that the call's prefill is done.
    pub(crate) fn record_first_token(&mut self, key: CallKey) {
        let call = self.calls.get_mut(key);
        if let Some(sent) = call.and_then(|call| call.sent.as_mut())
            && let Some(upstream) = self.upstreams.get_mut(sent.upstream)
        {
            upstream.tracker.record_first_token(&mut sent.in_flight);
        }
    }

    pub(crate) fn handle_end(
        &mut self,
        now: Instant,
        link: LinkKey,
        end: &StreamEnd,
        fx: &mut Vec<EntryEffect>,
    ) {
        let Some(key) = self.find_call(link, end.stream) else {
            return;
        };
        let call = self.calls.get(key).expect("the call was just found");
        let is_whole = call.head_forwarded && call.received_bytes == end.body_bytes;
        match end.outcome {
            Outcome::Completed if is_whole => {
                self.router.record_completed(call);
                self.end_attempt(key, CallResult::Completed);
                self.finish_call(key, AnswerPart::End, fx);
            }
            Outcome::Completed => {
                self.handle_lost_answer(now, key, UnknownReason::AnswerForgotten, fx);
            }
            Outcome::NotRun {
                reason,
                retry_after_ms,
            } => self.handle_not_run(now, key, reason, retry_after_ms, fx),
            Outcome::Unknown { reason } => self.handle_lost_answer(now, key, reason, fx),
        }
    }

    /// Ends a call with the final part of its answer.
    pub(crate) fn finish_call(
        &mut self,
        key: CallKey,
        part: AnswerPart,
        fx: &mut Vec<EntryEffect>,
    ) {
        self.end_attempt(key, CallResult::Neutral);
        if self.calls.remove(key).is_some() {
            fx.push(EntryEffect::Answer { call: key, part });
        }
    }

    /// Records the end of a call's current attempt with its upstream, if it
    /// has one.
    pub(crate) fn end_attempt(&mut self, key: CallKey, result: CallResult) {
        let sent = self.calls.get(key).and_then(|call| call.sent);
        if let Some(sent) = sent
            && let Some(upstream) = self.upstreams.get_mut(sent.upstream)
        {
            upstream.tracker.record_end(sent.in_flight, result);
        }
        self.calls.set_sent(key, None);
    }

    /// Handles a call that certainly didn't run: sends it to another upstream or
    /// refuses it.
    pub(crate) fn handle_not_run(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: NotRunReason,
        retry_after_ms: Option<u64>,
        fx: &mut Vec<EntryEffect>,
    ) {
        let retry_after = retry_after_ms.map(Duration::from_millis);
        self.record_refusal(now, key, reason, retry_after);
        let result = match reason {
            NotRunReason::UpstreamUnreachable => CallResult::Failed,
            _ => CallResult::Neutral,
        };
        self.end_attempt(key, result);
        if self
            .calls
            .get(key)
            .is_some_and(|call| call.key_digest.is_some())
        {
            self.handle_keyed_not_run(now, key, reason, fx);
            return;
        }
        let may_run_elsewhere = matches!(
            reason,
            NotRunReason::Leaving | NotRunReason::UpstreamUnreachable | NotRunReason::Overloaded
        );
        let is_planned_stop = reason == NotRunReason::Leaving;
        if may_run_elsewhere
            && self.may_retry(now, key)
            && (is_planned_stop || self.take_retry(key))
        {
            self.route(now, key, fx);
            return;
        }
        self.refuse_call(key, reason, retry_after, fx);
    }

    /// Records that an overloaded upstream refuses an organisation's calls for a
    /// time.
    pub(crate) fn record_refusal(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: NotRunReason,
        retry_after: Option<Duration>,
    ) {
        let (Some(call), Some(duration)) = (self.calls.get(key), retry_after) else {
            return;
        };
        if let Some(sent) = call.sent.filter(|_| reason == NotRunReason::Overloaded)
            && let Some(upstream) = self.upstreams.get_mut(sent.upstream)
        {
            upstream
                .tracker
                .record_refusal(now, &call.organisation, duration);
        }
    }

    /// Returns whether a call may be sent once more.
    pub(crate) fn may_retry(&self, now: Instant, key: CallKey) -> bool {
        let max_attempts = self.router.limits().max_attempts;
        self.calls.get(key).is_some_and(|call| {
            !call.head_forwarded && call.attempts < max_attempts && call.deadline > now
        })
    }

    /// Takes a retry from the budget of the call's service; returns whether
    /// there was one.
    pub(crate) fn take_retry(&mut self, key: CallKey) -> bool {
        let call = self.calls.get(key);
        call.is_some_and(|call| self.router.take_retry(&call.service))
    }

    /// Handles a call whose answer is lost: sends it again if that is safe and
    /// allowed, else ends it.
    pub(crate) fn handle_lost_answer(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: UnknownReason,
        fx: &mut Vec<EntryEffect>,
    ) {
        self.end_attempt(key, CallResult::Failed);
        let answer_forgotten = reason == UnknownReason::AnswerForgotten;
        let may_retry = self.may_retry(now, key) || answer_forgotten;
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.unknown_reason = Some(reason);
        let (head_forwarded, repeatable) = (call.head_forwarded, call.repeatable);
        let keyed = call.key_digest.is_some();
        if head_forwarded {
            self.finish_call(key, AnswerPart::Cut, fx);
        } else if keyed {
            self.refuse_as_unknown(key, reason, fx);
        } else if repeatable && may_retry && self.take_retry(key) {
            self.route(now, key, fx);
        } else {
            let refusal = Refusal {
                kind: RefusalKind::Unknown(reason),
                retry_after: None,
            };
            self.finish_call(key, AnswerPart::Refused(refusal), fx);
        }
    }
}

//! Calls whose link was lost, and answers resumed over a new link.

use crate::calls::WaitReason;
use crate::reducer::EntryReducer;
use crate::sending::INITIAL_CREDIT_CHUNKS;
use crate::upstreams::{RESUME_TIMEOUT, UpstreamKey};
use crate::{CallKey, EntryEffect};
use egretstage_link::LinkId;
use egretstage_routing::CallResult;
use egretstage_wire::{Frame, UnknownReason};
use std::time::Instant;

impl EntryReducer {
    pub(crate) fn handle_link_down(
        &mut self,
        now: Instant,
        link: LinkId,
        fx: &mut Vec<EntryEffect>,
    ) {
        let calls = self.calls.keys_on_link(link);
        self.upstreams.link_down(now, link, !calls.is_empty());
        for key in calls {
            self.handle_lost_link(now, key, fx);
        }
    }

    /// Decides on a call whose link was lost.
    ///
    /// A call whose answer has begun waits for a new link, and so does one
    /// without a key that isn't repeatable or can't be sent again now. Any
    /// other call is sent again.
    fn handle_lost_link(&mut self, now: Instant, key: CallKey, fx: &mut Vec<EntryEffect>) {
        let cannot_retry = !self.may_retry(now, key) || !self.has_candidate(now, key);
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let keyed = call.key_digest.is_some();
        if call.head_forwarded || (!keyed && (cannot_retry || !call.repeatable)) {
            let wait = (now + RESUME_TIMEOUT, WaitReason::Link);
            self.calls.set_wait(key, Some(wait));
        } else if keyed {
            call.unknown_reason = Some(UnknownReason::LinkLost);
            self.end_attempt(key, CallResult::Failed);
            self.route_keyed(now, key, fx);
        } else {
            self.handle_lost_answer(now, key, UnknownReason::LinkLost, fx);
        }
    }

    /// Resumes the calls that wait for a companion; if it has restarted, their
    /// answers are lost.
    pub(crate) fn resume_calls(
        &mut self,
        now: Instant,
        link: LinkId,
        upstream_key: UpstreamKey,
        fx: &mut Vec<EntryEffect>,
    ) {
        let incarnation = self.upstreams.get(upstream_key).and_then(|u| u.incarnation);
        for key in self.calls.keys_awaiting_link(upstream_key) {
            let call = self.calls.get(key).expect("the call was just found");
            let Some(mut sent) = call.sent else {
                continue;
            };
            self.calls.set_wait(key, None);
            if incarnation != Some(sent.incarnation) {
                self.handle_lost_answer(now, key, UnknownReason::LinkLost, fx);
                continue;
            }
            sent.link = link;
            self.calls.set_sent(key, Some(sent));
            let call = self.calls.get(key).expect("the call was just found");
            let unread = call.received_chunks.saturating_sub(call.read_chunks);
            let frame = Frame::Resume {
                stream: sent.stream,
                offset: call.received_bytes,
                credit: INITIAL_CREDIT_CHUNKS.saturating_sub(unread),
            };
            fx.push(EntryEffect::Send { link, frame });
        }
    }

    /// Handles the calls whose wait has ended.
    pub(crate) fn handle_elapsed_waits(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        while let Some((key, wait)) = self.calls.take_elapsed_wait(now) {
            match wait {
                WaitReason::Owner => self.route_keyed(now, key, fx),
                WaitReason::Link => self.handle_lost_answer(now, key, UnknownReason::LinkLost, fx),
            }
        }
    }
}

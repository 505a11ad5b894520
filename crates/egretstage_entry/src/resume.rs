//! Calls whose link is lost, and answers that go on over a new link.

use crate::calls::Wait;
use crate::reducer::EntryReducer;
use crate::runners::{RESUME_TIMEOUT, RunnerKey};
use crate::sending::INITIAL_CREDIT_CHUNKS;
use crate::{CallKey, EntryEffect};
use egretstage_link::LinkKey;
use egretstage_routing::CallResult;
use egretstage_wire::{Frame, UnknownReason};
use std::time::Instant;

impl EntryReducer {
    pub(crate) fn link_down(&mut self, now: Instant, link: LinkKey, fx: &mut Vec<EntryEffect>) {
        let calls = self.calls.on_link(link);
        self.runners.link_down(now, link, !calls.is_empty());
        for key in calls {
            self.call_lost_link(now, key, fx);
        }
    }

    /// Decides on a call whose link is lost: one whose answer has begun, which
    /// may not be repeated or can go nowhere else waits for the link; any
    /// other is sent again.
    fn call_lost_link(&mut self, now: Instant, key: CallKey, fx: &mut Vec<EntryEffect>) {
        let stuck = !self.may_retry(now, key) || !self.has_candidate(now, key);
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let keyed = call.digest.is_some();
        if call.head_passed || (!keyed && (stuck || !call.repeatable)) {
            let wait = (now + RESUME_TIMEOUT, Wait::Link);
            self.calls.set_wait(key, Some(wait));
        } else if keyed {
            call.doubt = Some(UnknownReason::LinkLost);
            self.release(key, CallResult::Failed);
            self.route_keyed(now, key, fx);
        } else {
            self.lost(now, key, UnknownReason::LinkLost, fx);
        }
    }

    /// Resumes the calls that wait for a companion, unless it was restarted.
    pub(crate) fn resume_calls(
        &mut self,
        now: Instant,
        link: LinkKey,
        runner_key: RunnerKey,
        fx: &mut Vec<EntryEffect>,
    ) {
        let incarnation = self.runners.get(runner_key).and_then(|r| r.incarnation);
        for key in self.calls.awaiting_link(runner_key) {
            let call = self.calls.get(key).expect("the call was just found");
            let Some(mut sent) = call.sent else {
                continue;
            };
            self.calls.set_wait(key, None);
            if incarnation != Some(sent.incarnation) {
                self.lost(now, key, UnknownReason::LinkLost, fx);
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

    /// Handles the calls that have waited long enough.
    pub(crate) fn end_waits(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        while let Some((key, wait)) = self.calls.take_wait(now) {
            match wait {
                Wait::Owner => self.route_keyed(now, key, fx),
                Wait::Link => self.lost(now, key, UnknownReason::LinkLost, fx),
            }
        }
    }
}

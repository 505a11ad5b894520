//! A planned stop: no call that was taken is cut off.

use super::Dispatcher;
use crate::{DecisionLine, DispatchEffect};
use std::time::Instant;

/// How far a stop is.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stopping {
    pub(super) since: Instant,
    closing: bool,
    told: bool,
}

impl Dispatcher {
    pub(super) fn stop(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(Stopping {
            since: now,
            closing: false,
            told: false,
        });
        fx.push(DispatchEffect::Log(Box::new(DecisionLine {
            verb: "stop",
            waiting: Some(self.calls.len()),
            ..DecisionLine::default()
        })));
    }

    /// Tells whether a stop is too far for a stream to end before it.
    pub(super) fn is_too_late_for_streams(&self, now: Instant) -> bool {
        let limit = self.limits.refuse_streams_after;
        self.stopping.is_some_and(|stop| now >= stop.since + limit)
    }

    pub(super) fn go_on_stopping(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        let Some(stop) = &mut self.stopping else {
            return;
        };
        let passed = now.saturating_duration_since(stop.since);
        if !stop.closing && passed >= self.limits.close_after {
            stop.closing = true;
            fx.push(DispatchEffect::CloseConnections);
        }
        let done = self.calls.is_empty() && passed >= self.limits.refuse_streams_after;
        if !stop.told && (done || passed >= self.limits.stop_within) {
            stop.told = true;
            fx.push(DispatchEffect::Stopped);
        }
    }
}

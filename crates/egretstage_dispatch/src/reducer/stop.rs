//! A planned stop, which lets accepted calls end first.
//!
//! Load pattern: callers keep sending on open connections until the process is gone, and some
//! bodies arrive late. The stop lasts while the body of a request is being read. A request
//! that has arrived when the stop is complete is refused, since its answer could be cut.

use super::Dispatcher;
use super::calls::Call;
use crate::{CallKey, DecisionLine, DispatchEffect, RefusalKind};
use smallvec::SmallVec;
use std::time::Instant;

/// Progress of a stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stopping {
    pub(super) since: Instant,
    /// Whether callers were asked to send no more requests.
    connections_closed: bool,
    /// Whether the stop was reported as complete.
    completed: bool,
}

impl Dispatcher {
    pub(super) fn begin_stop(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(Stopping {
            since: now,
            connections_closed: false,
            completed: false,
        });
        self.start_limits.set_stopping();
        fx.push(DispatchEffect::Log(Box::new(DecisionLine {
            verb: "stop",
            waiting: Some(self.calls.len()),
            ..DecisionLine::default()
        })));
    }

    /// Returns whether a call that arrives now might not end before the process does.
    ///
    /// Calls that arrive soon after the stop request are accepted: the platform's balancer
    /// still sends some then, and most of them end long before they expire. None is accepted
    /// once the stop is complete.
    pub(super) fn is_too_late(&self, now: Instant, call: &Call) -> bool {
        let is_too_late = |stop: Stopping| {
            let end = stop.since + self.limits.stop_within;
            let is_late = now >= stop.since + self.limits.refuse_streams_after;
            stop.completed || is_late && (call.is_stream() || call.expires() > end)
        };
        self.stopping.is_some_and(is_too_late)
    }

    pub(super) fn continue_stop(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        let Some(stop) = &mut self.stopping else {
            return;
        };
        let elapsed = now.saturating_duration_since(stop.since);
        if !stop.connections_closed && elapsed >= self.limits.close_connections_after {
            stop.connections_closed = true;
            fx.push(DispatchEffect::CloseConnections);
        }
        let owes_nothing = self.calls.is_empty() && self.reading.is_empty();
        let is_idle = owes_nothing && elapsed >= self.limits.refuse_streams_after;
        if !stop.completed && (is_idle || elapsed >= self.limits.stop_within) {
            stop.completed = true;
            self.end_remaining_calls(now, fx);
            fx.push(DispatchEffect::Stopped);
        }
    }

    /// Ends the calls that are left at the end of the stop, so that each has an answer before
    /// the process ends.
    fn end_remaining_calls(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        let calls = self.calls.iter();
        let calls = calls.map(|(key, call)| (call.maybe_runs(), *key));
        let mut calls: SmallVec<[(bool, CallKey); 8]> = calls.collect();
        // The waiting ones come first: a call that ends starts the next one.
        calls.sort_unstable();
        for (maybe_runs, key) in calls {
            let kind = if maybe_runs {
                RefusalKind::ExpiredUnknown
            } else {
                RefusalKind::Stopping
            };
            self.refuse(now, key, kind, fx);
        }
    }
}

//! A planned stop, which lets accepted calls end first.

use super::Dispatcher;
use crate::{DecisionLine, DispatchEffect};
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

    /// Returns whether a stream that starts now might not end before the process
    /// ends.
    pub(super) fn is_too_late_for_streams(&self, now: Instant) -> bool {
        let limit = self.limits.refuse_streams_after;
        self.stopping.is_some_and(|stop| now >= stop.since + limit)
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
        let is_idle = self.calls.is_empty() && elapsed >= self.limits.refuse_streams_after;
        if !stop.completed && (is_idle || elapsed >= self.limits.stop_within) {
            stop.completed = true;
            fx.push(DispatchEffect::Stopped);
        }
    }
}

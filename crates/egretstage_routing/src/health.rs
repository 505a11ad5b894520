//! Whether an upstream answers as it should.

use crate::{EjectionLimits, Ewma};
use std::time::{Duration, Instant};

/// What became of a call, as far as it tells of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The answer was whole.
    Completed,
    /// The upstream failed to answer.
    Failed,
    /// It says nothing of the upstream: refused, or given up by the caller.
    Neutral,
}

/// Weight of the newest call in the share of failures.
const FAILURE_WEIGHT: f32 = 0.2;

/// How much work an upstream is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy,
    Ejected { until: Instant },
    Returning { since: Instant },
}

/// The record of one upstream's failures and ejections.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    failures: Ewma,
    samples: u32,
    ejections: u32,
    state: State,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: Ewma::new(FAILURE_WEIGHT),
            samples: 0,
            ejections: 0,
            state: State::Healthy,
        }
    }
}

impl Health {
    /// Notes the end of a call.
    pub fn record_result(&mut self, result: CallResult) {
        let sample = match result {
            CallResult::Completed => 0.0,
            CallResult::Failed => 1.0,
            CallResult::Neutral => return,
        };
        self.failures.add(sample);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the share of calls that failed, once there are enough of them.
    pub(crate) fn failure_share(&self, min_calls: u32) -> Option<f32> {
        self.failures.get().filter(|_| self.samples >= min_calls)
    }

    /// Tells whether the upstream gets no work.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        matches!(self.state, State::Ejected { until } if until > now)
    }

    /// Ejects the upstream, longer each time.
    pub(crate) fn eject(&mut self, now: Instant, limits: &EjectionLimits) {
        let factor = 1 << self.ejections.min(8);
        let time = limits
            .max_ejection_time
            .min(limits.base_ejection_time * factor);
        self.ejections = self.ejections.saturating_add(1);
        self.state = State::Ejected { until: now + time };
        self.failures = Ewma::new(FAILURE_WEIGHT);
        self.samples = 0;
    }

    /// Moves on from an ejection or a return whose time is over.
    pub(crate) fn settle(&mut self, now: Instant, limits: &EjectionLimits) {
        match self.state {
            State::Ejected { until } if until <= now => {
                self.state = State::Returning { since: until };
            }
            State::Returning { since } if since + limits.slow_start_window <= now => {
                self.state = State::Healthy;
                self.ejections = self.ejections.saturating_sub(1);
            }
            _ => {}
        }
    }

    /// Returns the share of its usual work that the upstream is given.
    #[must_use]
    pub fn admitted_share(&self, now: Instant, slow_start_window: Duration) -> f32 {
        match self.state {
            State::Healthy => 1.0,
            State::Ejected { until } if until > now => 0.0,
            State::Ejected { .. } => MIN_RETURN_SHARE,
            State::Returning { since } => {
                let passed = now.saturating_duration_since(since).as_secs_f32();
                let share = passed / slow_start_window.as_secs_f32().max(f32::EPSILON);
                share.clamp(MIN_RETURN_SHARE, 1.0)
            }
        }
    }
}

/// Share of its usual work with which an ejected upstream returns.
const MIN_RETURN_SHARE: f32 = 0.05;

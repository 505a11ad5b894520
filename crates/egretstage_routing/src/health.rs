//! Failure share and ejection state of an upstream.

use crate::{EjectionLimits, Ewma};
use std::time::{Duration, Instant};

/// Result of a call, as far as the health of its upstream is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The answer was complete.
    Completed,
    /// The upstream failed to answer.
    Failed,
    /// The call says nothing about the upstream: it was refused, or its caller
    /// left.
    Neutral,
}

/// Weight of the newest result in the share of failed calls.
const FAILURE_WEIGHT: f32 = 0.2;

/// Whether an upstream gets calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy,
    Ejected {
        until: Instant,
    },
    /// Gets a growing share of its usual work after an ejection.
    SlowStart {
        since: Instant,
    },
}

/// Failures and ejections of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    failure_share: Ewma,
    /// Results recorded since the last ejection.
    samples: u32,
    /// Ejections so far, less one for each slow start that was completed.
    ejections: u32,
    state: State,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_share: Ewma::new(FAILURE_WEIGHT),
            samples: 0,
            ejections: 0,
            state: State::Healthy,
        }
    }
}

impl Health {
    /// Records the result of a call.
    pub fn record_result(&mut self, result: CallResult) {
        let sample = match result {
            CallResult::Completed => 0.0,
            CallResult::Failed => 1.0,
            CallResult::Neutral => return,
        };
        self.failure_share.add(sample);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the share of failed calls, or `None` below `min_calls` results.
    pub(crate) fn failure_share(&self, min_calls: u32) -> Option<f32> {
        self.failure_share
            .get()
            .filter(|_| self.samples >= min_calls)
    }

    /// Returns whether the upstream is ejected and gets no calls.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        matches!(self.state, State::Ejected { until } if until > now)
    }

    /// Ejects the upstream; each further ejection lasts twice as long, up to the
    /// maximum.
    pub(crate) fn eject(&mut self, now: Instant, limits: &EjectionLimits) {
        let factor = 1 << self.ejections.min(8);
        let ejection_time = limits
            .max_ejection_time
            .min(limits.base_ejection_time * factor);
        self.ejections = self.ejections.saturating_add(1);
        self.state = State::Ejected {
            until: now + ejection_time,
        };
        self.failure_share = Ewma::new(FAILURE_WEIGHT);
        self.samples = 0;
    }

    /// Ends an ejection or a slow start whose time is over.
    pub(crate) fn advance(&mut self, now: Instant, limits: &EjectionLimits) {
        match self.state {
            State::Ejected { until } if until <= now => {
                self.state = State::SlowStart { since: until };
            }
            State::SlowStart { since } if since + limits.slow_start_window <= now => {
                self.state = State::Healthy;
                self.ejections = self.ejections.saturating_sub(1);
            }
            _ => {}
        }
    }

    /// Returns the share of its usual work that the upstream may get.
    #[must_use]
    pub fn admitted_share(&self, now: Instant, slow_start_window: Duration) -> f32 {
        match self.state {
            State::Healthy => 1.0,
            State::Ejected { until } if until > now => 0.0,
            State::Ejected { .. } => MIN_SLOW_START_SHARE,
            State::SlowStart { since } => {
                let passed = now.saturating_duration_since(since).as_secs_f32();
                let share = passed / slow_start_window.as_secs_f32().max(f32::EPSILON);
                share.clamp(MIN_SLOW_START_SHARE, 1.0)
            }
        }
    }
}

/// Share of its usual work with which an upstream starts after an ejection.
const MIN_SLOW_START_SHARE: f32 = 0.05;

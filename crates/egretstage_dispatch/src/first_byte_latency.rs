//! Estimates how long upstreams take to begin an answer.
//!
//! Load pattern: for seconds, calls arrive faster than slots become free. The
//! fuller a model group is, the longer its passes, and a prompt takes two or
//! three of them before its first event. A call that has waited until the rest
//! of its objective is shorter than that is late wherever it is sent; if it starts
//! before calls that could still be in time, it makes them late too, until all
//! calls are late.

use egretstage_routing::Ewma;
use std::time::Duration;

/// Weight of the newest answer in the means, which thus cover about the last
/// twenty answers.
const ANSWER_WEIGHT: f32 = 0.05;

/// Share of the objective that is reserved until the first answer is observed.
const INITIAL_RESERVED_SHARE: f32 = 0.5;

/// Minimum and maximum share of the objective that is reserved for the answer.
const RESERVED_SHARE_LIMITS: (f32, f32) = (0.2, 0.95);

/// Estimates the time from placing a call to the first byte of its answer.
///
/// ```
/// # use egretstage_dispatch::FirstByteLatency;
/// # use std::time::Duration;
/// let objective = Duration::from_millis(500);
/// let mut latency = FirstByteLatency::default();
/// assert_eq!(latency.reserved_time(objective), Duration::from_millis(250));
/// for _ in 0..100 {
///     latency.record(Duration::from_millis(360));
/// }
/// assert!(latency.reserved_time(objective) >= Duration::from_millis(350));
/// ```
#[derive(Clone, Debug)]
pub struct FirstByteLatency {
    mean_ms: Ewma,
    deviation_ms: Ewma,
}

impl Default for FirstByteLatency {
    fn default() -> Self {
        Self {
            mean_ms: Ewma::new(ANSWER_WEIGHT),
            deviation_ms: Ewma::new(ANSWER_WEIGHT),
        }
    }
}

impl FirstByteLatency {
    /// Records the time from placing a call to the first byte of its answer.
    pub fn record(&mut self, latency: Duration) {
        let sample = latency.as_secs_f32() * 1000.0;
        let mean = self.mean_ms.get().unwrap_or(sample);
        self.deviation_ms.add((sample - mean).abs());
        self.mean_ms.add(sample);
    }

    /// Returns the part of an objective that is reserved for the answer: the
    /// mean latency plus the mean deviation from it.
    #[must_use]
    pub fn reserved_time(&self, objective: Duration) -> Duration {
        let Some(mean) = self.mean_ms.get() else {
            return objective.mul_f32(INITIAL_RESERVED_SHARE);
        };
        let ms = mean + self.deviation_ms.get().unwrap_or(0.0);
        let time = Duration::from_secs_f32(ms.max(0.0) / 1000.0);
        time.clamp(
            objective.mul_f32(RESERVED_SHARE_LIMITS.0),
            objective.mul_f32(RESERVED_SHARE_LIMITS.1),
        )
    }
}

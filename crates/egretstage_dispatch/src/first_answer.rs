//! How long upstreams take until an answer begins.
//!
//! Load pattern: for seconds more calls arrive than places come free. The
//! fuller a model group is, the longer its passes, and a prompt takes two or
//! three of them before its first event. A call that has waited until the rest
//! of its objective is shorter than that is late wherever it goes; if it goes
//! before calls that could still be in time, it makes them late too, and in the
//! end all are.

use egretstage_routing::Ewma;
use std::time::Duration;

/// Weight of the newest answer: that of the last twenty or so.
const WEIGHT: f32 = 0.05;

/// Share of the objective that is kept for the answer before any was seen.
const FIRST_SHARE: f32 = 0.5;

/// Least and most of the objective that is kept for the answer.
const SHARES: (f32, f32) = (0.2, 0.95);

/// Learns how long answers take to begin once a call is placed.
///
/// ```
/// # use egretstage_dispatch::FirstAnswerTime;
/// # use std::time::Duration;
/// let objective = Duration::from_millis(500);
/// let mut time = FirstAnswerTime::default();
/// assert_eq!(time.of(objective), Duration::from_millis(250));
/// for _ in 0..100 {
///     time.began(Duration::from_millis(360));
/// }
/// assert!(time.of(objective) >= Duration::from_millis(350));
/// ```
#[derive(Clone, Debug)]
pub struct FirstAnswerTime {
    mean_ms: Ewma,
    spread_ms: Ewma,
}

impl Default for FirstAnswerTime {
    fn default() -> Self {
        Self {
            mean_ms: Ewma::new(WEIGHT),
            spread_ms: Ewma::new(WEIGHT),
        }
    }
}

impl FirstAnswerTime {
    /// Notes that an answer began so long after its call was placed.
    pub fn began(&mut self, after: Duration) {
        let sample = after.as_secs_f32() * 1000.0;
        let mean = self.mean_ms.get().unwrap_or(sample);
        self.spread_ms.add((sample - mean).abs());
        self.mean_ms.add(sample);
    }

    /// Returns what of an objective is kept for the answer: the mean time and
    /// the mean deviation from it.
    #[must_use]
    pub fn of(&self, objective: Duration) -> Duration {
        let Some(mean) = self.mean_ms.get() else {
            return objective.mul_f32(FIRST_SHARE);
        };
        let ms = mean + self.spread_ms.get().unwrap_or(0.0);
        let time = Duration::from_secs_f32(ms.max(0.0) / 1000.0);
        time.clamp(objective.mul_f32(SHARES.0), objective.mul_f32(SHARES.1))
    }
}

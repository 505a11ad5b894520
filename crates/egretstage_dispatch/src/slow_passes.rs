//! Estimates the cost of a stream in slow passes that recur.
//!
//! Load pattern: every few seconds demand moves to other experts, and until the
//! next map is active a few passes take 1.5 times as long. Streams last about
//! as long as the time between two shifts, so nearly every stream meets such
//! passes, and one pause over the objective makes it late. A bound that follows
//! the fast passes in between lets the next shift make all streams late; one
//! that keeps the slowest pass for long refuses callers long after a single slow
//! rank has recovered.
//!
//! So a cost is weighted by how often passes rise to it instead of by how long
//! they stay there: a stream should rarely meet a pass that costs more than
//! planned.

use std::collections::VecDeque;
use std::time::Duration;

/// Length of a window, of which only the highest cost is kept: a few passes, and
/// a fraction of the time for which passes are slow after a shift of demand.
const WINDOW: Duration = Duration::from_millis(250);

/// Number of windows that are kept: 24 s, several times the longest usual time
/// between two shifts of demand.
const MAX_WINDOWS: usize = 96;

/// Minimum share of the streams that must meet a cost for it to count as
/// recurring. A late answer is worth about half of one in time, and a bound that
/// allows for the slow passes runs a tenth to a quarter fewer streams, which keeps
/// others waiting.
const MIN_STREAM_SHARE: f32 = 0.5;

/// Minimum number of rises to a cost for it to count as recurring. The passes of a
/// group that has just formed are slow once, until its experts are balanced.
const MIN_RISES: usize = 2;

/// Share of a cost below which passes must fall before another rise to it is
/// counted: the passes of a steady group differ by less.
const FALL_SHARE: f32 = 0.8;

/// Finds the highest cost of a stream that recurs.
///
/// ```
/// # use egretstage_dispatch::slow_passes::SlowPasses;
/// # use std::time::Duration;
/// let mut passes = SlowPasses::default();
/// let pass = Duration::from_millis(80);
/// let stream_duration = Duration::from_secs(2);
/// for _ in 0..4 {
///     for cost in [1.6; 5].into_iter().chain([1.0; 30]) {
///         passes.record(pass, cost, stream_duration);
///     }
/// }
/// assert_eq!(passes.recurring_cost(), 1.6);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlowPasses {
    /// Highest cost of each past window, the newest last.
    windows: VecDeque<f32>,
    /// Weighted time and highest cost of the current window.
    current: (Duration, f32),
    /// The highest cost that enough streams meet.
    recurring_cost: f32,
}

impl SlowPasses {
    /// Records the cost of a stream.
    ///
    /// `elapsed` is the time since the last record, weighted by how full the
    /// group was, and `stream_duration` is how long streams last.
    pub fn record(&mut self, elapsed: Duration, cost: f32, stream_duration: Duration) {
        let (window_time, highest) = self.current;
        self.current = (window_time + elapsed, highest.max(cost));
        if self.current.0 < WINDOW {
            return;
        }
        self.windows.push_back(self.current.1);
        self.current = (Duration::ZERO, 0.0);
        if self.windows.len() > MAX_WINDOWS {
            self.windows.pop_front();
        }
        self.recurring_cost = self.find_recurring_cost(stream_duration);
    }

    /// Returns the highest cost that enough of the streams meet; 0 if there is
    /// none.
    #[must_use]
    pub fn recurring_cost(&self) -> f32 {
        self.recurring_cost
    }

    fn find_recurring_cost(&self, stream_duration: Duration) -> f32 {
        let span_s = WINDOW.as_secs_f32() * to_f32(self.windows.len());
        let is_met = |cost: &f32| {
            let rises = self.rises_to(*cost);
            let met_s = to_f32(rises) * stream_duration.as_secs_f32();
            rises >= MIN_RISES && met_s >= MIN_STREAM_SHARE * span_s
        };
        let met = self.windows.iter().copied().filter(is_met);
        met.fold(0.0, f32::max)
    }

    /// Returns how often the cost rose to a level.
    fn rises_to(&self, level: f32) -> usize {
        let mut rises = 0;
        let mut above = false;
        for cost in &self.windows {
            if !above && *cost >= level {
                rises += 1;
                above = true;
            } else if *cost < level * FALL_SHARE {
                above = false;
            }
        }
        rises
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f32(count: usize) -> f32 {
    count as f32
}

//! Measures how long the passes of a group take.

use std::time::{Duration, Instant};

/// Duration of a group's passes, from the reports of one rank.
#[derive(Clone, Copy, Debug)]
pub(super) struct PassClock {
    /// The last known pass.
    pass: u64,
    /// When that pass was first reported.
    since: Instant,
    /// Duration of the last completed passes.
    duration: Duration,
}

impl PassClock {
    pub(super) fn new(now: Instant, pass: u64) -> Self {
        Self {
            pass,
            since: now,
            duration: Duration::ZERO,
        }
    }

    /// Records the last pass that began.
    pub(super) fn observe(&mut self, now: Instant, pass: u64) {
        let passes = pass.saturating_sub(self.pass);
        if passes > 0 {
            let elapsed = now.saturating_duration_since(self.since);
            self.duration = elapsed / u32::try_from(passes).unwrap_or(u32::MAX);
            self.pass = pass;
            self.since = now;
        }
    }

    /// Returns the number of passes that begin within `time`, at least one and at most
    /// `max`.
    pub(super) fn passes_within(&self, now: Instant, time: Duration, max: u64) -> u64 {
        let current = now.saturating_duration_since(self.since);
        let duration = self.duration.max(current).max(Duration::from_millis(1));
        let passes = time.as_micros().div_ceil(duration.as_micros());
        u64::try_from(passes).unwrap_or(u64::MAX).clamp(1, max)
    }
}

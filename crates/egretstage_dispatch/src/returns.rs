//! When a refused caller returns.
//!
//! Load pattern: a burst is refused at one moment. Callers who are told the
//! same delay come back together and are refused again, so each one is given
//! a place of its own in the time to come.

use std::time::{Duration, Instant};

/// Limits of a [`ReturnSchedule`].
#[derive(Clone, Copy, Debug)]
pub struct ReturnLimits {
    /// Shortest delay.
    pub min_delay: Duration,
    /// Time between two returns while nothing is known of the rate of starts.
    pub spacing: Duration,
}

impl Default for ReturnLimits {
    fn default() -> Self {
        Self {
            min_delay: Duration::from_millis(300),
            spacing: Duration::from_millis(50),
        }
    }
}

/// Gives refused callers places in the time to come, one after the other.
#[derive(Clone, Debug)]
pub struct ReturnSchedule {
    limits: ReturnLimits,
    next: Option<Instant>,
}

impl ReturnSchedule {
    /// Starts with no caller told to return.
    #[must_use]
    pub fn new(limits: ReturnLimits) -> Self {
        Self { limits, next: None }
    }

    /// Returns the delay for one more caller, at most `longest`.
    ///
    /// `interval` is the time between two starts of waiting calls.
    pub fn assign(
        &mut self,
        now: Instant,
        interval: Option<Duration>,
        longest: Duration,
    ) -> Duration {
        let earliest = now + self.limits.min_delay;
        let at = self.next.map_or(earliest, |next| next.max(earliest));
        let delay = at.saturating_duration_since(now);
        if delay > longest {
            // The places within reach are taken: the rest share the last ones.
            self.next = Some(earliest);
            return longest;
        }
        self.next = Some(at + interval.unwrap_or(self.limits.spacing));
        delay
    }
}

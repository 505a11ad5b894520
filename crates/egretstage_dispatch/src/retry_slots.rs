//! Assigns the times at which refused callers return.
//!
//! Load pattern: a burst of calls is refused at one moment. Callers that get the
//! same delay return together and are refused again, so each one is assigned a
//! retry slot of its own.

use std::time::{Duration, Instant};

/// Limits of [`RetrySlots`].
#[derive(Clone, Copy, Debug)]
pub struct RetrySlotLimits {
    /// Shortest delay.
    pub min_delay: Duration,
    /// Time between two slots while the rate of starts is unknown.
    pub default_interval: Duration,
}

impl Default for RetrySlotLimits {
    fn default() -> Self {
        Self {
            min_delay: Duration::from_millis(300),
            default_interval: Duration::from_millis(50),
        }
    }
}

/// Assigns consecutive retry slots to refused callers.
#[derive(Clone, Debug)]
pub struct RetrySlots {
    limits: RetrySlotLimits,
    /// The next free slot.
    next: Option<Instant>,
}

impl RetrySlots {
    /// Creates a schedule without assigned slots.
    #[must_use]
    pub fn new(limits: RetrySlotLimits) -> Self {
        Self { limits, next: None }
    }

    /// Assigns the next slot and returns the delay until then, at most
    /// `max_delay`.
    ///
    /// `interval` is the time between two starts of waiting calls, and `earliest` the time
    /// until the first one that no waiting call takes.
    pub fn assign(
        &mut self,
        now: Instant,
        interval: Option<Duration>,
        earliest: Duration,
        max_delay: Duration,
    ) -> Duration {
        let earliest = now + self.limits.min_delay.max(earliest);
        let at = self.next.map_or(earliest, |next| next.max(earliest));
        let delay = at.saturating_duration_since(now);
        if delay > max_delay {
            // All slots up to the longest delay are assigned: this caller shares
            // the last one, and the assignment starts over from the earliest.
            self.next = Some(earliest);
            return max_delay;
        }
        self.next = Some(at + interval.unwrap_or(self.limits.default_interval));
        delay
    }
}

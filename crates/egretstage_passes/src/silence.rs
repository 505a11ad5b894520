//! How long a decider may be silent before it is suspected.
//!
//! Load pattern: links that queue or lose packets, and instances that run
//! slowly, delay heartbeats for seconds. A limit that doesn't adapt to the
//! delays replaces a decider that is alive, again and again, and a group whose
//! decider changes every second never switches its map.

use std::time::{Duration, Instant};

/// Multiple of the longest recent gap between heartbeats above which the
/// decider is considered silent.
const GAP_FACTOR: u32 = 3;

/// Largest limit, as a multiple of the base: a group held by a failed decider
/// must resume before its engines cut off their requests.
const MAX_BASE_FACTOR: u32 = 2;

/// Divisor of the longest gap that gives the amount by which it shrinks with
/// each heartbeat.
const GAP_DECAY: u32 = 8;

/// Derives from the gaps between heartbeats how long a silence is normal.
///
/// ```
/// # use egretstage_passes::SilenceLimit;
/// # use std::time::{Duration, Instant};
/// let base = Duration::from_millis(600);
/// let mut now = Instant::now();
/// let mut limit = SilenceLimit::new(base);
/// for _ in 0..9 {
///     now += Duration::from_millis(100);
///     limit.record_heartbeat(now);
/// }
/// assert_eq!(limit.get(), base);
/// now += Duration::from_millis(300);
/// limit.record_heartbeat(now);
/// assert!(limit.get() > base);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimit {
    base: Duration,
    longest_gap: Duration,
    last_heartbeat: Option<Instant>,
}

impl SilenceLimit {
    /// Creates a limit that starts at `base`, its minimum.
    #[must_use]
    pub fn new(base: Duration) -> Self {
        Self {
            base,
            longest_gap: Duration::ZERO,
            last_heartbeat: None,
        }
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, now: Instant) {
        let Some(before) = self.last_heartbeat.replace(now) else {
            return;
        };
        let gap = now.saturating_duration_since(before).min(self.base);
        let decayed = self.longest_gap * (GAP_DECAY - 1) / GAP_DECAY;
        self.longest_gap = gap.max(decayed);
    }

    /// Forgets the gaps, because another decider is followed from now on.
    pub fn reset(&mut self) {
        self.longest_gap = Duration::ZERO;
        self.last_heartbeat = None;
    }

    /// Returns the longest silence that is considered normal.
    #[must_use]
    pub fn get(&self) -> Duration {
        (self.longest_gap * GAP_FACTOR).clamp(self.base, self.base * MAX_BASE_FACTOR)
    }
}

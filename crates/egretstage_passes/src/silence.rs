//! After how long a silence the decider is suspected.
//!
//! Load pattern: links that queue or lose packets, and instances that run
//! slowly, make heartbeats late for seconds. A limit that doesn't follow the
//! delays replaces a decider that lives, again and again, and a group whose
//! decider changes every second never changes its map.

use std::time::{Duration, Instant};

/// Multiple of the longest recent gap between two heartbeats that is silence.
const GAPS: u32 = 3;

/// Multiple of the base beyond which the limit never grows: a group that its
/// dead decider holds must go on before its engines cut their requests off.
const MOST: u32 = 2;

/// Part by which the longest gap fades with each heartbeat.
const FADE: u32 = 8;

/// Learns from the gaps between heartbeats how long a silence is normal.
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
    heard: Option<Instant>,
}

impl SilenceLimit {
    /// Starts with the least limit.
    #[must_use]
    pub fn new(base: Duration) -> Self {
        Self {
            base,
            longest_gap: Duration::ZERO,
            heard: None,
        }
    }

    /// Notes a heartbeat.
    pub fn record_heartbeat(&mut self, now: Instant) {
        let Some(before) = self.heard.replace(now) else {
            return;
        };
        let gap = now.saturating_duration_since(before).min(self.base);
        let faded = self.longest_gap * (FADE - 1) / FADE;
        self.longest_gap = gap.max(faded);
    }

    /// Forgets the gaps: another decider is heard from now on.
    pub fn reset(&mut self) {
        self.longest_gap = Duration::ZERO;
        self.heard = None;
    }

    /// Returns how long a silence is normal.
    #[must_use]
    pub fn get(&self) -> Duration {
        (self.longest_gap * GAPS).clamp(self.base, self.base * MOST)
    }
}

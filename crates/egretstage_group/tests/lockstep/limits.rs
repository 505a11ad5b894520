//! Limits and metrics of the simulated members.

use egretstage_group::ClaimLimits;
use std::time::Duration;

/// Limits of the simulated members.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) claims: ClaimLimits,
    pub(crate) horizon_steps: u64,
    pub(crate) heartbeat: Duration,
    pub(crate) map_interval: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            claims: ClaimLimits {
                suspect_after: Duration::from_secs(1),
                stagger: Duration::from_millis(200),
                renew_after: Duration::from_secs(3),
            },
            horizon_steps: 25,
            heartbeat: Duration::from_millis(200),
            map_interval: Duration::from_millis(700),
        }
    }
}

/// Messages that the members have sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Metrics {
    /// Frames sent by the decider.
    pub(crate) decider_frames: usize,
    /// Encoded size of the decider's frames.
    pub(crate) decider_bytes: usize,
    /// Frames sent by all other members.
    pub(crate) rank_frames: usize,
    /// Appended claims.
    pub(crate) appends: usize,
    /// Reads of the log.
    pub(crate) reads: usize,
}

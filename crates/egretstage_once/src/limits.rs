//! Limits of a key owner.

use std::time::Duration;

/// Limits of a key owner; the same at all companions of a service.
#[derive(Clone, Copy, Debug)]
pub struct KeyOwnerLimits {
    /// Time for which a key is remembered after its run has ended.
    pub window: Duration,
    /// Longest budget of a call, which bounds how long a run lasts.
    pub longest_budget: Duration,
    /// Time for which a read that reached the end of the log allows new runs.
    pub lease: Duration,
    /// Largest number of keys that are remembered at once.
    pub max_keys: usize,
    /// Age of the last change after which the members are appended again, so
    /// that they outlive the log's retention.
    pub refresh_interval: Duration,
}

impl Default for KeyOwnerLimits {
    fn default() -> Self {
        Self {
            window: Duration::from_mins(10),
            longest_budget: Duration::from_mins(2),
            lease: Duration::from_secs(3),
            max_keys: 50_000,
            refresh_interval: Duration::from_mins(10),
        }
    }
}

impl KeyOwnerLimits {
    /// Returns how long a new owner must assume that a former owner whose runs
    /// are unknown ran a key.
    ///
    /// The former owner may start runs for one lease after it was replaced, a
    /// run may last the longest budget, and the key must not run again for the
    /// window after that.
    #[must_use]
    pub fn embargo(&self) -> Duration {
        self.lease + self.longest_budget + self.window
    }
}

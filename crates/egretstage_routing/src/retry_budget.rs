//! Limits retries to a share of the requests.

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries allowed per thousand requests.
    pub retries_per_thousand: u32,
    /// Maximum number of retries that can be saved up.
    pub burst: u32,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            retries_per_thousand: 100,
            burst: 10,
        }
    }
}

/// A retry, in thousandths.
const RETRY_MILLI: u64 = 1000;

/// A token bucket that limits retries to a share of the requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    saved_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryLimits::default())
    }
}

impl RetryBudget {
    /// Creates a budget with its full burst saved up.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            saved_milli: u64::from(limits.burst) * RETRY_MILLI,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        let max_saved_milli = u64::from(self.limits.burst) * RETRY_MILLI;
        self.saved_milli =
            max_saved_milli.min(self.saved_milli + u64::from(self.limits.retries_per_thousand));
    }

    /// Returns the number of retries that are left.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.saved_milli / RETRY_MILLI
    }

    /// Takes a retry from the budget; returns whether one was left.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        let allowed = self.saved_milli >= RETRY_MILLI;
        if allowed {
            self.saved_milli -= RETRY_MILLI;
        }
        allowed
    }
}

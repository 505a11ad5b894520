//! The budget for retries.

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries allowed for each thousand requests.
    pub retries_per_thousand: u32,
    /// Most retries that may be saved up.
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

/// Thousandths of a retry.
const RETRY: u64 = 1000;

/// A token bucket that lets retries be at most a share of requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryLimits::default())
    }
}

impl RetryBudget {
    /// Creates a budget with its burst saved up.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            saved: u64::from(limits.burst) * RETRY,
        }
    }

    /// Notes a request that is sent for the first time.
    pub fn record_request(&mut self) {
        let most = u64::from(self.limits.burst) * RETRY;
        self.saved = most.min(self.saved + u64::from(self.limits.retries_per_thousand));
    }

    /// Takes a retry from the budget; returns false when none is left.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        let allowed = self.saved >= RETRY;
        if allowed {
            self.saved -= RETRY;
        }
        allowed
    }
}

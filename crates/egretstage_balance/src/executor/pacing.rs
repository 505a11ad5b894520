//! How fast moves may go.

use std::time::{Duration, Instant};

/// First wait after the store refused.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);

/// Longest wait after the store refused.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Wait before the step time is looked at again while paused.
const PAUSE_RECHECK: Duration = Duration::from_secs(1);

/// Part of the step-time bound above which no new batch starts.
const PAUSE_AT: f64 = 0.9;

/// Limits of an executor.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorLimits {
    /// Bytes a second that the group may take of the weight store.
    pub store_bytes_per_second: u64,
    /// Time that one batch may take.
    pub batch_time: Duration,
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
    /// Most times that one transfer is asked for, refusals apart.
    pub max_attempts: u8,
}

impl ExecutorLimits {
    /// Returns the largest batch: what the store copies in the batch time.
    #[must_use]
    pub fn max_batch(&self) -> usize {
        let millis = u64::try_from(self.batch_time.as_millis()).unwrap_or(u64::MAX);
        let bytes = self.store_bytes_per_second.saturating_mul(millis) / 1000;
        usize::try_from(bytes / self.expert_bytes.max(1))
            .unwrap_or(usize::MAX)
            .max(1)
    }
}

/// Sets the size of a batch and when the next transfer may start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    batch: usize,
    max_batch: usize,
    backoff: Duration,
    not_before: Option<Instant>,
    near_bound: bool,
}

impl Pace {
    pub(super) fn new(limits: &ExecutorLimits) -> Self {
        Self {
            batch: limits.max_batch(),
            max_batch: limits.max_batch(),
            backoff: FIRST_BACKOFF,
            not_before: None,
            near_bound: false,
        }
    }

    pub(super) fn batch(&self) -> usize {
        self.batch
    }

    /// Halves the batch and waits twice as long as after the last refusal.
    pub(super) fn refused(&mut self, now: Instant) {
        self.batch = (self.batch / 2).max(1);
        self.not_before = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Lets the batch grow after one that met no refusal.
    pub(super) fn batch_done(&mut self) {
        self.batch = (self.batch + 1).min(self.max_batch);
        self.backoff = FIRST_BACKOFF;
    }

    /// Notes the group's step time.
    pub(super) fn step_time(&mut self, p95: Duration, bound: Duration) {
        self.near_bound = p95 >= bound.mul_f64(PAUSE_AT);
    }

    /// Tells whether a transfer may start.
    pub(super) fn open(&mut self, now: Instant) -> bool {
        if self.near_bound {
            self.not_before = Some(now + PAUSE_RECHECK);
            return false;
        }
        match self.not_before {
            Some(at) if at > now => false,
            _ => {
                self.not_before = None;
                true
            }
        }
    }

    pub(super) fn not_before(&self) -> Option<Instant> {
        self.not_before
    }
}

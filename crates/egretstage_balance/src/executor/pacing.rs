//! Batch size and pacing of transfers.

use std::time::{Duration, Instant};

/// Wait after the first refusal by a busy store.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum wait after a refusal by a busy store.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Interval at which a paused executor checks the step time again.
const PAUSE_RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of the step-time bound from which no new batch or transfer starts.
const PAUSE_STEP_TIME_FRACTION: f64 = 0.9;

/// Limits of an executor.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorLimits {
    /// Bytes per second that the group may read from the weight store.
    pub store_bytes_per_second: u64,
    /// Maximum duration of the transfers of one batch.
    pub batch_time: Duration,
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
    /// Maximum attempts per transfer; refusals by a busy store don't count.
    pub max_attempts: u8,
}

impl ExecutorLimits {
    /// Returns the number of experts that the store copies within the batch
    /// time, at least 1.
    #[must_use]
    pub fn max_batch_size(&self) -> usize {
        let millis = u64::try_from(self.batch_time.as_millis()).unwrap_or(u64::MAX);
        let bytes = self.store_bytes_per_second.saturating_mul(millis) / 1000;
        usize::try_from(bytes / self.expert_bytes.max(1))
            .unwrap_or(usize::MAX)
            .max(1)
    }
}

/// Controls the batch size and when the next transfer may start.
#[derive(Clone, Copy, Debug)]
pub(super) struct TransferPacing {
    batch_size: usize,
    max_batch_size: usize,
    backoff: Duration,
    not_before: Option<Instant>,
    step_time_near_bound: bool,
}

impl TransferPacing {
    pub(super) fn new(limits: &ExecutorLimits) -> Self {
        Self {
            batch_size: limits.max_batch_size(),
            max_batch_size: limits.max_batch_size(),
            backoff: INITIAL_BACKOFF,
            not_before: None,
            step_time_near_bound: false,
        }
    }

    pub(super) fn batch_size(&self) -> usize {
        self.batch_size
    }

    /// Halves the batch size and blocks transfers for the backoff time, which
    /// doubles with each refusal.
    pub(super) fn record_refusal(&mut self, now: Instant) {
        self.batch_size = (self.batch_size / 2).max(1);
        self.not_before = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Grows the batch size by one and resets the backoff.
    pub(super) fn record_published_batch(&mut self) {
        self.batch_size = (self.batch_size + 1).min(self.max_batch_size);
        self.backoff = INITIAL_BACKOFF;
    }

    /// Records the group's step time.
    pub(super) fn record_step_time(&mut self, p95: Duration, bound: Duration) {
        self.step_time_near_bound = p95 >= bound.mul_f64(PAUSE_STEP_TIME_FRACTION);
    }

    /// Returns whether a batch or a transfer may start now.
    ///
    /// While the step time is near its bound, sets when to check again.
    pub(super) fn may_start(&mut self, now: Instant) -> bool {
        if self.step_time_near_bound {
            self.not_before = Some(now + PAUSE_RECHECK_INTERVAL);
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

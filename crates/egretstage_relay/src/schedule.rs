//! Schedules the checkpoints that a node writes.

use crate::CheckpointInfo;
use egretstage_config::Offset;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Number of records after the last checkpoint that makes a new one due.
const MAX_TAIL_RECORDS: u64 = 2_000;

/// Longest random delay of a checkpoint that is due because of the number of
/// records, so that not all nodes write it at once.
const MAX_TAIL_JITTER: Duration = Duration::from_secs(10);

/// Delay after an attempt that failed or found another node writing.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Decides when a checkpoint is due.
#[derive(Debug)]
pub(crate) struct CheckpointSchedule {
    interval: Duration,
    rng: ChaCha8Rng,
    /// Last offset that the newest checkpoint covers.
    checkpoint_offset: Option<Offset>,
    due_at: Option<Instant>,
    /// Whether a checkpoint is due because of the number of records.
    is_tail_due: bool,
    /// Whether an attempt is in flight.
    writing: bool,
}

impl CheckpointSchedule {
    pub(crate) fn new(interval: Duration, seed: u64) -> Self {
        Self {
            interval,
            rng: ChaCha8Rng::seed_from_u64(seed),
            checkpoint_offset: None,
            due_at: None,
            is_tail_due: false,
            writing: false,
        }
    }

    /// Schedules the next checkpoint after the newest one on the log; `info` is
    /// none if the log holds none.
    pub(crate) fn reschedule(&mut self, now: Instant, info: Option<CheckpointInfo>) {
        self.writing = false;
        self.is_tail_due = false;
        self.checkpoint_offset = info.map(|info| info.through);
        let remaining = info.map_or(Duration::ZERO, |info| {
            self.interval.saturating_sub(info.age)
        });
        self.due_at = Some(now + remaining + self.jitter(self.interval / 4));
    }

    /// Schedules the next attempt after one that failed or found another node
    /// writing.
    pub(crate) fn retry_later(&mut self, now: Instant) {
        self.writing = false;
        let wait = RETRY_DELAY.min(self.interval);
        self.due_at = Some(now + wait + self.jitter(wait));
    }

    /// Makes a checkpoint due once the node holds [`MAX_TAIL_RECORDS`] records
    /// beyond the last one.
    pub(crate) fn offset_advanced(&mut self, now: Instant, offset: Offset) {
        let Some(checkpoint_offset) = self.checkpoint_offset else {
            return;
        };
        if !self.is_tail_due && offset.0.saturating_sub(checkpoint_offset.0) >= MAX_TAIL_RECORDS {
            self.is_tail_due = true;
            let tail_due_at = now + self.jitter(MAX_TAIL_JITTER);
            self.due_at = Some(self.due_at.map_or(tail_due_at, |due| due.min(tail_due_at)));
        }
    }

    /// Returns whether a checkpoint is due now, and marks it as in flight.
    pub(crate) fn take_due(&mut self, now: Instant) -> bool {
        let due = !self.writing && self.due_at.is_some_and(|due| due <= now);
        self.writing |= due;
        due
    }

    /// Returns when the next checkpoint is due.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.due_at.filter(|_| !self.writing)
    }

    /// Returns a random delay.
    fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random())
    }
}

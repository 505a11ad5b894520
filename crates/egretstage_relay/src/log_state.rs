//! Schedules a node's reads of the log.

use crate::RelayEffect;
use egretstage_config::Offset;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Shortest delay after a failed read; it doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Longest delay after a failed read, without the random part.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Delay before the newest checkpoint is read again.
const CHECKPOINT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What the next read fetches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextRead {
    Checkpoint,
    Records,
}

/// Progress of a node's reads of the log; at most one read is in flight.
#[derive(Debug)]
pub(crate) struct LogReadState {
    next_read: NextRead,
    /// When the next read is due; none while a read is in flight.
    due_at: Option<Instant>,
    retry_delay: Duration,
    rng: ChaCha8Rng,
    /// Whether a read reached the end of the log since the last gap.
    pub(crate) reached_end: bool,
    /// Whether the last read failed.
    pub(crate) failing: bool,
    /// Offset that the node must hold to read on, because the log has dropped
    /// the records up to it.
    pub(crate) needed: Offset,
}

impl LogReadState {
    /// Starts with a read of the newest checkpoint.
    pub(crate) fn new(now: Instant, seed: u64) -> Self {
        Self {
            next_read: NextRead::Checkpoint,
            due_at: Some(now),
            retry_delay: MIN_RETRY_DELAY,
            rng: ChaCha8Rng::seed_from_u64(seed),
            reached_end: false,
            failing: false,
            needed: Offset(0),
        }
    }

    /// Handles a failed read; the delay grows and is partly random, so that not
    /// all nodes read at once when the log is available again.
    pub(crate) fn read_failed(&mut self, now: Instant) {
        self.failing = true;
        let random = self.retry_delay.mul_f64(self.rng.random());
        self.due_at = Some(now + self.retry_delay + random);
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }

    /// Handles a successful read; records are read next.
    pub(crate) fn read_answered(&mut self, now: Instant) {
        self.failing = false;
        self.retry_delay = MIN_RETRY_DELAY;
        self.next_read = NextRead::Records;
        self.due_at = Some(now);
    }

    /// Handles a gap: the log has dropped records that the node needs. The newest
    /// checkpoint is read next, after a delay if the gap was already known.
    pub(crate) fn records_dropped(&mut self, now: Instant, needed: Offset) {
        let known = self.needed >= needed;
        self.needed = self.needed.max(needed);
        self.failing = false;
        self.reached_end = false;
        self.next_read = NextRead::Checkpoint;
        self.due_at = Some(if known {
            now + CHECKPOINT_RETRY_DELAY
        } else {
            now
        });
    }

    /// Returns the read that is due now and marks it as in flight.
    pub(crate) fn take_due_read(&mut self, now: Instant, held: Offset) -> Option<RelayEffect> {
        if self.due_at.is_none_or(|due_at| due_at > now) {
            return None;
        }
        self.due_at = None;
        Some(match self.next_read {
            NextRead::Checkpoint => RelayEffect::ReadCheckpoint,
            NextRead::Records => RelayEffect::ReadLog { from: held.next() },
        })
    }

    /// Returns when the next read is due.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.due_at
    }
}

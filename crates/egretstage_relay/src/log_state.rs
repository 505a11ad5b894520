//! How far a node has read the log.

use crate::RelayEffect;
use egretstage_config::Offset;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Shortest pause after a failed read; doubled with each failure in a row.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Longest pause after a failed read, before the random part.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Pause before a checkpoint is looked for again.
const CHECKPOINT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What is read next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Checkpoint,
    Records,
}

/// How far a node has read the log; one read runs at a time.
#[derive(Debug)]
pub(crate) struct LogState {
    next: Next,
    due: Option<Instant>,
    retry_delay: Duration,
    rng: ChaCha8Rng,
    /// Whether the end of the log was reached at least once.
    pub(crate) reached_end: bool,
    /// Whether the last read failed.
    pub(crate) failing: bool,
    /// Offset below which the log has dropped records.
    pub(crate) needed: Offset,
}

impl LogState {
    /// Starts with a look at the newest checkpoint.
    pub(crate) fn new(now: Instant, seed: u64) -> Self {
        Self {
            next: Next::Checkpoint,
            due: Some(now),
            retry_delay: MIN_RETRY_DELAY,
            rng: ChaCha8Rng::seed_from_u64(seed),
            reached_end: false,
            failing: false,
            needed: Offset(0),
        }
    }

    /// Notes a failed read; the pause grows and is partly random, so that a
    /// log that comes back isn't met by all nodes at once.
    pub(crate) fn failed(&mut self, now: Instant) {
        self.failing = true;
        let random = self.retry_delay.mul_f64(self.rng.random());
        self.due = Some(now + self.retry_delay + random);
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }

    /// Notes an answer; records are read next.
    pub(crate) fn answered(&mut self, now: Instant) {
        self.failing = false;
        self.retry_delay = MIN_RETRY_DELAY;
        self.next = Next::Records;
        self.due = Some(now);
    }

    /// Notes that the log has dropped records that the node needs.
    pub(crate) fn gap(&mut self, now: Instant, needed: Offset) {
        let known = self.needed >= needed;
        self.needed = self.needed.max(needed);
        self.failing = false;
        self.reached_end = false;
        self.next = Next::Checkpoint;
        self.due = Some(if known {
            now + CHECKPOINT_RETRY_DELAY
        } else {
            now
        });
    }

    /// Takes the read that is due.
    pub(crate) fn take_due(&mut self, now: Instant, held: Offset) -> Option<RelayEffect> {
        if self.due.is_none_or(|due| due > now) {
            return None;
        }
        self.due = None;
        Some(match self.next {
            Next::Checkpoint => RelayEffect::ReadCheckpoint,
            Next::Records => RelayEffect::ReadLog { from: held.next() },
        })
    }

    /// Returns when the next read is due.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.due
    }
}

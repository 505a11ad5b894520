//! When a node writes a checkpoint.

use crate::CheckpointInfo;
use egretstage_config::Offset;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Records after the last checkpoint that make a new one due.
const MAX_TAIL_RECORDS: u64 = 2_000;

/// Longest random wait before a checkpoint that the tail makes due.
const MAX_TAIL_JITTER: Duration = Duration::from_secs(10);

/// Wait after an attempt that failed or that another node was first with.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Decides when a checkpoint is due.
#[derive(Debug)]
pub(crate) struct CheckpointSchedule {
    interval: Duration,
    rng: ChaCha8Rng,
    through: Option<Offset>,
    due: Option<Instant>,
    tail_due: bool,
    writing: bool,
}

impl CheckpointSchedule {
    pub(crate) fn new(interval: Duration, seed: u64) -> Self {
        Self {
            interval,
            rng: ChaCha8Rng::seed_from_u64(seed),
            through: None,
            due: None,
            tail_due: false,
            writing: false,
        }
    }

    /// Notes the newest checkpoint on the log; none if there is none.
    pub(crate) fn found(&mut self, now: Instant, news: Option<CheckpointInfo>) {
        self.writing = false;
        self.tail_due = false;
        self.through = news.map(|news| news.through);
        let rest = news.map_or(Duration::ZERO, |news| {
            self.interval.saturating_sub(news.age)
        });
        self.due = Some(now + rest + self.jitter(self.interval / 4));
    }

    /// Notes an attempt that failed or that another node was first with.
    pub(crate) fn failed(&mut self, now: Instant) {
        self.writing = false;
        let wait = RETRY_DELAY.min(self.interval);
        self.due = Some(now + wait + self.jitter(wait));
    }

    /// Notes the offset that the node holds.
    pub(crate) fn folded(&mut self, now: Instant, offset: Offset) {
        let Some(through) = self.through else {
            return;
        };
        if !self.tail_due && offset.0.saturating_sub(through.0) >= MAX_TAIL_RECORDS {
            self.tail_due = true;
            let soon = now + self.jitter(MAX_TAIL_JITTER);
            self.due = Some(self.due.map_or(soon, |due| due.min(soon)));
        }
    }

    /// Tells whether a checkpoint shall be written now, and notes that it is.
    pub(crate) fn take_due(&mut self, now: Instant) -> bool {
        let due = !self.writing && self.due.is_some_and(|due| due <= now);
        self.writing |= due;
        due
    }

    /// Returns when the next checkpoint is due.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.due.filter(|_| !self.writing)
    }

    fn jitter(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random())
    }
}

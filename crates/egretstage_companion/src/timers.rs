//! The instants at which calls and readers are given up.

use crate::RunKey;
use crate::reader::Reader;
use egretstage_wire::StreamId;
use std::collections::BTreeSet;
use std::time::Instant;

/// What is due at an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A reader's budget ends.
    Deadline(StreamId),
    /// A reader that ended or lost its link is given up.
    Grace(StreamId),
    /// A call that still waits can't finish in time.
    LatestStart(RunKey),
    /// A call that lasts too long is given up.
    Limit(RunKey),
}

/// All timers of a companion's calls.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    pub(crate) fn arm(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    pub(crate) fn disarm(&mut self, at: Instant, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    pub(crate) fn forget_reader(&mut self, reader: &Reader) {
        self.disarm(reader.deadline, Timer::Deadline(reader.stream));
        if let Some(grace) = reader.grace {
            self.disarm(grace, Timer::Grace(reader.stream));
        }
    }

    /// Takes a timer that is due.
    pub(crate) fn take(&mut self, now: Instant) -> Option<Timer> {
        let (at, timer) = self.0.first().copied().filter(|(at, _)| *at <= now)?;
        self.0.remove(&(at, timer));
        Some(timer)
    }

    pub(crate) fn next(&self) -> Option<Instant> {
        self.0.first().map(|(at, _)| *at)
    }
}

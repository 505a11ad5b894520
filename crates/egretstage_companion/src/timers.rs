//! Timeouts of calls and their readers.

use crate::RunKey;
use crate::reader::Reader;
use egretstage_wire::StreamId;
use std::collections::BTreeSet;
use std::time::Instant;

/// A timeout of a call or of one of its readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The reader's budget ends.
    Deadline(StreamId),
    /// The reader, which has ended or lost its link, is removed.
    GraceEnd(StreamId),
    /// The call, if it still waits, can no longer finish in time.
    LatestStart(RunKey),
    /// The call has lasted too long and is aborted.
    Abort(RunKey),
}

/// All timeouts of a companion's calls, ordered by time.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    pub(crate) fn arm(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    pub(crate) fn disarm(&mut self, at: Instant, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// Removes all timers of a reader.
    pub(crate) fn disarm_reader(&mut self, reader: &Reader) {
        self.disarm(reader.deadline, Timer::Deadline(reader.stream));
        if let Some(grace_end) = reader.grace_end {
            self.disarm(grace_end, Timer::GraceEnd(reader.stream));
        }
    }

    /// Removes and returns the earliest timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let (at, timer) = self.0.first().copied().filter(|(at, _)| *at <= now)?;
        self.0.remove(&(at, timer));
        Some(timer)
    }

    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.0.first().map(|(at, _)| *at)
    }
}

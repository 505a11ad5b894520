//! Whether a model group stands, and whether a stream is stalled by itself.
//!
//! Load pattern: the ranks of a group step together, so a rank that is lost, or
//! a decider that is lost while it holds the group, stops all its streams for
//! one to four seconds. Calls that are sent there meanwhile wait in vain, and
//! streams that are moved to another rank of the group stand there too. Calls
//! go to other groups until one event shows that the group goes on; a stream is
//! moved only if the others of its group go on, or if another group has room.

use std::time::{Duration, Instant};

/// Time without an event of any stream after which a group stands: several
/// times the longest pause that streams in time have.
const STANDS_AFTER: Duration = Duration::from_millis(700);

/// Streams that must be silent: one alone may be stalled by itself.
const SILENT_STREAMS: u32 = 2;

/// What an entry sees of the streams of a group that have shown an event.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupPulse {
    streams: u32,
    newest: Option<Instant>,
}

impl GroupPulse {
    /// Adds a stream with the time of its last event.
    pub(crate) fn add(&mut self, last_event: Instant) {
        self.streams += 1;
        self.newest = self.newest.max(Some(last_event));
    }

    /// Tells whether the group stands.
    pub(crate) fn stands(&self, now: Instant) -> bool {
        let silent = |at: Instant| now.saturating_duration_since(at) >= STANDS_AFTER;
        self.streams >= SILENT_STREAMS && self.newest.is_some_and(silent)
    }

    /// Tells whether some stream has shown an event of late.
    pub(crate) fn beats(&self, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) < STANDS_AFTER;
        self.newest.is_some_and(fresh)
    }
}

//! Detects whether a model group has stalled, or a single stream of it.
//!
//! Load pattern: the ranks of a group step in lockstep, so the loss of a rank,
//! or of a decider that holds the group, stops all streams of the group for one
//! to four seconds. Calls that are sent there meanwhile only wait, and streams
//! that are moved to another rank of the group stall there too. Calls go to
//! other groups until one event shows that the group has resumed; a stream is
//! moved only if the other streams of its group have events, or if another group
//! has capacity.

use std::time::{Duration, Instant};

/// Time without an event of any stream after which a group is considered
/// stalled: several times the longest pause between events of streams that are in
/// time.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum number of silent streams of a stalled group: a single one may be
/// stalled by itself.
const MIN_SILENT_STREAMS: u32 = 2;

/// Activity of the streams of a group that have had at least one event.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupActivity {
    streams: u32,
    last_event: Option<Instant>,
}

impl GroupActivity {
    /// Adds a stream with the time of its last event.
    pub(crate) fn add(&mut self, last_event: Instant) {
        self.streams += 1;
        self.last_event = self.last_event.max(Some(last_event));
    }

    /// Returns whether the group has stalled.
    pub(crate) fn is_stalled(&self, now: Instant) -> bool {
        let is_silent = |at: Instant| now.saturating_duration_since(at) >= STALL_TIMEOUT;
        self.streams >= MIN_SILENT_STREAMS && self.last_event.is_some_and(is_silent)
    }

    /// Returns whether any stream has had an event within the stall timeout.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < STALL_TIMEOUT;
        self.last_event.is_some_and(is_recent)
    }
}

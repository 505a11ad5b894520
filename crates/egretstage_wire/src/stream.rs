//! Stream IDs that are unique across reconnects and restarts.

use serde::{Deserialize, Serialize};

/// A random number drawn once at each start of a process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Identifies one call between an entry and a companion.
///
/// The pair is never reused: the incarnation changes when the entry restarts,
/// and the sequence number only grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId {
    /// The entry's incarnation.
    pub entry: Incarnation,
    /// Sequence number of the call within the incarnation.
    pub sequence: u64,
}

/// Issues the stream IDs of one entry.
#[derive(Debug)]
pub struct StreamIdGenerator {
    entry: Incarnation,
    next_sequence: u64,
}

impl StreamIdGenerator {
    /// Creates a generator for one incarnation of an entry.
    #[must_use]
    pub fn new(entry: Incarnation) -> Self {
        Self {
            entry,
            next_sequence: 0,
        }
    }

    /// Returns an ID that was never returned before.
    pub fn issue(&mut self) -> StreamId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        StreamId {
            entry: self.entry,
            sequence,
        }
    }
}

//! Identities of streams, unique across reconnects and restarts.

use serde::{Deserialize, Serialize};

/// A random number drawn once at each start of a process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Identifies one call between an entry and a companion.
///
/// The pair is never reused: the incarnation changes when the entry restarts,
/// the sequence only grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId {
    /// The entry's incarnation.
    pub entry: Incarnation,
    /// The entry's count of calls sent.
    pub sequence: u64,
}

/// Issues the stream identities of one entry.
#[derive(Debug)]
pub struct StreamIdGenerator {
    entry: Incarnation,
    next: u64,
}

impl StreamIdGenerator {
    /// Starts to count for an incarnation.
    #[must_use]
    pub fn new(entry: Incarnation) -> Self {
        Self { entry, next: 0 }
    }

    /// Returns an identity that was never returned before.
    pub fn issue(&mut self) -> StreamId {
        let sequence = self.next;
        self.next += 1;
        StreamId {
            entry: self.entry,
            sequence,
        }
    }
}

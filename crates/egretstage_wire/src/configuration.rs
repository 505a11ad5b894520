//! The configuration as it is sent on links and stored in checkpoints.

use crate::{ChangeId, KindName, ObjectName};
use serde::{Deserialize, Serialize};

/// Position of a record in a log stream; the first is 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the next offset.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The part of a record whose format is the same in every release.
///
/// Whether a record is accepted depends on its envelope alone, so a node of an
/// older release accepts exactly the records that a newer one accepts. The
/// envelope's fields and the validation of its names must not change between
/// releases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Unique ID of the change; a record that repeats an ID is dropped.
    pub id: ChangeId,
    /// Kind of the object; this release may not know it.
    pub kind: KindName,
    /// Name of the object.
    pub name: ObjectName,
    /// Offset of the accepted record that this one replaces; 0 for none.
    pub base: Offset,
    /// Schema version of the body.
    pub schema: u16,
    /// Whether the object is removed.
    #[serde(default)]
    pub removed: bool,
}

/// A configuration object: its accepted record and that record's offset.
///
/// The state of a removed object is kept, so that its revision isn't reused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectState {
    /// Offset of the accepted record.
    pub revision: Offset,
    /// Envelope of the accepted record.
    pub envelope: Envelope,
    /// Body of the accepted record.
    pub body: serde_json::Value,
}

/// The ID of a recently folded change, by which a repeat is recognised.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenChange {
    /// Offset of the first record with this ID.
    pub offset: Offset,
    /// ID of the change.
    pub id: ChangeId,
}

/// Digest of all accepted revisions; nodes with the same state have the same digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest(pub u64);

/// One part of the changes between two offsets.
///
/// With `since` 0 all parts together hold the whole state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateChunk {
    /// Lowest offset that the receiver must have reached.
    pub since: Offset,
    /// Offset that the receiver has reached once it has all parts.
    pub through: Offset,
    /// Number of this part, counted from 1.
    pub part: u32,
    /// Number of parts in total.
    pub parts: u32,
    /// Digest of the state at `through`.
    pub digest: StateDigest,
    /// Objects with a revision above `since`.
    pub objects: Vec<ObjectState>,
    /// Changes that were first seen above `since`.
    pub seen: Vec<SeenChange>,
}

/// A message by which processes relay the configuration to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationFrame {
    /// Announces the offset up to which the sender has the configuration.
    Announce {
        /// The offset.
        offset: Offset,
        /// Digest of the state at that offset.
        digest: StateDigest,
    },
    /// Requests the changes since an offset.
    Pull {
        /// The requester's own offset.
        since: Offset,
    },
    /// One part of the reply to a [`ConfigurationFrame::Pull`].
    Chunk(Box<StateChunk>),
}

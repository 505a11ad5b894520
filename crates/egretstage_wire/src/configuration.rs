//! The configuration as it crosses links and stands in checkpoints.

use crate::{ChangeId, KindName, ObjectName};
use serde::{Deserialize, Serialize};

/// Position of a record in a log stream; the first is 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset that follows.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The part of a record that every release reads alike.
///
/// Acceptance depends on the envelope alone, so a node of an older release
/// accepts exactly what a newer one does. Its fields and the checks of its
/// names don't change between releases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Unique identity of the change; a repeat is dropped.
    pub id: ChangeId,
    /// Kind of the object, which this release may not know.
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

/// One object of the configuration: its accepted record and that record's
/// offset. A removed object stays, so that its revision is not reused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectState {
    /// Offset of the accepted record.
    pub revision: Offset,
    /// Envelope of the accepted record.
    pub envelope: Envelope,
    /// Body of the accepted record.
    pub body: serde_json::Value,
}

/// The identity of a change that was folded not long ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenChange {
    /// Offset of its first record.
    pub offset: Offset,
    /// The identity.
    pub id: ChangeId,
}

/// A digest over which changes are in force; equal folds have equal digests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest(pub u64);

/// A part of what has changed between two offsets; since 0 it is a part of
/// the whole state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateChunk {
    /// The receiver must hold at least this offset.
    pub since: Offset,
    /// Offset that the receiver holds once it has all parts.
    pub through: Offset,
    /// Position of this part, counted from 1.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// Digest of the state at `through`.
    pub digest: StateDigest,
    /// Objects with a revision above `since`.
    pub objects: Vec<ObjectState>,
    /// Changes seen above `since`.
    pub seen: Vec<SeenChange>,
}

/// A message of the configuration's relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationFrame {
    /// The sender holds the configuration up to an offset.
    Announce {
        /// The offset.
        offset: Offset,
        /// Digest of the state at that offset.
        digest: StateDigest,
    },
    /// The sender asks for what has changed since an offset.
    Pull {
        /// The offset that it holds.
        since: Offset,
    },
    /// A part of the answer to a pull.
    Chunk(Box<StateChunk>),
}

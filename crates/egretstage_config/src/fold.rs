//! Folds configuration records into the active configuration.

mod objects;

use crate::{BodyReader, Configuration, Record, read_body};
use egretstage_wire::{
    ChangeId, KindName, ObjectName, ObjectState, Offset, SeenChange, StateDigest,
};
use objects::Objects;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Number of offsets for which the identity of a change is remembered.
///
/// Later repeats are refused too, because their base is outdated; within the
/// window a repeat can be distinguished from a conflict.
pub const DEDUP_WINDOW_OFFSETS: u64 = 1024;

/// Outcome of folding a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The record is now the object's accepted revision.
    Accepted,
    /// A record with the same identity was folded before, and only the first
    /// one counts.
    Repeated,
    /// Its base isn't the object's accepted revision: another change came first.
    Conflict {
        /// Offset of the accepted record.
        current: Offset,
    },
    /// Its offset isn't above that of the last record.
    OutOfOrder,
}

/// All changes between two offsets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateDelta {
    /// Offset up to which the receiver must already hold the state.
    pub since: Offset,
    /// Offset up to which the receiver holds the state afterwards.
    pub through: Offset,
    /// Digest of the state at `through`.
    pub digest: StateDigest,
    /// Objects with a revision above `since`, by revision.
    pub objects: Vec<ObjectState>,
    /// Changes seen above `since`, by offset.
    pub seen: Vec<SeenChange>,
}

/// Outcome of merging a [`StateDelta`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The fold advanced to the delta's `through` offset.
    Advanced,
    /// The fold was at that offset or beyond it; nothing was changed.
    Older,
    /// The delta starts above the fold's offset; nothing was changed.
    Gap,
    /// The fold advanced to the delta's `through` offset, but the digests
    /// differ: the sender folded the same records to another state.
    Diverged,
}

/// Folds records in the order of their offsets.
///
/// Acceptance is a compare-and-set on the object's revision and reads only the
/// envelope. An accepted body that this release can't read makes the object
/// unavailable; the fold never falls back to an older body.
#[derive(Clone, Debug)]
pub struct ConfigurationFold {
    reader: BodyReader,
    objects: Objects,
    seen: HashMap<ChangeId, Offset>,
    seen_by_offset: BTreeMap<Offset, ChangeId>,
    offset: Offset,
    configuration: Arc<Configuration>,
}

impl Default for ConfigurationFold {
    fn default() -> Self {
        Self::with_reader(read_body)
    }
}

impl ConfigurationFold {
    /// Creates an empty fold with a reader of bodies.
    #[must_use]
    pub fn with_reader(reader: BodyReader) -> Self {
        Self {
            reader,
            objects: Objects::default(),
            seen: HashMap::new(),
            seen_by_offset: BTreeMap::new(),
            offset: Offset(0),
            configuration: Arc::default(),
        }
    }

    /// Returns the offset of the last record folded.
    #[must_use]
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Returns the active configuration.
    #[must_use]
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the digest over all accepted revisions.
    #[must_use]
    pub fn digest(&self) -> StateDigest {
        self.objects.digest()
    }

    /// Returns the accepted revision of an object, 0 for none.
    #[must_use]
    pub fn revision(&self, kind: &KindName, name: &ObjectName) -> Offset {
        self.objects
            .get(kind, name)
            .map_or(Offset(0), |object| object.revision)
    }

    /// Returns an object, including a removed one.
    #[must_use]
    pub fn object(&self, kind: &KindName, name: &ObjectName) -> Option<&ObjectState> {
        self.objects.get(kind, name)
    }

    /// Returns all objects by revision, including removed ones.
    pub fn objects(&self) -> impl Iterator<Item = &ObjectState> {
        self.objects.since(Offset(0))
    }

    /// Skips an offset that holds no configuration record.
    pub fn skip(&mut self, offset: Offset) {
        if offset > self.offset {
            self.advance(offset);
        }
    }

    /// Folds the record at an offset.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        if offset <= self.offset {
            return Verdict::OutOfOrder;
        }
        self.advance(offset);
        let envelope = &record.envelope;
        if self.seen.contains_key(&envelope.id) {
            return Verdict::Repeated;
        }
        self.remember(offset, envelope.id.clone());
        let current = self.revision(&envelope.kind, &envelope.name);
        if envelope.base != current {
            return Verdict::Conflict { current };
        }
        self.install(ObjectState {
            revision: offset,
            envelope: envelope.clone(),
            body: record.body.clone(),
        });
        Verdict::Accepted
    }

    /// Returns all changes since an offset; since 0, the whole state.
    #[must_use]
    pub fn delta(&self, since: Offset) -> StateDelta {
        let seen = self.seen_by_offset.range(since.next()..);
        StateDelta {
            since,
            through: self.offset,
            digest: self.digest(),
            objects: self.objects.since(since).cloned().collect(),
            seen: seen
                .map(|(offset, id)| SeenChange {
                    offset: *offset,
                    id: id.clone(),
                })
                .collect(),
        }
    }

    /// Merges the state of another fold of the same records.
    ///
    /// The result is the same as that of folding the records up to the
    /// delta's `through`. The offset never decreases.
    pub fn merge(&mut self, delta: StateDelta) -> MergeOutcome {
        if delta.through <= self.offset {
            return MergeOutcome::Older;
        }
        if delta.since > self.offset {
            return MergeOutcome::Gap;
        }
        for object in delta.objects {
            if object.revision > self.offset {
                self.install(object);
            }
        }
        for change in delta.seen {
            if change.offset > self.offset {
                self.remember(change.offset, change.id);
            }
        }
        self.advance(delta.through);
        if self.digest() == delta.digest {
            MergeOutcome::Advanced
        } else {
            MergeOutcome::Diverged
        }
    }

    fn advance(&mut self, offset: Offset) {
        self.offset = offset;
        let oldest = Offset((offset.0 + 1).saturating_sub(DEDUP_WINDOW_OFFSETS));
        while let Some(first) = self.seen_by_offset.first_entry() {
            if *first.key() >= oldest {
                return;
            }
            self.seen.remove(&first.remove());
        }
    }

    fn remember(&mut self, offset: Offset, id: ChangeId) {
        self.seen.insert(id.clone(), offset);
        self.seen_by_offset.insert(offset, id);
    }

    fn install(&mut self, object: ObjectState) {
        let envelope = &object.envelope;
        let configuration = Arc::make_mut(&mut self.configuration);
        configuration.remove(&envelope.kind, &envelope.name);
        if !envelope.removed {
            match (self.reader)(envelope, &object.body) {
                Ok(body) => configuration.install(body),
                Err(unreadable) => configuration.install_unreadable(unreadable),
            }
        }
        self.objects.put(object);
    }
}

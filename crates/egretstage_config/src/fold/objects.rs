//! All configuration objects in an arena, indexed by name and by revision.

use egretstage_wire::{KindName, ObjectName, ObjectState, Offset, StateDigest};
use sha2::{Digest, Sha256};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound::{Excluded, Unbounded};

new_key_type! {
    /// Key of an object in the arena.
    struct ObjectKey;
}

/// All objects, including removed ones.
#[derive(Clone, Debug, Default)]
pub(super) struct Objects {
    arena: SlotMap<ObjectKey, ObjectState>,
    by_name: HashMap<KindName, HashMap<ObjectName, ObjectKey>>,
    by_revision: BTreeMap<Offset, ObjectKey>,
    digest: StateDigest,
}

impl Objects {
    pub(super) fn get(&self, kind: &KindName, name: &ObjectName) -> Option<&ObjectState> {
        let key = self.by_name.get(kind)?.get(name)?;
        self.arena.get(*key)
    }

    pub(super) fn digest(&self) -> StateDigest {
        self.digest
    }

    /// Returns the objects with a revision above an offset, by revision.
    pub(super) fn since(&self, offset: Offset) -> impl Iterator<Item = &ObjectState> {
        let newer = self.by_revision.range((Excluded(offset), Unbounded));
        newer.filter_map(|(_, key)| self.arena.get(*key))
    }

    /// Adds an object or replaces it by its next revision.
    pub(super) fn put(&mut self, object: ObjectState) {
        let digest = object_digest(&object);
        self.digest.0 = self.digest.0.wrapping_add(digest);
        let revision = object.revision;
        let names = self
            .by_name
            .entry(object.envelope.kind.clone())
            .or_default();
        let existing_key = names.get(&object.envelope.name).copied();
        if let Some((key, existing)) =
            existing_key.and_then(|key| Some((key, self.arena.get_mut(key)?)))
        {
            self.digest.0 = self.digest.0.wrapping_sub(object_digest(existing));
            self.by_revision.remove(&existing.revision);
            *existing = object;
            self.by_revision.insert(revision, key);
            return;
        }
        let name = object.envelope.name.clone();
        let key = self.arena.insert(object);
        names.insert(name, key);
        self.by_revision.insert(revision, key);
    }
}

/// Returns an object's contribution to the state digest.
///
/// The state digest is the sum of all contributions, so a change only has to
/// recompute those of its own object.
fn object_digest(object: &ObjectState) -> u64 {
    let envelope = &object.envelope;
    let mut hash = Sha256::new();
    for text in [
        envelope.kind.as_str(),
        envelope.name.as_str(),
        envelope.id.as_str(),
    ] {
        hash.update(text);
        hash.update([0]);
    }
    hash.update(object.revision.0.to_be_bytes());
    let digest = hash.finalize();
    u64::from_be_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

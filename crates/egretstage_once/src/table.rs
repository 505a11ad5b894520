//! The keys that an owner remembers.

use crate::{CallFingerprint, KeyDigest};
use compact_str::CompactString;
use egretstage_wire::OrganisationName;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

new_key_type! {
    /// Identifies a remembered key in its owner's arena.
    pub struct KeyId;
}

/// An idempotency key in the scope of its organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyName {
    /// The caller's organisation.
    pub organisation: OrganisationName,
    /// The key.
    pub key: CompactString,
}

/// A remembered key.
#[derive(Clone, Debug)]
pub(crate) struct KeyEntry<T> {
    pub(crate) name: KeyName,
    pub(crate) digest: KeyDigest,
    pub(crate) fingerprint: CallFingerprint,
    /// The run that the key names.
    pub(crate) run: T,
    /// Set once the key stands on a list that other owners honour.
    pub(crate) listed: bool,
    /// Whether the service allows the run while the log can't be read.
    pub(crate) run_without_log: bool,
    forget_at: Option<Instant>,
}

impl<T> KeyEntry<T> {
    pub(crate) fn new(
        name: KeyName,
        digest: KeyDigest,
        fingerprint: CallFingerprint,
        run: T,
    ) -> Self {
        Self {
            name,
            digest,
            fingerprint,
            run,
            listed: false,
            run_without_log: false,
            forget_at: None,
        }
    }
}

/// The keys that an owner remembers, running or ended.
#[derive(Debug)]
pub(crate) struct KeyTable<T> {
    entries: SlotMap<KeyId, KeyEntry<T>>,
    by_name: HashMap<KeyName, KeyId>,
    forget: BTreeSet<(Instant, KeyId)>,
}

impl<T> Default for KeyTable<T> {
    fn default() -> Self {
        Self {
            entries: SlotMap::with_key(),
            by_name: HashMap::new(),
            forget: BTreeSet::new(),
        }
    }
}

impl<T: Copy> KeyTable<T> {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn find(&self, name: &KeyName) -> Option<&KeyEntry<T>> {
        self.by_name.get(name).map(|id| &self.entries[*id])
    }

    pub(crate) fn get(&self, id: KeyId) -> Option<&KeyEntry<T>> {
        self.entries.get(id)
    }

    pub(crate) fn insert(&mut self, entry: KeyEntry<T>) -> KeyId {
        let name = entry.name.clone();
        let id = self.entries.insert(entry);
        self.by_name.insert(name, id);
        id
    }

    pub(crate) fn remove(&mut self, id: KeyId) -> Option<T> {
        let entry = self.entries.remove(id)?;
        self.by_name.remove(&entry.name);
        if let Some(at) = entry.forget_at {
            self.forget.remove(&(at, id));
        }
        Some(entry.run)
    }

    /// Has a key forgotten at an instant.
    pub(crate) fn forget_at(&mut self, id: KeyId, at: Instant) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if let Some(old) = entry.forget_at.replace(at) {
            self.forget.remove(&(old, id));
        }
        self.forget.insert((at, id));
    }

    /// Removes and returns the runs of the keys that are due.
    pub(crate) fn take_forgotten(&mut self, now: Instant) -> Vec<T> {
        let mut runs = Vec::new();
        while let Some((at, id)) = self.forget.first().copied() {
            if at > now {
                break;
            }
            runs.extend(self.remove(id));
        }
        runs
    }

    pub(crate) fn next_forget(&self) -> Option<Instant> {
        self.forget.first().map(|(at, _)| *at)
    }

    /// Lists the keys that a predicate picks and marks them as listed; returns
    /// none, and marks none, when they are more than `most`.
    pub(crate) fn list(
        &mut self,
        most: usize,
        pick: impl Fn(&KeyEntry<T>) -> bool,
    ) -> Option<Vec<KeyDigest>> {
        let count = self.entries.values().filter(|entry| pick(entry)).count();
        if count > most {
            return None;
        }
        let picked = self.entries.values_mut().filter(|entry| pick(entry));
        let list = picked.map(|entry| {
            entry.listed = true;
            entry.digest
        });
        Some(list.collect())
    }
}

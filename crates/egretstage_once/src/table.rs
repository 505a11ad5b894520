//! The table of the keys that an owner remembers.

use crate::{CallFingerprint, KeyDigest};
use compact_str::CompactString;
use egretstage_wire::OrganisationName;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

new_key_type! {
    /// Identifies a remembered key in its owner's table.
    pub struct KeyId;
}

/// An idempotency key in the scope of its organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyName {
    /// The caller's organisation.
    pub organisation: OrganisationName,
    /// The idempotency key.
    pub key: CompactString,
}

/// A remembered key.
#[derive(Clone, Debug)]
pub(crate) struct KeyEntry<T> {
    pub(crate) name: KeyName,
    pub(crate) digest: KeyDigest,
    pub(crate) fingerprint: CallFingerprint,
    /// The run of the call that the key was first used for.
    pub(crate) run: T,
    /// Whether the key is in a list that this member hands over.
    pub(crate) listed: bool,
    /// Whether the service allows runs while the log can't be read.
    pub(crate) run_without_log: bool,
    expires_at: Option<Instant>,
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
            expires_at: None,
        }
    }
}

/// The keys that an owner remembers, of queued, running and ended calls.
#[derive(Debug)]
pub(crate) struct KeyTable<T> {
    entries: SlotMap<KeyId, KeyEntry<T>>,
    by_name: HashMap<KeyName, KeyId>,
    expirations: BTreeSet<(Instant, KeyId)>,
}

impl<T> Default for KeyTable<T> {
    fn default() -> Self {
        Self {
            entries: SlotMap::with_key(),
            by_name: HashMap::new(),
            expirations: BTreeSet::new(),
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
        if let Some(at) = entry.expires_at {
            self.expirations.remove(&(at, id));
        }
        Some(entry.run)
    }

    /// Sets when a key expires.
    pub(crate) fn expire_at(&mut self, id: KeyId, at: Instant) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if let Some(old) = entry.expires_at.replace(at) {
            self.expirations.remove(&(old, id));
        }
        self.expirations.insert((at, id));
    }

    /// Removes the keys that have expired and returns their runs.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let mut runs = Vec::new();
        while let Some((at, id)) = self.expirations.first().copied() {
            if at > now {
                break;
            }
            runs.extend(self.remove(id));
        }
        runs
    }

    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.expirations.first().map(|(at, _)| *at)
    }

    /// Marks the keys that `pick` selects as listed and returns their digests;
    /// returns none, and marks none, if they are more than `max_count`.
    pub(crate) fn list(
        &mut self,
        max_count: usize,
        pick: impl Fn(&KeyEntry<T>) -> bool,
    ) -> Option<Vec<KeyDigest>> {
        let count = self.entries.values().filter(|entry| pick(entry)).count();
        if count > max_count {
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

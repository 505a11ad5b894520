//! The records of a topic that a follower has reported, and how listed ones compare.

use crate::{KeyedRecord, KeyedTopic, RecordOrder, RecordVersion};
use compact_str::CompactString;
use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Greatest age of the copy that a store is restored from. A removed record is
/// remembered for as long, since the restored store may list it again.
const MAX_COPY_AGE: Duration = Duration::from_mins(1);

/// What a follower does with a listed record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listing {
    /// The record is applied.
    Apply,
    /// The record is applied later, unless its writer writes another one first.
    Defer,
    /// The same record is held.
    Same,
    /// The held record is newer, or was removed since.
    PassOver,
}

/// The records that a follower has reported.
#[derive(Clone, Debug)]
pub(crate) struct HeldRecords {
    topic: KeyedTopic,
    order: Arc<dyn RecordOrder>,
    /// Values reported as written and not as removed since.
    present: HashMap<CompactString, Vec<u8>>,
    /// The last values of removed keys, with the time of their removal.
    removed: HashMap<CompactString, (Vec<u8>, Instant)>,
}

impl HeldRecords {
    pub(crate) fn new(topic: KeyedTopic, order: Arc<dyn RecordOrder>) -> Self {
        Self {
            topic,
            order,
            present: HashMap::new(),
            removed: HashMap::new(),
        }
    }

    /// Returns the present keys that aren't in a list.
    pub(crate) fn keys_missing_in(&self, listed: &HashSet<CompactString>) -> Vec<CompactString> {
        let present = self.present.keys();
        present
            .filter(|key| !listed.contains(*key))
            .cloned()
            .collect()
    }

    pub(crate) fn insert(&mut self, key: CompactString, value: Vec<u8>) {
        self.removed.remove(&key);
        self.present.insert(key, value);
    }

    /// Removes a key; returns whether it was present.
    pub(crate) fn remove(&mut self, now: Instant, key: &CompactString) -> bool {
        let Some(value) = self.present.remove(key) else {
            return false;
        };
        self.removed.insert(key.clone(), (value, now));
        true
    }

    /// Forgets removals older than [`MAX_COPY_AGE`].
    pub(crate) fn forget_old_removals(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MAX_COPY_AGE;
        self.removed.retain(|_, (_, at)| is_recent(*at));
    }

    /// Decides what becomes of a listed record.
    ///
    /// A list from a restored store has records of the copy beside records that were
    /// written since. A record without a version may be either, so it is deferred: its
    /// writer writes a lost record again. A list from a store that wasn't restored is newer
    /// than what is held, except for records that were lost in an earlier restore.
    ///
    /// A key that applies as listed has neither: its reader knows the order of lists.
    pub(crate) fn judge(&self, record: &KeyedRecord, is_restored: bool) -> Listing {
        if self.applies_as_listed(&record.key) {
            return Listing::Apply;
        }
        if let Some(held) = self.present.get(&record.key) {
            return match self.compare(record, held) {
                Some(Ordering::Greater) => Listing::Apply,
                Some(Ordering::Less) => Listing::PassOver,
                _ if !is_restored => Listing::Apply,
                Some(Ordering::Equal) => Listing::Same,
                None => Listing::Defer,
            };
        }
        let removed = self.removed.get(&record.key).filter(|_| is_restored);
        match removed.map(|(value, _)| self.compare(record, value)) {
            None | Some(Some(Ordering::Greater)) => Listing::Apply,
            Some(_) => Listing::PassOver,
        }
    }

    /// Returns whether a record is newer than the present one of its key, as far as their
    /// versions show.
    pub(crate) fn is_newer(&self, record: &KeyedRecord) -> bool {
        let held = self.present.get(&record.key);
        let order = held.and_then(|held| self.compare(record, held));
        !matches!(order, Some(Ordering::Less | Ordering::Equal))
    }

    /// Compares a record with the value that its key had before.
    fn compare(&self, record: &KeyedRecord, held: &[u8]) -> Option<Ordering> {
        let listed = record.value.as_deref().unwrap_or_default();
        if listed == held {
            return Some(Ordering::Equal);
        }
        let listed = self.version(&record.key, listed)?;
        Some(listed.cmp(&self.version(&record.key, held)?))
    }

    /// Logs that a listed record isn't applied.
    pub(crate) fn log_passed_over(&self, record: &KeyedRecord, listing: Listing) {
        let topic: &'static str = self.topic.into();
        let key = record.key.as_str();
        let version = |value: &[u8]| self.version(key, value);
        let held = self.present.get(key).map(|value| version(value));
        let removed = self.removed.get(key).map(|(value, _)| version(value));
        let listed = version(record.value.as_deref().unwrap_or_default());
        log::info!(
            topic, key, offset = record.offset, listed:?, held:?, removed:?, listing:?;
            "a listed record is passed over"
        );
    }

    /// Returns whether a key applies as the store has it at once.
    pub(crate) fn applies_as_listed(&self, key: &str) -> bool {
        self.order.applies_as_listed(self.topic, key)
    }

    fn version(&self, key: &str, value: &[u8]) -> Option<RecordVersion> {
        self.order.version(self.topic, key, value)
    }
}

//! Follows a keyed topic: reads the newest records first, then each change.

use crate::{Changes, KeyedRecord, KeyedStore, KeyedTopic, NewestPage, PlatformError, StoreEra};
use compact_str::CompactString;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Time after an outage for which a missing record still counts as present: its
/// writer needs about two seconds to write it again.
const REWRITE_GRACE: Duration = Duration::from_millis(2_300);

/// Greatest age of the copy that a store is restored from. A removed key is
/// remembered for as long, since the restored store may list it again.
const MAX_COPY_AGE: Duration = Duration::from_mins(1);

/// A change in a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedChange {
    /// A record was written, as a new key or over an older record.
    Put {
        /// The key.
        key: CompactString,
        /// The value.
        value: Vec<u8>,
        /// The record's offset.
        offset: u64,
    },
    /// The key was removed.
    Removed(CompactString),
}

#[derive(Clone, Debug)]
enum Position {
    /// The newest records are being read page by page.
    Newest {
        /// Last key that was read.
        after: Option<CompactString>,
        /// Offset from which changes are read afterwards. It is the end of the
        /// topic at the first page, since the pages together are no snapshot.
        tail_from: Option<u64>,
        /// Keys on the pages that were read.
        listed: HashSet<CompactString>,
        /// The era of the first page.
        era: Option<StoreEra>,
    },
    /// Changes are read from this offset on.
    Tail(u64),
}

/// Follows a keyed topic of the store.
///
/// It continues after outages, after expired history and after a restore of
/// the store from an older copy.
#[derive(Clone, Debug)]
pub struct KeyedFollower {
    topic: KeyedTopic,
    position: Position,
    /// Keys reported as written and not as removed since, including the missing
    /// ones.
    present: HashSet<CompactString>,
    /// Whether the last call failed.
    failing: bool,
    /// Time at which the store may last have been down: that of the last failed
    /// call, or of the first successful one after it, since the store came back
    /// between the two.
    failed_at: Option<Instant>,
    /// Missing keys that still count as present, with the end of their grace
    /// period.
    missing: HashMap<CompactString, Instant>,
    /// The era in which the newest records were last read.
    era: Option<StoreEra>,
    /// Removed keys, with the time of their removal.
    removed: HashMap<CompactString, Instant>,
    /// Number of listed records that were passed over.
    passed_over: u64,
}

impl KeyedFollower {
    /// Creates a follower that has read nothing yet.
    #[must_use]
    pub fn new(topic: KeyedTopic) -> Self {
        Self {
            topic,
            position: initial_position(),
            present: HashSet::new(),
            failing: false,
            failed_at: None,
            missing: HashMap::new(),
            era: None,
            removed: HashMap::new(),
            passed_over: 0,
        }
    }

    /// Records that the store serves other readers while it fails this one.
    ///
    /// Writers could then keep their records, so a missing record is removed
    /// without a grace period.
    pub fn mark_store_available(&mut self) {
        self.failing = false;
        self.failed_at = None;
    }

    /// Adopts a newer copy of all records, which another reader has read while the
    /// store fails this one; returns the changes.
    pub fn adopt(
        &mut self,
        now: Instant,
        records: Vec<(CompactString, Vec<u8>)>,
    ) -> Vec<KeyedChange> {
        self.mark_store_available();
        let listed: HashSet<&CompactString> = records.iter().map(|(key, _)| key).collect();
        let is_listed = |key: &&CompactString| listed.contains(key);
        let unlisted: Vec<_> = self
            .present
            .iter()
            .filter(|key| !is_listed(key))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for key in unlisted {
            self.remove(now, key, &mut changes);
        }
        for (key, value) in records {
            let value = Some(value);
            self.apply(
                now,
                KeyedRecord {
                    key,
                    value,
                    offset: 0,
                },
                &mut changes,
            );
        }
        changes
    }

    /// Returns whether all of the newest records have been read.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        matches!(self.position, Position::Tail(_))
    }

    /// Returns the offset up to which the topic has been read, or `None` while
    /// the newest records are being read.
    #[must_use]
    pub fn end(&self) -> Option<u64> {
        match self.position {
            Position::Tail(from) => Some(from),
            Position::Newest { .. } => None,
        }
    }

    /// Returns the era in which the newest records were last read.
    #[must_use]
    pub fn era(&self) -> Option<StoreEra> {
        self.era
    }

    /// Returns the number of listed records that were passed over so far.
    #[must_use]
    pub fn passed_over(&self) -> u64 {
        self.passed_over
    }

    /// Makes one call and returns the changes.
    ///
    /// The store may wait up to `wait` for the first change.
    ///
    /// # Errors
    ///
    /// Returns the call's error; the next call continues from the same position.
    pub fn poll(
        &mut self,
        now: Instant,
        store: &dyn KeyedStore,
        wait: Duration,
    ) -> Result<Vec<KeyedChange>, PlatformError> {
        let read = match &self.position {
            Position::Newest { after, .. } => {
                let after = after.clone();
                self.read_newest(now, store, after.as_deref())
            }
            Position::Tail(from) => self.read_tail(now, store, *from, wait),
        };
        if read.is_err() || self.failing {
            self.failed_at = Some(now);
        }
        self.failing = read.is_err();
        let mut changes = read?;
        self.remove_overdue(now, &mut changes);
        Ok(changes)
    }

    fn read_newest(
        &mut self,
        now: Instant,
        store: &dyn KeyedStore,
        after: Option<&str>,
    ) -> Result<Vec<KeyedChange>, PlatformError> {
        let page = store.newest(self.topic, after)?;
        let Position::Newest {
            tail_from,
            listed,
            era,
            ..
        } = &mut self.position
        else {
            return Ok(Vec::new());
        };
        let tail_from = *tail_from.get_or_insert(page.end);
        if *era.get_or_insert(page.era) != page.era {
            // The earlier pages were read before the store was restored.
            self.position = initial_position();
            return Ok(Vec::new());
        }
        let mut listed = std::mem::take(listed);
        listed.extend(page.records.iter().map(|record| record.key.clone()));
        let last = page.records.last().map(|record| record.key.clone());
        let (more, era) = (page.more, page.era);
        let mut changes = Vec::new();
        self.apply_page(now, page, &mut changes);
        if more && last.is_some() {
            self.position = Position::Newest {
                after: last,
                tail_from: Some(tail_from),
                listed,
                era: Some(era),
            };
            return Ok(changes);
        }
        self.position = Position::Tail(tail_from);
        self.era = Some(era);
        let unlisted: Vec<_> = self.present.difference(&listed).cloned().collect();
        for key in unlisted {
            self.remove_or_defer(now, key, &mut changes);
        }
        Ok(changes)
    }

    /// Applies a page of the newest records.
    ///
    /// A store that was restored from a copy lists some records in an older
    /// state. Records that this follower holds are newer, and a removed key
    /// stays removed until its writer writes it again. Records that the copy
    /// lacks have a grace period.
    fn apply_page(&mut self, now: Instant, page: NewestPage, changes: &mut Vec<KeyedChange>) {
        let is_restored = self.era.is_some_and(|era| era < page.era);
        if is_restored {
            self.failed_at = Some(now);
        }
        for record in page.records {
            let is_tracked =
                self.present.contains(&record.key) || self.removed.contains_key(&record.key);
            if !is_restored || !is_tracked {
                self.apply(now, record, changes);
            } else {
                self.passed_over += 1;
                let topic: &'static str = self.topic.into();
                let (key, offset, era) = (record.key.as_str(), record.offset, page.era.0);
                log::info!(topic, key, offset, era; "a listed record is passed over");
            }
        }
    }

    fn read_tail(
        &mut self,
        now: Instant,
        store: &dyn KeyedStore,
        from: u64,
        wait: Duration,
    ) -> Result<Vec<KeyedChange>, PlatformError> {
        let mut changes = Vec::new();
        match store.changes(self.topic, from, wait)? {
            Changes::Records { era, .. } if self.era.is_some_and(|read| read < era) => {
                // Offsets of an earlier era don't apply to the restored store.
                self.position = initial_position();
            }
            Changes::Records { records, next, .. } => {
                self.position = Position::Tail(next);
                for record in records {
                    self.apply(now, record, &mut changes);
                }
            }
            Changes::Expired => self.position = initial_position(),
        }
        Ok(changes)
    }

    fn apply(&mut self, now: Instant, record: KeyedRecord, changes: &mut Vec<KeyedChange>) {
        let (key, offset) = (record.key, record.offset);
        match record.value {
            Some(value) => {
                self.present.insert(key.clone());
                self.missing.remove(&key);
                self.removed.remove(&key);
                changes.push(KeyedChange::Put { key, value, offset });
            }
            None => self.remove_or_defer(now, key, changes),
        }
    }

    /// Removes a key, or defers its removal if the store was down within the last
    /// [`REWRITE_GRACE`].
    fn remove_or_defer(
        &mut self,
        now: Instant,
        key: CompactString,
        changes: &mut Vec<KeyedChange>,
    ) {
        let grace_end = self.failed_at.map(|at| at + REWRITE_GRACE);
        if let Some(at) = grace_end.filter(|at| now < *at) {
            self.missing.entry(key).or_insert(at);
        } else {
            self.remove(now, key, changes);
        }
    }

    fn remove(&mut self, now: Instant, key: CompactString, changes: &mut Vec<KeyedChange>) {
        if self.present.remove(&key) {
            self.removed.insert(key.clone(), now);
            changes.push(KeyedChange::Removed(key));
        }
    }

    /// Removes the missing keys whose grace period has ended, and forgets removals
    /// older than [`MAX_COPY_AGE`].
    fn remove_overdue(&mut self, now: Instant, changes: &mut Vec<KeyedChange>) {
        let due = |(key, at): (&CompactString, &Instant)| (*at <= now).then(|| key.clone());
        let overdue: Vec<CompactString> = self.missing.iter().filter_map(due).collect();
        for key in overdue {
            self.missing.remove(&key);
            self.remove(now, key, changes);
        }
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MAX_COPY_AGE;
        self.removed.retain(|_, at| is_recent(at));
    }
}

fn initial_position() -> Position {
    Position::Newest {
        after: None,
        tail_from: None,
        listed: HashSet::new(),
        era: None,
    }
}

//! Follows a keyed topic: reads the newest records first, then each change.

use crate::held_records::{HeldRecords, Listing};
use crate::{
    Changes, KeyedRecord, KeyedStore, KeyedTopic, NewestPage, PlatformError, RecordOrder, StoreEra,
};
use compact_str::CompactString;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after an outage for which a missing record still counts as present: its
/// writer needs about two seconds to write it again.
const REWRITE_GRACE: Duration = Duration::from_millis(2_300);

/// Maximum number of passed over records that are logged for each read of the newest
/// records: a copy has an older record of each of thousands of upstreams.
const MAX_LOGGED_RECORDS: u32 = 16;

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
    /// The records reported as written or removed, including the deferred ones.
    held: HeldRecords,
    /// Whether the last call failed.
    failing: bool,
    /// Time at which the store may last have been down: that of the last failed
    /// call, or of the first successful one after it, since the store came back
    /// between the two.
    failed_at: Option<Instant>,
    /// Records that the store has instead of the held ones, with the end of the grace
    /// period in which their writers may write again. One without a value stands for a
    /// missing record.
    deferred: HashMap<CompactString, (KeyedRecord, Instant)>,
    /// The era in which the newest records were last read.
    era: Option<StoreEra>,
    /// Offsets of listed records at or after the offset from which changes are read after
    /// the list. The earlier changes of their keys are older than the list.
    ahead: HashMap<CompactString, u64>,
    /// Number of listed records that were passed over.
    passed_over: u64,
    /// Number of those in the present read of the newest records that were logged.
    logged: u32,
}

impl KeyedFollower {
    /// Creates a follower that has read nothing yet.
    #[must_use]
    pub fn new(topic: KeyedTopic, order: Arc<dyn RecordOrder>) -> Self {
        Self {
            topic,
            position: initial_position(),
            held: HeldRecords::new(topic, order),
            failing: false,
            failed_at: None,
            deferred: HashMap::new(),
            era: None,
            ahead: HashMap::new(),
            passed_over: 0,
            logged: 0,
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
    ///
    /// The copy may hold records that are missing in the store, in the grace period of the
    /// other reader, and no later change reports them. So the newest records are read
    /// once the store serves this reader again.
    pub fn adopt(
        &mut self,
        now: Instant,
        records: Vec<(CompactString, Vec<u8>)>,
    ) -> Vec<KeyedChange> {
        self.mark_store_available();
        let listed: HashSet<CompactString> = records.iter().map(|(key, _)| key.clone()).collect();
        let mut changes = Vec::new();
        for key in self.held.keys_missing_in(&listed) {
            self.remove(now, key, &mut changes);
        }
        for (key, value) in records {
            let record = KeyedRecord {
                key,
                value: Some(value),
                offset: 0,
            };
            let is_newer = self.held.is_newer(&record);
            let (key, deferred) = (record.key.clone(), self.deferred.get(&record.key).cloned());
            self.apply_listed(now, record, false, &mut changes);
            if let Some(deferred) = deferred.filter(|_| !is_newer) {
                self.deferred.insert(key, deferred);
            }
        }
        self.position = initial_position();
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
    /// The store may wait up to `wait` for the first change, but no longer than until the
    /// next deferred record is due, and not after a failure: its answer shows whether it was
    /// restored, and then the newest records are read.
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
            Position::Tail(from) => {
                let wait = if self.failing {
                    Duration::ZERO
                } else {
                    wait.min(self.time_to_deferred(now))
                };
                self.read_tail(now, store, *from, wait)
            }
        };
        if read.is_err() || self.failing {
            self.failed_at = Some(now);
        }
        self.failing = read.is_err();
        let mut changes = read?;
        self.apply_overdue(now, &mut changes);
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
        if tail_from.is_none() {
            self.ahead.clear();
        }
        let tail_from = *tail_from.get_or_insert(page.end);
        if *era.get_or_insert(page.era) != page.era {
            // The earlier pages were read before the store was restored.
            self.position = initial_position();
            return Ok(Vec::new());
        }
        let mut listed = std::mem::take(listed);
        listed.extend(page.records.iter().map(|record| record.key.clone()));
        let ahead = page.records.iter();
        let ahead = ahead.filter(|record| record.offset >= tail_from);
        let ahead = ahead.map(|record| (record.key.clone(), record.offset));
        self.ahead.extend(ahead);
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
        self.logged = 0;
        let missing = self.held.keys_missing_in(&listed);
        let is_first = self.era.replace(era).is_none();
        if is_first && !missing.is_empty() {
            // The reader that the missing records were adopted from may have read them
            // before a restore.
            self.failed_at = Some(now);
        }
        for key in missing {
            self.remove_or_defer(now, key, &mut changes);
        }
        Ok(changes)
    }

    /// Applies a page of the newest records.
    fn apply_page(&mut self, now: Instant, page: NewestPage, changes: &mut Vec<KeyedChange>) {
        let is_restored = self.era.is_some_and(|era| era < page.era);
        if is_restored {
            self.failed_at = Some(now);
        }
        for record in page.records {
            self.apply_listed(now, record, is_restored, changes);
        }
    }

    /// Applies a listed record, unless the held one is newer.
    fn apply_listed(
        &mut self,
        now: Instant,
        record: KeyedRecord,
        is_restored: bool,
        changes: &mut Vec<KeyedChange>,
    ) {
        let listing = self.held.judge(&record, is_restored);
        if matches!(listing, Listing::Defer | Listing::PassOver) {
            self.passed_over += 1;
            if self.logged < MAX_LOGGED_RECORDS {
                self.logged += 1;
                self.held.log_passed_over(&record, listing);
            }
        }
        match listing {
            Listing::Apply => self.apply(now, record, changes),
            Listing::Defer => {
                let key = record.key.clone();
                self.deferred.insert(key, (record, now + REWRITE_GRACE));
            }
            Listing::Same | Listing::PassOver => {
                self.deferred.remove(&record.key);
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
                    if self
                        .ahead
                        .get(&record.key)
                        .is_none_or(|at| record.offset >= *at)
                    {
                        self.apply(now, record, &mut changes);
                    }
                }
                self.ahead.retain(|_, at| *at >= next);
            }
            Changes::Expired => self.position = initial_position(),
        }
        Ok(changes)
    }

    fn apply(&mut self, now: Instant, record: KeyedRecord, changes: &mut Vec<KeyedChange>) {
        let (key, offset) = (record.key, record.offset);
        match record.value {
            Some(value) => {
                self.deferred.remove(&key);
                self.held.insert(key.clone(), value.clone());
                changes.push(KeyedChange::Put { key, value, offset });
            }
            None => self.remove_or_defer(now, key, changes),
        }
    }

    /// Removes a key, or defers its removal if the store was down within the last
    /// [`REWRITE_GRACE`], or until the end of an earlier grace period. One that applies as
    /// listed is removed at once.
    fn remove_or_defer(
        &mut self,
        now: Instant,
        key: CompactString,
        changes: &mut Vec<KeyedChange>,
    ) {
        if self.held.applies_as_listed(&key) {
            self.remove(now, key, changes);
            return;
        }
        let earlier = self.deferred.get(&key);
        let earlier = earlier.filter(|(record, _)| record.value.is_none());
        let grace_end = self.failed_at.map(|at| at + REWRITE_GRACE);
        let grace_end = grace_end.max(earlier.map(|(_, at)| *at));
        if let Some(at) = grace_end.filter(|at| now < *at) {
            let missing = KeyedRecord {
                key: key.clone(),
                value: None,
                offset: 0,
            };
            self.deferred.insert(key, (missing, at));
        } else {
            self.remove(now, key, changes);
        }
    }

    fn remove(&mut self, now: Instant, key: CompactString, changes: &mut Vec<KeyedChange>) {
        self.deferred.remove(&key);
        if self.held.remove(now, &key) {
            changes.push(KeyedChange::Removed(key));
        }
    }

    /// Returns the time until the next deferred record is due.
    #[must_use]
    pub fn time_to_deferred(&self, now: Instant) -> Duration {
        let due = self.deferred.values().map(|(_, at)| *at).min();
        due.map_or(Duration::MAX, |at| at.saturating_duration_since(now))
    }

    /// Applies the deferred records whose grace period has ended.
    fn apply_overdue(&mut self, now: Instant, changes: &mut Vec<KeyedChange>) {
        let is_due = |_: &CompactString, (_, at): &mut (KeyedRecord, Instant)| *at <= now;
        let due: Vec<_> = self.deferred.extract_if(is_due).collect();
        for (key, (record, _)) in due {
            if record.value.is_some() {
                self.apply(now, record, changes);
            } else {
                self.remove(now, key, changes);
            }
        }
        self.held.forget_old_removals(now);
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

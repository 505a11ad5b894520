//! Follows a keyed topic: first the newest records, then each change.

use crate::{Changes, KeyedRecord, KeyedStore, KeyedTopic, NewestPage, PlatformError, StoreEra};
use compact_str::CompactString;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Time for which a record that is missing after an outage is still believed:
/// its writer needs about two seconds to write it again.
const RETURN_GRACE: Duration = Duration::from_millis(2_300);

/// Time for which a key that has gone is remembered: a copy of the store's
/// records that is at most so old may show it again.
const COPY_AGE: Duration = Duration::from_mins(1);

/// What has changed in a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedChange {
    /// A record was written, for the first time or anew.
    Put {
        /// The key.
        key: CompactString,
        /// The value.
        value: Vec<u8>,
        /// The record's offset.
        offset: u64,
    },
    /// The key was dropped.
    Removed(CompactString),
}

#[derive(Clone, Debug)]
enum Position {
    /// The newest records are being read, up to a key.
    Newest {
        after: Option<CompactString>,
        /// Offset from which changes are read later: that of the first page,
        /// since the pages together are no snapshot.
        end: Option<u64>,
        seen: HashSet<CompactString>,
        /// The era of the first page.
        era: Option<StoreEra>,
    },
    /// Changes are read from an offset on.
    Tail(u64),
}

/// Follows a keyed topic of the store, through outages and lost history.
#[derive(Clone, Debug)]
pub struct KeyedFollower {
    topic: KeyedTopic,
    position: Position,
    known: HashSet<CompactString>,
    /// Whether the last call failed.
    failing: bool,
    /// When the store was last known to fail: the last failed call, or the
    /// first one after it, since the store came back between them.
    failed_at: Option<Instant>,
    missing: HashMap<CompactString, Instant>,
    /// The era in which the newest records were last read.
    era: Option<StoreEra>,
    /// Keys that have gone, and when.
    gone: HashMap<CompactString, Instant>,
}

impl KeyedFollower {
    /// Starts before the first record.
    #[must_use]
    pub fn new(topic: KeyedTopic) -> Self {
        Self {
            topic,
            position: start(),
            known: HashSet::new(),
            failing: false,
            failed_at: None,
            missing: HashMap::new(),
            era: None,
            gone: HashMap::new(),
        }
    }

    /// Notes that the store serves others while it fails this reader: no record
    /// has lapsed for want of a store, so what is missing is gone.
    pub fn mark_store_available(&mut self) {
        self.failing = false;
        self.failed_at = None;
    }

    /// Tells whether all that was there at the start has been read.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        matches!(self.position, Position::Tail(_))
    }

    /// Returns the offset up to which the topic has been read.
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

    /// Makes one call and returns what has changed.
    ///
    /// `wait` is how long the store may wait for the first change.
    ///
    /// # Errors
    ///
    /// Returns the call's error; the next call takes up where this one was.
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
        self.drop_missing(now, &mut changes);
        Ok(changes)
    }

    fn read_newest(
        &mut self,
        now: Instant,
        store: &dyn KeyedStore,
        after: Option<&str>,
    ) -> Result<Vec<KeyedChange>, PlatformError> {
        let page = store.newest(self.topic, after)?;
        let Position::Newest { end, seen, era, .. } = &mut self.position else {
            return Ok(Vec::new());
        };
        let end = *end.get_or_insert(page.end);
        if *era.get_or_insert(page.era) != page.era {
            // The pages before were those of another copy.
            self.position = start();
            return Ok(Vec::new());
        }
        let mut seen = std::mem::take(seen);
        seen.extend(page.records.iter().map(|record| record.key.clone()));
        let last = page.records.last().map(|record| record.key.clone());
        let (more, era) = (page.more, page.era);
        let mut changes = Vec::new();
        self.apply_page(now, page, &mut changes);
        if more && last.is_some() {
            self.position = Position::Newest {
                after: last,
                end: Some(end),
                seen,
                era: Some(era),
            };
            return Ok(changes);
        }
        self.position = Position::Tail(end);
        self.era = Some(era);
        let lapsed: Vec<_> = self.known.difference(&seen).cloned().collect();
        for key in lapsed {
            self.removed(now, key, &mut changes);
        }
        Ok(changes)
    }

    /// Takes over a page of the newest records.
    ///
    /// A store that has come back from a copy shows some records as they were
    /// before: what is known is newer, and what has gone stays so until its
    /// writer writes again. What it lacks has its time to return.
    fn apply_page(&mut self, now: Instant, page: NewestPage, changes: &mut Vec<KeyedChange>) {
        let is_copy = self.era.is_some_and(|era| era < page.era);
        if is_copy {
            self.failed_at = Some(now);
        }
        for record in page.records {
            let is_newer_here =
                self.known.contains(&record.key) || self.gone.contains_key(&record.key);
            if !is_copy || !is_newer_here {
                self.apply(now, record, changes);
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
            Changes::Records { era, .. } if self.era.is_some_and(|known| known < era) => {
                // The offset is one of another copy, and so are the records.
                self.position = start();
            }
            Changes::Records { records, next, .. } => {
                self.position = Position::Tail(next);
                for record in records {
                    self.apply(now, record, &mut changes);
                }
            }
            Changes::Expired => self.position = start(),
        }
        Ok(changes)
    }

    fn apply(&mut self, now: Instant, record: KeyedRecord, changes: &mut Vec<KeyedChange>) {
        let (key, offset) = (record.key, record.offset);
        match record.value {
            Some(value) => {
                self.known.insert(key.clone());
                self.missing.remove(&key);
                self.gone.remove(&key);
                changes.push(KeyedChange::Put { key, value, offset });
            }
            None => self.removed(now, key, changes),
        }
    }

    /// Drops a key, later if the store was away a moment ago.
    fn removed(&mut self, now: Instant, key: CompactString, changes: &mut Vec<KeyedChange>) {
        let believed_at = self.failed_at.map(|at| at + RETURN_GRACE);
        if let Some(at) = believed_at.filter(|at| now < *at) {
            self.missing.entry(key).or_insert(at);
        } else {
            self.forget(now, key, changes);
        }
    }

    fn forget(&mut self, now: Instant, key: CompactString, changes: &mut Vec<KeyedChange>) {
        if self.known.remove(&key) {
            self.gone.insert(key.clone(), now);
            changes.push(KeyedChange::Removed(key));
        }
    }

    fn drop_missing(&mut self, now: Instant, changes: &mut Vec<KeyedChange>) {
        let due = |(key, at): (&CompactString, &Instant)| (*at <= now).then(|| key.clone());
        let gone: Vec<CompactString> = self.missing.iter().filter_map(due).collect();
        for key in gone {
            self.missing.remove(&key);
            self.forget(now, key, changes);
        }
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < COPY_AGE;
        self.gone.retain(|_, at| is_recent(at));
    }
}

fn start() -> Position {
    Position::Newest {
        after: None,
        end: None,
        seen: HashSet::new(),
        era: None,
    }
}

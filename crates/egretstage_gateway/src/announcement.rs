//! Announces this entry's address to the other entries through the store.
//!
//! Load pattern: the store is restored from a copy that lacks the entries'
//! records. Hundreds of entries notice within a second, and their writes
//! together would exceed the store's write rate. Each entry therefore writes
//! its record again after its own delay.
//!
//! Load pattern: all entries restart at one moment, at their earlier addresses. Each
//! write would end the pending read of every other entry, and each read has a cost.
//! So a record that the store still has isn't written again.
//!
//! Load pattern: the store leaves writes without an answer. A write has a thread of its
//! own, so that no topic's changes wait for it.

use compact_str::CompactString;
use egretstage_platform::{KeyedChange, KeyedRecord, KeyedStore, KeyedTopic, StoreEra};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time over which the entries write their records again. Together with the
/// pause between two reads it stays below the two seconds after which a
/// missing record counts as removed.
const REWRITE_SPREAD: Duration = Duration::from_millis(800);

/// Decodes the address of an entry from its record; `None` if the record is invalid.
#[must_use]
pub fn decode_entry_address(value: &[u8]) -> Option<SocketAddr> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Keeps the record of this entry in the store, also when the store falls back
/// to an older copy.
pub(crate) struct Announcement {
    record: KeyedRecord,
    store: Box<dyn KeyedStore>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Whether the records of all entries have been read once.
    is_topic_read: bool,
    /// Whether the record was among those read since.
    is_stored: bool,
    /// Era in which the store last had the record.
    written: Option<StoreEra>,
    /// A later era and the time at which the record is due in it.
    due: Option<(StoreEra, Instant)>,
    /// Whether a write is under way.
    is_writing: bool,
}

impl Announcement {
    /// Creates the record of an entry at an address, without writing it.
    pub(crate) fn new(entry: &str, address: SocketAddr, store: Box<dyn KeyedStore>) -> Self {
        Self {
            store,
            record: KeyedRecord {
                key: CompactString::from(entry),
                value: Some(address.to_string().into_bytes()),
                offset: 0,
            },
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies changes of the entries' records. `era` is the era in which all of them
    /// have been read, if they have.
    pub(crate) fn record_entries(&self, changes: &[KeyedChange], era: Option<StoreEra>) {
        let mut state = self.lock();
        let is_own = |change: &KeyedChange| {
            matches!(change, KeyedChange::Put { key, value, .. }
                if *key == self.record.key && Some(value) == self.record.value.as_ref())
        };
        state.is_stored |= changes.iter().any(is_own);
        if era.is_some() {
            state.is_topic_read = true;
            if std::mem::take(&mut state.is_stored) {
                state.written = era;
            }
        }
    }

    /// Starts to write the record if it is due in `era`, the era last read from the
    /// store.
    ///
    /// Nothing is written before the entries' records have been read.
    pub(crate) fn write_if_due(self: &Arc<Self>, now: Instant, era: StoreEra) {
        let mut state = self.lock();
        let is_written = state.written.is_some_and(|written| written >= era);
        if state.is_writing || !state.is_topic_read || is_written {
            return;
        }
        let due = match state.due {
            Some((due_era, at)) if due_era == era => at,
            _ if state.written.is_none() => now,
            _ => now + self.rewrite_delay(),
        };
        state.due = Some((era, due));
        if now < due {
            return;
        }
        let announcement = Arc::clone(self);
        let thread = std::thread::Builder::new().name("announcement".to_owned());
        match thread.spawn(move || announcement.write()) {
            Ok(_) => state.is_writing = true,
            Err(e) => log::warn!(error:display = e; "the thread of a write can't start"),
        }
    }

    fn write(&self) {
        let result = self.store.put(KeyedTopic::Entries, &self.record);
        let mut state = self.lock();
        state.is_writing = false;
        match result {
            Ok(written) => {
                log::info!(era = written.0; "announced");
                state.written = Some(written);
            }
            Err(e) => log::warn!(error:display = e; "this entry can't be announced in the store"),
        }
    }

    /// Returns this entry's delay within [`REWRITE_SPREAD`], derived from its
    /// name.
    fn rewrite_delay(&self) -> Duration {
        let hash = rapidhash::v3::rapidhash_v3(self.record.key.as_bytes()) >> 48;
        let hash = u16::try_from(hash).unwrap_or(u16::MAX);
        REWRITE_SPREAD.mul_f32(f32::from(hash) / f32::from(u16::MAX))
    }
}

//! Where this entry is reached, as the store shows it to the others.
//!
//! Load pattern: the store comes back from a copy and has lost what the entries
//! wrote. Hundreds of them notice within a second; each writes its record again
//! at a moment of its own, so that the store's rate of writes is kept.

use compact_str::CompactString;
use egretstage_platform::{KeyedRecord, KeyedStore, KeyedTopic, StoreEra};
use std::net::SocketAddr;
use std::sync::{Mutex, TryLockError};
use std::time::{Duration, Instant};

/// Time over which the entries write their records again: with the pause
/// between two reads, it stays within the two seconds after which a record that
/// is missing is taken as gone.
const SPREAD: Duration = Duration::from_millis(800);

/// The record of this entry, kept in the store through its fall backs.
#[derive(Debug)]
pub(crate) struct Announcement {
    record: KeyedRecord,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The era in which the record was last written.
    written: Option<StoreEra>,
    /// A later era, and when the record is written in it.
    due: Option<(StoreEra, Instant)>,
}

impl Announcement {
    /// Announces an entry at an address; nothing is written yet.
    pub(crate) fn new(own: &str, address: SocketAddr) -> Self {
        Self {
            record: KeyedRecord {
                key: CompactString::from(own),
                value: Some(address.to_string().into_bytes()),
                offset: 0,
            },
            state: Mutex::default(),
        }
    }

    /// Writes the record if it is due in the era in which the store was read.
    pub(crate) fn keep(&self, now: Instant, store: &dyn KeyedStore, era: StoreEra) {
        // One that finds another writing has nothing to do.
        let mut state = match self.state.try_lock() {
            Ok(state) => state,
            Err(TryLockError::Poisoned(e)) => e.into_inner(),
            Err(TryLockError::WouldBlock) => return,
        };
        if state.written.is_some_and(|written| written >= era) {
            return;
        }
        let due = match state.due {
            Some((known, at)) if known == era => at,
            _ if state.written.is_none() => now,
            _ => now + self.turn(),
        };
        state.due = Some((era, due));
        if now < due {
            return;
        }
        match store.put(KeyedTopic::Entries, &self.record) {
            Ok(written) => {
                log::info!(era = written.0; "announced");
                state.written = Some(written);
            }
            Err(e) => log::warn!(error:display = e; "this entry isn't announced yet"),
        }
    }

    /// Returns this entry's moment in the time over which all write again.
    fn turn(&self) -> Duration {
        let drawn = rapidhash::v3::rapidhash_v3(self.record.key.as_bytes()) >> 48;
        let drawn = u16::try_from(drawn).unwrap_or(u16::MAX);
        SPREAD.mul_f32(f32::from(drawn) / f32::from(u16::MAX))
    }
}

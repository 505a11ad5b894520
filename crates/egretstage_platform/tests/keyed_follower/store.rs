//! An in-memory store, and an order of its records.

use egretstage_platform::{
    Changes, ConditionalPut, KeyedRecord, KeyedStore, KeyedTopic, NewestPage, PlatformError,
    RecordOrder, RecordVersion, StoreEra,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An in-memory store that can go down, drop history and fall back to a copy.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) log: Vec<KeyedRecord>,
    /// The oldest offset that is still held.
    pub(crate) first: u64,
    pub(crate) down: bool,
    /// Records in a page; 0 for no limit.
    pub(crate) page_size: usize,
    pub(crate) era: u64,
    /// Times that reads of changes asked the store to wait.
    pub(crate) waits: Vec<Duration>,
}

#[derive(Clone, Default)]
pub(crate) struct SharedStore(pub(crate) Arc<Mutex<Store>>);

impl SharedStore {
    pub(crate) fn put(&self, key: &str, value: Option<&str>) {
        let mut store = self.0.lock().expect("one thread");
        let offset = store.log.len() as u64;
        store.log.push(KeyedRecord {
            key: key.into(),
            value: value.map(|value| value.as_bytes().to_vec()),
            offset,
        });
    }

    /// Restores the store from a copy that holds the first `records` records.
    pub(crate) fn restore(&self, records: usize) {
        self.change(|store| {
            store.log.truncate(records);
            store.era += 1;
        });
    }

    pub(crate) fn change(&self, change: impl FnOnce(&mut Store)) {
        change(&mut self.0.lock().expect("one thread"));
    }
}

fn down() -> PlatformError {
    PlatformError::NoAnswer {
        url: "store".to_owned(),
        reason: "down".to_owned(),
    }
}

impl KeyedStore for SharedStore {
    fn newest(&self, _: KeyedTopic, after: Option<&str>) -> Result<NewestPage, PlatformError> {
        let store = self.0.lock().expect("one thread");
        if store.down {
            return Err(down());
        }
        let mut newest = BTreeMap::new();
        for record in &store.log {
            newest.insert(record.key.clone(), record.clone());
        }
        newest.retain(|key, record| {
            record.value.is_some() && after.is_none_or(|after| key.as_str() > after)
        });
        let page_size = if store.page_size == 0 {
            usize::MAX
        } else {
            store.page_size
        };
        Ok(NewestPage {
            more: newest.len() > page_size,
            records: newest.into_values().take(page_size).collect(),
            end: store.log.len() as u64,
            era: StoreEra(store.era),
        })
    }

    fn changes(&self, _: KeyedTopic, from: u64, wait: Duration) -> Result<Changes, PlatformError> {
        let mut store = self.0.lock().expect("one thread");
        store.waits.push(wait);
        if store.down {
            return Err(down());
        }
        if from < store.first || from > store.log.len() as u64 {
            return Ok(Changes::Expired);
        }
        let new = store.log.iter().filter(|record| record.offset >= from);
        Ok(Changes::Records {
            records: new.cloned().collect(),
            next: store.log.len() as u64,
            era: StoreEra(store.era),
        })
    }

    fn put(&self, _: KeyedTopic, _: &KeyedRecord) -> Result<StoreEra, PlatformError> {
        Err(down())
    }

    fn put_if_end(
        &self,
        _: KeyedTopic,
        _: &KeyedRecord,
        _: u64,
    ) -> Result<ConditionalPut, PlatformError> {
        Err(down())
    }
}

/// The order of values such as `2.7 draining`: the start of the writer, the number of the
/// record and a text. Other values state no version.
#[derive(Debug)]
pub(crate) struct NumberedValues;

impl RecordOrder for NumberedValues {
    fn version(&self, _: KeyedTopic, _: &str, value: &[u8]) -> Option<RecordVersion> {
        let (version, _) = std::str::from_utf8(value).ok()?.split_once(' ')?;
        let (writer_start, number) = version.split_once('.')?;
        Some(RecordVersion {
            writer_start: writer_start.parse().ok()?,
            number: number.parse().ok()?,
        })
    }
}

//! Tests of reading all newest records of a topic.

use crate::store::SharedStore;
use egretstage_platform::{
    Changes, ConditionalPut, KeyedRecord, KeyedStore, KeyedTopic, NewestPage, PlatformError,
    StoreEra, read_newest,
};
use std::cell::Cell;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// A store to which something happens before its second page is read.
struct ChangedBetweenPages<F> {
    store: SharedStore,
    change: Mutex<Cell<Option<F>>>,
}

impl<F: FnOnce(&SharedStore) + Send> KeyedStore for ChangedBetweenPages<F> {
    fn newest(&self, topic: KeyedTopic, after: Option<&str>) -> Result<NewestPage, PlatformError> {
        if after.is_some() {
            let change = self.change.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(change) = change.take() {
                change(&self.store);
            }
        }
        self.store.newest(topic, after)
    }

    fn changes(&self, _: KeyedTopic, _: u64, _: Duration) -> Result<Changes, PlatformError> {
        unreachable!("only the newest records are read")
    }

    fn put(&self, _: KeyedTopic, _: &KeyedRecord) -> Result<StoreEra, PlatformError> {
        unreachable!("only the newest records are read")
    }

    fn put_if_end(
        &self,
        _: KeyedTopic,
        _: &KeyedRecord,
        _: u64,
    ) -> Result<ConditionalPut, PlatformError> {
        unreachable!("only the newest records are read")
    }
}

/// Creates a store of two pages with a record each, to which something happens in between.
fn two_pages<F: FnOnce(&SharedStore) + Send>(change: F) -> ChangedBetweenPages<F> {
    let store = SharedStore::default();
    store.change(|store| store.page_size = 1);
    for key in ["a", "b"] {
        store.put(key, Some("1"));
    }
    ChangedBetweenPages {
        store,
        change: Mutex::new(Cell::new(Some(change))),
    }
}

fn values(records: &[KeyedRecord]) -> Vec<String> {
    let value = |record: &KeyedRecord| {
        let value = record.value.as_deref().unwrap_or_default();
        format!("{}={}", record.key, String::from_utf8_lossy(value))
    };
    records.iter().map(value).collect()
}

/// Guards against a claim whose fencing number is made from the pages of two eras: the
/// store is restored between them.
#[test]
fn newest_records_are_of_one_era() {
    let store = two_pages(|store: &SharedStore| {
        store.restore(0);
        store.put("b", Some("2"));
    });
    let read = read_newest(&store, KeyedTopic::Deciders).expect("a store");
    assert_eq!(values(&read.records), ["b=2"]);
    assert_eq!((read.era, read.end), (StoreEra(1), 1));
}

/// Guards against a claim that is written over one that its writer hasn't seen: a record of
/// the first page changes before the second one is read.
#[test]
fn the_end_of_the_newest_records_is_that_of_the_first_page() {
    let store = two_pages(|store: &SharedStore| store.put("a", Some("2")));
    let read = read_newest(&store, KeyedTopic::Deciders).expect("a store");
    assert_eq!(values(&read.records), ["a=1", "b=1"]);
    assert_eq!(
        read.end, 2,
        "a write at that end conflicts with the later record"
    );
}

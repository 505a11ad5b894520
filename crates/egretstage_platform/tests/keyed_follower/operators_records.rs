//! Tests of keys that apply as the store has them at once. Their reader orders the states by
//! the position of a read.

use crate::Reader;
use crate::store::SharedStore;
use egretstage_platform::{
    KeyedChange, KeyedFollower, KeyedTopic, RecordOrder, RecordVersion, StoreEra,
};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Applies all keys as listed.
#[derive(Debug)]
struct AsListed;

impl RecordOrder for AsListed {
    fn version(&self, _: KeyedTopic, _: &str, _: &[u8]) -> Option<RecordVersion> {
        None
    }

    fn applies_as_listed(&self, _: KeyedTopic, _: &str) -> bool {
        true
    }
}

fn reader() -> Reader {
    let order = Arc::new(AsListed);
    Reader {
        store: SharedStore::default(),
        follower: KeyedFollower::new(KeyedTopic::Configuration, order),
        now: Instant::now(),
    }
}

/// Polls until the follower is caught up; returns all changes.
fn catch_up(reader: &mut Reader) -> Vec<String> {
    let mut changes = reader.poll().expect("the store answers");
    while !reader.follower.is_caught_up() {
        changes.extend(reader.poll().expect("the store answers"));
    }
    changes
}

/// Fault: history is dropped with a removal in it, just after an outage.
#[test]
fn a_removal_that_no_change_reports_is_not_deferred() {
    let mut reader = reader();
    reader.store.put("west", Some("{}"));
    catch_up(&mut reader);
    reader.store.change(|store| store.down = true);
    assert!(reader.poll().is_err());
    reader.store.put("west", None);
    reader.store.put("other", Some("{}"));
    reader.store.change(|store| {
        store.down = false;
        store.first = 3;
    });
    let changes = [catch_up(&mut reader), catch_up(&mut reader)].concat();
    assert_eq!(changes, ["other={}", "-west"]);
    assert_eq!(reader.follower.end(), Some(3));
}

/// Fault: the store is restored from a copy. A key that was removed before is written again
/// with the same value, before the first read of the new era.
#[test]
fn a_key_that_is_written_again_after_a_restore_is_not_passed_over() {
    let mut reader = reader();
    reader.store.put("west", Some("{}"));
    reader.store.put("west", None);
    reader.store.put("east", Some("{}"));
    catch_up(&mut reader);
    reader.store.put("west", Some("{}"));
    assert_eq!(catch_up(&mut reader), ["west={}"]);
    reader.store.put("west", None);
    assert_eq!(catch_up(&mut reader), ["-west"]);
    reader.store.restore(2);
    reader.store.put("west", Some("{}"));
    let changes = [catch_up(&mut reader), catch_up(&mut reader)].concat();
    assert!(changes.contains(&"west={}".to_owned()), "{changes:?}");
    assert!(changes.contains(&"-east".to_owned()), "{changes:?}");
    assert_eq!(reader.follower.era(), Some(StoreEra(1)));
    assert_eq!(reader.follower.end(), Some(3));
}

/// The position tells up to where the topic is known, also after a read without changes.
#[test]
fn the_position_moves_with_each_read() {
    let mut reader = reader();
    assert_eq!(reader.follower.end(), None);
    reader.store.put("west", Some("{}"));
    reader.store.change(|store| store.page_size = 1);
    reader.store.put("east", Some("{}"));
    reader.poll().expect("a page");
    assert_eq!(reader.follower.end(), None, "a part of the list");
    reader.poll().expect("a page");
    assert_eq!(reader.follower.end(), Some(2));
    reader.store.put("west", None);
    let wait = Duration::ZERO;
    let changes = reader.follower.poll(reader.now, &reader.store, wait);
    let removed = KeyedChange::Removed("west".into());
    assert_eq!(changes.expect("changes"), [removed]);
    assert_eq!(reader.follower.end(), Some(3));
}

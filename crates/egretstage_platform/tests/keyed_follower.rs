//! Following a keyed topic through outages and lost history.

use egretstage_platform::{
    Changes, ConditionalPut, KeyedChange, KeyedFollower, KeyedRecord, KeyedStore, KeyedTopic,
    NewestPage, PlatformError, StoreEra,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A store whose history the test writes, loses and hides.
#[derive(Default)]
struct Store {
    log: Vec<KeyedRecord>,
    /// The oldest offset that is still held.
    first: u64,
    down: bool,
    page: usize,
    era: u64,
}

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Store>>);

impl Shared {
    fn put(&self, key: &str, value: Option<&str>) {
        let mut store = self.0.lock().expect("one thread");
        let offset = store.log.len() as u64;
        store.log.push(KeyedRecord {
            key: key.into(),
            value: value.map(|value| value.as_bytes().to_vec()),
            offset,
        });
    }

    /// Comes back from a copy that holds so many records.
    fn fall_back(&self, records: usize) {
        self.change(|store| {
            store.log.truncate(records);
            store.era += 1;
        });
    }

    fn change(&self, change: impl FnOnce(&mut Store)) {
        change(&mut self.0.lock().expect("one thread"));
    }
}

fn down() -> PlatformError {
    PlatformError::NoAnswer {
        url: "store".to_owned(),
        reason: "down".to_owned(),
    }
}

impl KeyedStore for Shared {
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
        let page = if store.page == 0 {
            usize::MAX
        } else {
            store.page
        };
        Ok(NewestPage {
            more: newest.len() > page,
            records: newest.into_values().take(page).collect(),
            end: store.log.len() as u64,
            era: StoreEra(store.era),
        })
    }

    fn changes(&self, _: KeyedTopic, from: u64, _: Duration) -> Result<Changes, PlatformError> {
        let store = self.0.lock().expect("one thread");
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

struct Reader {
    store: Shared,
    follower: KeyedFollower,
    now: Instant,
}

impl Reader {
    fn new() -> Self {
        Self {
            store: Shared::default(),
            follower: KeyedFollower::new(KeyedTopic::Upstreams),
            now: Instant::now(),
        }
    }

    fn poll(&mut self) -> Result<Vec<String>, PlatformError> {
        let changes = self.follower.poll(self.now, &self.store, Duration::ZERO)?;
        let show = |change: KeyedChange| match change {
            KeyedChange::Put { key, value, .. } => {
                format!("{key}={}", String::from_utf8_lossy(&value))
            }
            KeyedChange::Removed(key) => format!("-{key}"),
        };
        Ok(changes.into_iter().map(show).collect())
    }
}

#[test]
fn what_changes_between_two_pages_is_not_missed() {
    let mut reader = Reader::new();
    reader.store.change(|store| store.page = 1);
    reader.store.put("a", Some("1"));
    reader.store.put("b", Some("1"));
    assert_eq!(reader.poll().expect("a page"), ["a=1"]);
    reader.store.put("a", Some("2"));
    assert_eq!(reader.poll().expect("a page"), ["b=1"]);
    assert!(reader.follower.is_caught_up());
    assert_eq!(reader.poll().expect("changes"), ["a=2"]);
}

#[test]
fn a_dropped_key_is_gone() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1"));
    reader.poll().expect("a page");
    reader.store.put("a", None);
    assert_eq!(reader.poll().expect("changes"), ["-a"]);
}

/// Fault: the store forgets its history while a key is dropped and one written.
#[test]
fn lost_history_is_made_up_from_the_newest_records() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1"));
    reader.store.put("b", Some("1"));
    reader.poll().expect("a page");
    reader.store.put("a", None);
    reader.store.put("b", Some("2"));
    reader.store.put("c", Some("1"));
    reader.store.change(|store| store.first = 5);
    assert_eq!(reader.poll().expect("nothing yet"), [""; 0]);
    assert_eq!(reader.poll().expect("a page"), ["b=2", "c=1", "-a"]);
}

/// Fault: records lapse while the store is away, and their writers need two
/// seconds to write them again.
#[test]
fn records_that_lapse_in_an_outage_have_time_to_return() {
    let mut reader = Reader::new();
    for key in ["back", "gone"] {
        reader.store.put(key, Some("1"));
    }
    reader.poll().expect("a page");
    reader.store.change(|store| store.down = true);
    assert!(reader.poll().is_err());
    reader.store.change(|store| store.down = false);
    reader.store.put("back", None);
    reader.store.put("gone", None);
    assert_eq!(reader.poll().expect("changes"), [""; 0]);
    reader.now += Duration::from_secs(2);
    reader.store.put("back", Some("2"));
    assert_eq!(reader.poll().expect("changes"), ["back=2"]);
    reader.now += Duration::from_secs(1);
    assert_eq!(reader.poll().expect("changes"), ["-gone"]);
}

/// Fault: the store turns this reader away and serves the others; an upstream
/// leaves a second after the reader is back.
#[test]
fn what_is_dropped_after_the_store_failed_this_reader_alone_is_gone_at_once() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1"));
    reader.poll().expect("a page");
    reader.store.change(|store| store.down = true);
    assert!(reader.poll().is_err());
    reader.follower.mark_store_available();
    reader.store.change(|store| store.down = false);
    reader.now += Duration::from_secs(1);
    reader.store.put("a", None);
    assert_eq!(reader.poll().expect("changes"), ["-a"]);
}

/// A record that is dropped late in the grace isn't believed for longer.
#[test]
fn the_grace_ends_some_time_after_the_outage() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1"));
    reader.poll().expect("a page");
    reader.store.change(|store| store.down = true);
    assert!(reader.poll().is_err());
    reader.store.change(|store| store.down = false);
    reader.now += Duration::from_secs(2);
    reader.store.put("a", None);
    assert_eq!(reader.poll().expect("changes"), [""; 0]);
    reader.now += Duration::from_millis(400);
    assert_eq!(reader.poll().expect("changes"), ["-a"]);
}

/// Fault: the store comes back from a copy, and others have written as much as
/// was lost before this reader calls again, so its offset exists.
#[test]
fn records_that_stand_at_offsets_given_out_again_are_not_missed() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1"));
    reader.store.put("b", Some("1"));
    reader.store.put("b", Some("2"));
    reader.poll().expect("a page");
    reader.store.fall_back(1);
    for key in ["c", "d", "e"] {
        reader.store.put(key, Some("1"));
    }
    assert_eq!(reader.poll().expect("nothing yet"), [""; 0]);
    assert_eq!(reader.poll().expect("a page"), ["c=1", "d=1", "e=1"]);
    // The writer of the record that was lost has its time to write it again.
    reader.now += Duration::from_secs(3);
    assert_eq!(reader.poll().expect("changes"), ["-b"]);
}

/// Fault: the copy shows a record as it was, and one that has gone.
#[test]
fn a_copy_takes_nothing_back_and_revives_nothing() {
    let mut reader = Reader::new();
    for key in ["a", "left"] {
        reader.store.put(key, Some("ready"));
    }
    reader.poll().expect("a page");
    reader.store.put("a", Some("draining"));
    reader.store.put("left", None);
    assert_eq!(reader.poll().expect("changes"), ["a=draining", "-left"]);
    reader.store.fall_back(2);
    assert_eq!(reader.poll().expect("nothing yet"), [""; 0]);
    assert_eq!(reader.poll().expect("a page"), [""; 0]);
    // What its writer writes again counts.
    reader.store.put("left", Some("ready again"));
    assert_eq!(reader.poll().expect("changes"), ["left=ready again"]);
}

/// Fault: a second fall back comes while the pages of the first are read.
#[test]
fn pages_of_two_copies_are_not_mixed() {
    let mut reader = Reader::new();
    for key in ["a", "b"] {
        reader.store.put(key, Some("1"));
    }
    reader.poll().expect("a page");
    reader.store.change(|store| store.page = 1);
    reader.store.fall_back(2);
    reader.store.put("c", Some("1"));
    reader.poll().expect("nothing yet");
    reader.poll().expect("the first page");
    reader.store.fall_back(2);
    reader.store.put("d", Some("1"));
    let mut changes = Vec::new();
    for _ in 0..8 {
        changes.extend(reader.poll().expect("pages"));
    }
    assert!(reader.follower.is_caught_up());
    assert_eq!(changes, ["d=1"]);
}

/// Fault: the copy is older than a page, so the reader's offset isn't there.
#[test]
fn an_offset_beyond_the_copy_starts_over() {
    let mut reader = Reader::new();
    for value in ["1", "2", "3"] {
        reader.store.put("a", Some(value));
    }
    reader.poll().expect("a page");
    reader.store.fall_back(1);
    assert_eq!(reader.poll().expect("nothing yet"), [""; 0]);
    assert_eq!(reader.poll().expect("a page"), [""; 0]);
    reader.store.put("a", Some("4"));
    assert_eq!(reader.poll().expect("changes"), ["a=4"]);
    assert_eq!(reader.follower.era(), Some(StoreEra(1)));
}

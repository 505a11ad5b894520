//! Tests of following a keyed topic through outages, expired history and
//! restores.

mod adopted_copies;
mod newest_records;
mod operators_records;
mod schedules;
mod store;

use egretstage_platform::{KeyedChange, KeyedFollower, KeyedTopic, PlatformError, StoreEra};
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::{NumberedValues, SharedStore};

/// A follower of a store, with a virtual clock.
struct Reader {
    store: SharedStore,
    follower: KeyedFollower,
    now: Instant,
}

impl Reader {
    fn new() -> Self {
        Self {
            store: SharedStore::default(),
            follower: KeyedFollower::new(KeyedTopic::Upstreams, Arc::new(NumberedValues)),
            now: Instant::now(),
        }
    }

    fn poll(&mut self) -> Result<Vec<String>, PlatformError> {
        let changes = self.follower.poll(self.now, &self.store, Duration::ZERO)?;
        Ok(Self::format(changes))
    }

    fn adopt(&mut self, records: &[(&str, &str)]) -> Vec<String> {
        Self::format(self.follower.adopt(self.now, copy_of(records)))
    }

    fn format(changes: Vec<KeyedChange>) -> Vec<String> {
        let format = |change: KeyedChange| match change {
            KeyedChange::Put { key, value, .. } => {
                format!("{key}={}", String::from_utf8_lossy(&value))
            }
            KeyedChange::Removed(key) => format!("-{key}"),
        };
        changes.into_iter().map(format).collect()
    }
}

/// Returns the keys and values of another reader's copy.
fn copy_of(records: &[(&str, &str)]) -> Vec<(compact_str::CompactString, Vec<u8>)> {
    let records = records.iter();
    records
        .map(|(key, value)| ((*key).into(), value.as_bytes().to_vec()))
        .collect()
}

#[test]
fn a_change_between_two_pages_is_not_missed() {
    let mut reader = Reader::new();
    reader.store.change(|store| store.page_size = 1);
    reader.store.put("a", Some("1"));
    reader.store.put("b", Some("1"));
    assert_eq!(reader.poll().expect("a page"), ["a=1"]);
    reader.store.put("a", Some("2"));
    assert_eq!(reader.poll().expect("a page"), ["b=1"]);
    assert!(reader.follower.is_caught_up());
    assert_eq!(reader.poll().expect("changes"), ["a=2"]);
}

#[test]
fn a_record_without_a_value_removes_its_key() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1"));
    reader.poll().expect("a page");
    reader.store.put("a", None);
    assert_eq!(reader.poll().expect("changes"), ["-a"]);
}

/// Fault: changes expire in the store before they are read, among them a removed
/// key and a new one.
#[test]
fn expired_changes_are_recovered_from_the_newest_records() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1"));
    reader.store.put("b", Some("1"));
    reader.poll().expect("a page");
    reader.store.put("a", None);
    reader.store.put("b", Some("2"));
    reader.store.put("c", Some("1"));
    reader.store.change(|store| store.first = 5);
    assert_eq!(reader.poll().expect("no changes yet"), [""; 0]);
    assert_eq!(reader.poll().expect("a page"), ["b=2", "c=1", "-a"]);
}

/// Fault: records expire while the store is down, and their writers need two
/// seconds to write them again.
#[test]
fn records_that_expire_in_an_outage_keep_a_grace() {
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

/// Fault: the store fails this reader and serves the others; an upstream leaves
/// a second after the store serves this reader again.
#[test]
fn a_key_removed_after_a_failure_for_this_reader_alone_has_no_grace() {
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

/// A record that is removed late in the grace period doesn't prolong it.
#[test]
fn the_grace_is_counted_from_the_outage() {
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

/// Fault: the store is restored from a copy, and other writers append as much as
/// was lost before this reader calls again, so its offset exists.
#[test]
fn records_at_reassigned_offsets_are_not_missed() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1"));
    reader.store.put("b", Some("1"));
    reader.store.put("b", Some("2"));
    reader.poll().expect("a page");
    reader.store.restore(1);
    for key in ["c", "d", "e"] {
        reader.store.put(key, Some("1"));
    }
    assert_eq!(reader.poll().expect("no changes yet"), [""; 0]);
    assert_eq!(reader.poll().expect("a page"), ["c=1", "d=1", "e=1"]);
    // The lost record has a grace period, in which its writer may write it again.
    reader.now += Duration::from_secs(3);
    assert_eq!(reader.poll().expect("changes"), ["-b"]);
}

/// Fault: the copy holds an older value of a record, and a removed record.
#[test]
fn a_restore_neither_reverts_records_nor_revives_removed_keys() {
    let mut reader = Reader::new();
    for key in ["a", "left"] {
        reader.store.put(key, Some("ready"));
    }
    reader.poll().expect("a page");
    reader.store.put("a", Some("draining"));
    reader.store.put("left", None);
    assert_eq!(reader.poll().expect("changes"), ["a=draining", "-left"]);
    reader.store.restore(2);
    assert_eq!(reader.poll().expect("no changes yet"), [""; 0]);
    assert_eq!(reader.poll().expect("a page"), [""; 0]);
    // A removed key returns once its writer writes it again.
    reader.store.put("left", Some("ready again"));
    assert_eq!(reader.poll().expect("changes"), ["left=ready again"]);
}

/// Guards against a state that is reverted for a moment: the changes that are read after the
/// pages begin at the end of the first page, before records of the later pages.
#[test]
fn a_change_between_two_pages_reverts_no_record_of_the_later_page() {
    let mut reader = Reader::new();
    reader.store.change(|store| store.page_size = 1);
    for key in ["a", "b"] {
        reader.store.put(key, Some("1.1 ready"));
    }
    assert_eq!(reader.poll().expect("the first page"), ["a=1.1 ready"]);
    reader.store.put("b", Some("1.2 ready"));
    reader.store.put("b", None);
    reader.store.put("b", Some("3.1 draining"));
    assert_eq!(reader.poll().expect("the last page"), ["b=3.1 draining"]);
    reader.store.put("b", Some("3.2 draining"));
    let changes = reader.poll().expect("changes");
    assert_eq!(changes, ["b=3.1 draining", "b=3.2 draining"]);
}

/// Fault: the store is restored again while the pages after the first restore
/// are read.
#[test]
fn pages_of_two_eras_are_not_mixed() {
    let mut reader = Reader::new();
    for key in ["a", "b"] {
        reader.store.put(key, Some("1"));
    }
    reader.poll().expect("a page");
    reader.store.change(|store| store.page_size = 1);
    reader.store.restore(2);
    reader.store.put("c", Some("1"));
    reader.poll().expect("no changes yet");
    reader.poll().expect("the first page");
    reader.store.restore(2);
    reader.store.put("d", Some("1"));
    let mut changes = Vec::new();
    for _ in 0..8 {
        changes.extend(reader.poll().expect("pages"));
    }
    assert!(reader.follower.is_caught_up());
    assert_eq!(changes, ["d=1"]);
}

/// Fault: the copy ends below the offset that the reader has reached.
#[test]
fn an_offset_beyond_the_copy_restarts_the_read() {
    let mut reader = Reader::new();
    for value in ["1", "2", "3"] {
        reader.store.put("a", Some(value));
    }
    reader.poll().expect("a page");
    reader.store.restore(1);
    assert_eq!(reader.poll().expect("no changes yet"), [""; 0]);
    assert_eq!(reader.poll().expect("a page"), [""; 0]);
    reader.store.put("a", Some("4"));
    assert_eq!(reader.poll().expect("changes"), ["a=4"]);
    assert_eq!(reader.follower.era(), Some(StoreEra(1)));
}

/// Guards against a change being lost until the next one: it is written between the
/// store's return from a copy and the first read after it.
#[test]
fn a_record_written_before_the_first_read_after_a_restore_is_applied() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1.3 ready"));
    reader.poll().expect("a page");
    reader.store.restore(1);
    reader.store.put("a", Some("1.5 draining"));
    assert_eq!(reader.poll().expect("no changes yet"), [""; 0]);
    assert_eq!(reader.poll().expect("a page"), ["a=1.5 draining"]);
}

/// Guards against the same loss where the copy lacks the held record, so that the newer
/// one has its offset.
#[test]
fn a_newer_record_at_the_offset_of_a_lost_one_is_applied() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1.3 ready"));
    reader.store.put("a", Some("1.4 ready"));
    reader.poll().expect("a page");
    reader.store.restore(1);
    reader.store.put("a", Some("1.5 draining"));
    reader.poll().expect("no changes yet");
    assert_eq!(reader.poll().expect("a page"), ["a=1.5 draining"]);
    assert_eq!(reader.follower.passed_over(), 0);
}

/// Guards against the reversal of a record to the state of the copy, also by a later read
/// of all records in the same era.
#[test]
fn an_older_record_of_the_copy_is_not_applied_by_any_read_of_its_era() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1.3 ready"));
    reader.poll().expect("a page");
    reader.store.put("a", Some("1.4 draining"));
    reader.poll().expect("changes");
    reader.store.restore(1);
    reader.poll().expect("no changes yet");
    assert_eq!(reader.poll().expect("a page"), [""; 0]);
    reader.now += Duration::from_secs(10);
    reader.store.put("b", Some("1.1 ready"));
    reader.store.change(|store| store.first = 2);
    reader.poll().expect("expired changes");
    assert_eq!(reader.poll().expect("a page"), ["b=1.1 ready"]);
    assert_eq!(reader.follower.passed_over(), 2);
}

/// Guards against the loss of a writer's new start, whose numbers begin again.
#[test]
fn a_writer_that_starts_again_before_the_first_read_after_a_restore_is_applied() {
    let mut reader = Reader::new();
    for key in ["a", "left"] {
        reader.store.put(key, Some("1.9 ready"));
    }
    reader.poll().expect("a page");
    reader.store.put("left", None);
    reader.poll().expect("changes");
    reader.store.restore(2);
    for key in ["a", "left"] {
        reader.store.put(key, Some("2.0 ready"));
    }
    reader.poll().expect("no changes yet");
    let changes = reader.poll().expect("a page");
    assert_eq!(changes, ["a=2.0 ready", "left=2.0 ready"]);
}

/// Guards against the loss of a record that states no version, such as an entry's address:
/// it is applied once its writer had time to write a lost record again.
#[test]
fn a_listed_record_without_a_version_is_applied_after_the_grace() {
    let mut reader = Reader::new();
    for key in ["a", "b"] {
        reader.store.put(key, Some("first"));
    }
    reader.poll().expect("a page");
    reader.store.restore(2);
    for key in ["a", "b"] {
        reader.store.put(key, Some("second"));
    }
    reader.poll().expect("no changes yet");
    assert_eq!(reader.poll().expect("a page"), [""; 0]);
    reader.store.put("a", Some("third"));
    assert_eq!(reader.poll().expect("changes"), ["a=third"]);
    reader.now += Duration::from_secs(3);
    assert_eq!(reader.poll().expect("changes"), ["b=second"]);
}

/// Guards against the loss of a change that is written between two returns, is lost again
/// and is written once more.
#[test]
fn a_change_that_two_restores_lose_is_applied_when_it_is_written_again() {
    let mut reader = Reader::new();
    for key in ["a", "b"] {
        reader.store.put(key, Some("1.3 ready"));
    }
    reader.poll().expect("a page");
    reader.store.change(|store| store.page_size = 1);
    reader.store.restore(2);
    reader.store.put("b", Some("1.5 draining"));
    reader.poll().expect("no changes yet");
    reader.poll().expect("the first page");
    reader.store.restore(2);
    reader.store.put("b", Some("1.5 draining"));
    let mut changes = Vec::new();
    for _ in 0..4 {
        changes.extend(reader.poll().expect("pages"));
    }
    assert!(reader.follower.is_caught_up());
    assert_eq!(changes, ["b=1.5 draining"]);
}

/// Guards against a change that is late after a restore: a read from the end of the topic
/// waits for the next change, while the newest records have to be read.
#[test]
fn the_first_read_after_a_failure_does_not_wait_for_changes() {
    const WAIT: Duration = Duration::from_secs(1);
    let mut reader = Reader::new();
    reader.store.put("a", Some("1.3 ready"));
    let mut poll = |down: bool| {
        reader.store.change(|store| store.down = down);
        // Each call's outcome shows in the next wait.
        let _ = reader.follower.poll(reader.now, &reader.store, WAIT);
    };
    poll(false);
    for down in [false, true, true, false, false] {
        poll(down);
    }
    let waits = reader.store.0.lock().expect("one thread").waits.clone();
    let none = Duration::ZERO;
    assert_eq!(waits, [WAIT, WAIT, none, none, WAIT]);
}

/// Guards against a deferred record that is applied late: a read that waits for changes
/// would last beyond the end of the grace.
#[test]
fn a_read_waits_no_longer_than_until_a_deferred_record_is_due() {
    const WAIT: Duration = Duration::from_secs(10);
    const GRACE: Duration = Duration::from_millis(2_300);
    let mut reader = Reader::new();
    reader.store.put("a", Some("first"));
    reader.poll().expect("a page");
    reader.store.restore(1);
    reader.store.put("a", Some("second"));
    reader.poll().expect("no changes yet");
    reader.poll().expect("a page");
    reader.store.change(|store| store.waits.clear());
    let poll = |reader: &mut Reader, passed| {
        reader.now += passed;
        let changes = reader.follower.poll(reader.now, &reader.store, WAIT);
        Reader::format(changes.expect("changes"))
    };
    let second = Duration::from_secs(1);
    assert_eq!(poll(&mut reader, second), [""; 0]);
    assert_eq!(
        poll(&mut reader, GRACE.saturating_sub(second)),
        ["a=second"]
    );
    poll(&mut reader, second);
    let waits = reader.store.0.lock().expect("one thread").waits.clone();
    assert_eq!(waits, [GRACE.saturating_sub(second), Duration::ZERO, WAIT]);
}

//! Tests of copies that are adopted from another reader while the store fails this one.

use crate::Reader;
use std::time::Duration;

/// Fault: the store fails this reader, and a key comes and goes in the copies of
/// another one.
#[test]
fn a_key_of_an_adopted_copy_is_removed_when_the_next_copy_lacks_it() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1"));
    reader.poll().expect("a page");
    reader.store.change(|store| store.down = true);
    assert!(reader.poll().is_err());
    assert_eq!(reader.adopt(&[("b", "1")]), ["-a", "b=1"]);
    assert_eq!(reader.adopt(&[("a", "2")]), ["-b", "a=2"]);
}

/// Fault: a key comes and goes while the store fails this reader, and the history of
/// that time expires.
#[test]
fn a_key_of_an_adopted_copy_is_removed_when_the_store_no_longer_lists_it() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1"));
    reader.poll().expect("a page");
    reader.store.change(|store| store.down = true);
    assert!(reader.poll().is_err());
    assert_eq!(reader.adopt(&[("a", "1"), ("b", "1")]), ["a=1", "b=1"]);
    reader.store.put("b", Some("1"));
    reader.store.put("b", None);
    reader.store.change(|store| {
        store.down = false;
        store.first = 3;
    });
    let mut changes = reader.poll().expect("expired changes");
    changes.extend(reader.poll().expect("the newest records"));
    assert!(changes.contains(&"-b".to_owned()), "{changes:?}");
}

/// Guards against the reversal of a record by a peer that has read only the copy.
#[test]
fn an_adopted_copy_reverts_no_newer_record() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1.4 draining"));
    reader.poll().expect("a page");
    reader.store.change(|store| store.down = true);
    assert!(reader.poll().is_err());
    assert_eq!(reader.adopt(&[("a", "1.3 ready")]), [""; 0]);
    assert_eq!(reader.adopt(&[("a", "1.5 ready")]), ["a=1.5 ready"]);
}

/// Guards against the loss of a change that is written after a peer's copy of the later
/// era was adopted, before this reader is served again.
#[test]
fn a_change_after_an_adopted_copy_of_the_later_era_is_applied() {
    let mut reader = Reader::new();
    reader.store.put("a", Some("1.3 ready"));
    reader.poll().expect("a page");
    reader.store.change(|store| store.down = true);
    assert!(reader.poll().is_err());
    reader.store.restore(1);
    assert_eq!(reader.adopt(&[("a", "1.4 ready")]), ["a=1.4 ready"]);
    reader.store.put("a", Some("1.4 ready"));
    reader.store.put("a", Some("1.5 draining"));
    reader.store.change(|store| store.down = false);
    assert_eq!(reader.poll().expect("a page"), ["a=1.5 draining"]);
}

/// Guards against a removal that is lost for good: the copy of the store lacks a record, and
/// in its grace the store fails this reader, which adopts the copy of one that still has it.
#[test]
fn a_record_that_a_restore_lost_is_removed_though_an_adopted_copy_has_it() {
    let mut reader = Reader::new();
    for key in ["a", "b"] {
        reader.store.put(key, Some("1.3 ready"));
    }
    reader.poll().expect("a page");
    reader.store.restore(1);
    reader.poll().expect("no changes yet");
    assert_eq!(reader.poll().expect("a page"), [""; 0]);
    reader.store.change(|store| store.down = true);
    assert!(reader.poll().is_err());
    reader.adopt(&[("a", "1.3 ready"), ("b", "1.3 ready"), ("c", "1.3 ready")]);
    reader.store.change(|store| store.down = false);
    // The reader never had the third one, so it has no grace.
    let changes = reader.poll().expect("the newest records");
    assert_eq!(changes, ["a=1.3 ready", "-c"]);
    reader.now += Duration::from_secs(3);
    assert_eq!(reader.poll().expect("changes"), ["-b"]);
}

/// Guards against the removal of running upstreams by a reader that the store served for the
/// first time after a restore: the copy lacks them, and their writers write again.
#[test]
fn adopted_records_keep_a_grace_in_the_first_list() {
    let mut reader = Reader::new();
    for key in ["a", "b", "c"] {
        reader.store.put(key, Some("1.3 ready"));
    }
    reader.store.change(|store| store.down = true);
    assert!(reader.poll().is_err());
    reader.adopt(&[("a", "1.3 ready"), ("b", "1.3 ready"), ("c", "1.3 ready")]);
    reader.store.restore(1);
    reader.store.change(|store| store.down = false);
    assert_eq!(reader.poll().expect("a page"), ["a=1.3 ready"]);
    reader.now += Duration::from_secs(1);
    reader.store.put("b", Some("1.4 ready"));
    assert_eq!(reader.poll().expect("changes"), ["b=1.4 ready"]);
    reader.now += Duration::from_secs(2);
    assert_eq!(reader.poll().expect("changes"), ["-c"]);
}

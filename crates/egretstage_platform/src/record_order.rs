//! Order of the records that a writer has written under a key.
//!
//! Load pattern: the store is restored from a copy while writers go on. A reader that
//! returns finds records from the copy beside records that were written since, and offsets
//! of two eras don't compare. Writers number their records, so the records themselves show
//! which one is newer.

use crate::KeyedTopic;

/// Position of a record among those that its writer has written under its key.
///
/// ```
/// # use egretstage_platform::RecordVersion;
/// let version = |writer_start, number| RecordVersion { writer_start, number };
/// assert!(version(1, 9) > version(1, 8));
/// // A writer that starts again numbers its records anew.
/// assert!(version(2, 0) > version(1, 9));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordVersion {
    /// Start of the writer, or 0 if its numbers go on when it starts again.
    pub writer_start: u64,
    /// Number of the record since that start.
    pub number: u64,
}

/// Reads the order of records from the records themselves.
pub trait RecordOrder: std::fmt::Debug + Send + Sync {
    /// Returns the version of a record, or `None` if the record states none or is invalid.
    fn version(&self, topic: KeyedTopic, key: &str, value: &[u8]) -> Option<RecordVersion>;

    /// Returns whether a key applies as the store has it at once, present or absent.
    ///
    /// That is for readers which order the states of such keys by the position of their read.
    /// Otherwise a record without a version is deferred after a restore, and a missing one
    /// after an outage.
    fn applies_as_listed(&self, _topic: KeyedTopic, _key: &str) -> bool {
        false
    }
}

/// The order of records that state no version.
#[derive(Clone, Copy, Debug)]
pub struct Unordered;

impl RecordOrder for Unordered {
    fn version(&self, _: KeyedTopic, _: &str, _: &[u8]) -> Option<RecordVersion> {
        None
    }
}

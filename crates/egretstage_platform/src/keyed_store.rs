//! The interface of the platform's store of keyed records, which keeps at least
//! the newest record of each key.

use crate::{PlatformError, StoreEra};
use compact_str::CompactString;
use std::time::Duration;

/// A topic of keyed records that the system reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum KeyedTopic {
    /// The operator's configuration, one record.
    Configuration,
    /// The upstreams, with their names as keys.
    Upstreams,
    /// The system's own entries, with their names as keys.
    Entries,
    /// The decider of each model group, with the group's name as key.
    Deciders,
}

/// A record of a keyed topic; one without a value removes its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: CompactString,
    /// The value.
    pub value: Option<Vec<u8>>,
    /// The record's offset; meaningful only in records that were read.
    pub offset: u64,
}

/// The outcome of an append at an expected end of the topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionalPut {
    /// The record was written at this offset.
    Written(u64),
    /// Nothing was written, since the topic ends at this offset.
    Conflict(u64),
}

/// A page of the newest records of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestPage {
    /// The records, ordered by key.
    pub records: Vec<KeyedRecord>,
    /// Whether records with higher keys follow.
    pub more: bool,
    /// Offset that the next record will get.
    pub end: u64,
    /// The era in which the page was read.
    pub era: StoreEra,
}

/// The outcome of a read from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The records from the offset on, which may be none.
    Records {
        /// The records, ordered by offset.
        records: Vec<KeyedRecord>,
        /// Offset after the last record, where the next read starts.
        next: u64,
        /// The era in which the records were read.
        era: StoreEra,
    },
    /// The store no longer holds the offset; the newest records must be read
    /// again.
    Expired,
}

/// The platform's store of keyed records.
pub trait KeyedStore: Send + Sync {
    /// Returns a page of the newest records, with keys after `after`.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be read.
    fn newest(&self, topic: KeyedTopic, after: Option<&str>) -> Result<NewestPage, PlatformError>;

    /// Returns the records from an offset on, and waits up to `wait` for the
    /// first one.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be read.
    fn changes(
        &self,
        topic: KeyedTopic,
        from: u64,
        wait: Duration,
    ) -> Result<Changes, PlatformError>;

    /// Appends a record, and returns the era in which it was written.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails. After [`PlatformError::NoAnswer`]
    /// the record may have been written.
    fn put(&self, topic: KeyedTopic, record: &KeyedRecord) -> Result<StoreEra, PlatformError>;

    /// Appends a record if the topic ends at the offset `end`.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails. After [`PlatformError::NoAnswer`]
    /// the record may have been written.
    fn put_if_end(
        &self,
        topic: KeyedTopic,
        record: &KeyedRecord,
        end: u64,
    ) -> Result<ConditionalPut, PlatformError>;
}

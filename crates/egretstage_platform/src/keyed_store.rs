//! The platform's store of keyed records: the newest record of each key lasts.

use crate::{PlatformError, StoreEra};
use compact_str::CompactString;
use std::time::Duration;

/// A set of keyed records that the system reads or keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum KeyedTopic {
    /// The operator's configuration, one record.
    Configuration,
    /// The upstreams, each under its name.
    Upstreams,
    /// The system's own entries, each under its name.
    Entries,
    /// Who decides for a model group, each under the group's name.
    Deciders,
}

/// A record of a keyed topic; without a value, its key is dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: CompactString,
    /// The value.
    pub value: Option<Vec<u8>>,
    /// Its offset, in records that were read.
    pub offset: u64,
}

/// The end of an append that depends on the end of the topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionalPut {
    /// The record was written at the offset.
    Written(u64),
    /// The topic ends elsewhere; nothing was written.
    Conflict(u64),
}

/// Some of the newest records of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestPage {
    /// The records, in the order of their keys.
    pub records: Vec<KeyedRecord>,
    /// Whether records with higher keys follow.
    pub more: bool,
    /// Offset that the next record will get.
    pub end: u64,
    /// The era in which the page was read.
    pub era: StoreEra,
}

/// Records from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The records, and the offset after the last.
    Records {
        /// In the order of their offsets.
        records: Vec<KeyedRecord>,
        /// Where to read on.
        next: u64,
        /// The era in which they were read.
        era: StoreEra,
    },
    /// Records at the offset have expired: the newest must be read again.
    Expired,
}

/// The platform's store of keyed records.
pub trait KeyedStore: Send + Sync {
    /// Returns the newest records of the keys after `after`.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be read.
    fn newest(&self, topic: KeyedTopic, after: Option<&str>) -> Result<NewestPage, PlatformError>;

    /// Returns the records from an offset on; waits up to `wait` for the first.
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

    /// Appends a record, and returns the era in which it stands.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NoAnswer`] leaves open whether the record was written.
    fn put(&self, topic: KeyedTopic, record: &KeyedRecord) -> Result<StoreEra, PlatformError>;

    /// Appends a record if the topic still ends at an offset.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NoAnswer`] leaves open whether the record was written.
    fn put_if_end(
        &self,
        topic: KeyedTopic,
        record: &KeyedRecord,
        end: u64,
    ) -> Result<ConditionalPut, PlatformError>;
}

//! Reads all newest records of a topic.

use crate::{KeyedRecord, KeyedStore, KeyedTopic, NewestPage, PlatformError, StoreEra};

/// The newest records of a topic, all read in one era.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestRecords {
    /// The records, ordered by key.
    pub records: Vec<KeyedRecord>,
    /// End of the topic at the first page. The pages are no snapshot, so a later record may
    /// be missing, or be listed as well.
    pub end: u64,
    /// The era in which all pages were read.
    pub era: StoreEra,
}

/// Reads the newest records of a topic, page by page.
///
/// If the store is restored from a copy between two pages, the read starts over.
///
/// # Errors
///
/// Returns the error of the first call that fails.
pub fn read_newest(
    store: &dyn KeyedStore,
    topic: KeyedTopic,
) -> Result<NewestRecords, PlatformError> {
    loop {
        if let Some(newest) = read_pages(store, topic)? {
            return Ok(newest);
        }
        let topic: &'static str = topic.into();
        log::info!(topic; "the store was restored between two pages");
    }
}

/// Reads all pages, or returns `None` if they are of two eras.
fn read_pages(
    store: &dyn KeyedStore,
    topic: KeyedTopic,
) -> Result<Option<NewestRecords>, PlatformError> {
    let NewestPage {
        mut records,
        mut more,
        end,
        era,
    } = store.newest(topic, None)?;
    while more {
        let after = records.last().map(|record| record.key.clone());
        let page = store.newest(topic, after.as_deref())?;
        if page.era != era {
            return Ok(None);
        }
        more = page.more && !page.records.is_empty();
        records.extend(page.records);
    }
    Ok(Some(NewestRecords { records, end, era }))
}

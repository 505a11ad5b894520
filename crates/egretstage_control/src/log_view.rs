//! The configuration as read from the log: the newest checkpoint and the
//! records after it.

use egretstage_config::{CONFIGURATION_STREAM, ConfigurationFold, Offset, Record, Verdict};
use egretstage_platform::{AppendLog, LogPage, PlatformError};
use egretstage_relay::newest_checkpoint;
use serde::Serialize;
use std::time::Duration;

/// Why the configuration can't be read from the log.
#[derive(Debug, thiserror::Error)]
pub enum ViewError {
    /// The log can't be used.
    #[error(transparent)]
    Log(#[from] PlatformError),
    /// Records have expired and no checkpoint covers them.
    #[error("the log holds records from offset {first} on and no checkpoint reaches offset {}", first - 1)]
    Incomplete {
        /// Oldest offset that the log holds.
        first: u64,
    },
}

/// A record on the log with its verdict.
#[derive(Clone, Debug, Serialize)]
pub struct FoldedRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// The record.
    pub record: Record,
    /// The outcome of folding it, which is the same at every node.
    #[serde(serialize_with = "as_text")]
    pub verdict: Verdict,
}

fn as_text<S: serde::Serializer>(verdict: &Verdict, s: S) -> Result<S::Ok, S::Error> {
    s.collect_str(verdict)
}

/// A fold of the configuration on the log.
pub struct LogView<'a> {
    log: &'a dyn AppendLog,
    fold: ConfigurationFold,
}

impl<'a> LogView<'a> {
    /// Reads the newest checkpoint and all records after it.
    ///
    /// # Errors
    ///
    /// Returns an error when the log can't be read or has dropped records
    /// that no checkpoint covers.
    pub fn open(log: &'a dyn AppendLog) -> Result<Self, ViewError> {
        let mut view = Self {
            log,
            fold: ConfigurationFold::default(),
        };
        view.merge_checkpoint()?;
        view.read_new()?;
        Ok(view)
    }

    /// Returns the fold up to the last record read.
    #[must_use]
    pub fn fold(&self) -> &ConfigurationFold {
        &self.fold
    }

    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &'a dyn AppendLog {
        self.log
    }

    /// Folds the records that were appended since the last read and returns
    /// them.
    ///
    /// # Errors
    ///
    /// Returns an error when the log can't be read or has dropped records
    /// that no checkpoint covers.
    pub fn read_new(&mut self) -> Result<Vec<FoldedRecord>, ViewError> {
        let mut folded = Vec::new();
        loop {
            let page = self.next_page()?;
            if page.records.is_empty() {
                return Ok(folded);
            }
            for logged in page.records {
                let offset = Offset(logged.offset);
                let Ok(record) = serde_json::from_value::<Record>(logged.data) else {
                    self.fold.skip(offset);
                    continue;
                };
                let verdict = self.fold.apply(offset, &record);
                folded.push(FoldedRecord {
                    offset,
                    record,
                    verdict,
                });
            }
        }
    }

    fn next_page(&mut self) -> Result<LogPage, ViewError> {
        let page = self.read_page()?;
        if page.first <= self.fold.offset().next().0 {
            return Ok(page);
        }
        self.merge_checkpoint()?;
        let page = self.read_page()?;
        if page.first <= self.fold.offset().next().0 {
            return Ok(page);
        }
        Err(ViewError::Incomplete { first: page.first })
    }

    fn read_page(&self) -> Result<LogPage, PlatformError> {
        let from = self.fold.offset().next().0;
        self.log.read(CONFIGURATION_STREAM, from, Duration::ZERO)
    }

    fn merge_checkpoint(&mut self) -> Result<(), PlatformError> {
        if let Some(found) = newest_checkpoint(self.log)? {
            self.fold.merge(found.delta);
        }
        Ok(())
    }
}

/// Returns the records that the log still holds, each with its verdict.
///
/// If records have expired, only those after the newest checkpoint are
/// returned, because the state before the others is unknown.
///
/// # Errors
///
/// Returns an error when the log can't be read.
pub fn retained_records(log: &dyn AppendLog) -> Result<Vec<FoldedRecord>, ViewError> {
    let end = log.read(CONFIGURATION_STREAM, u64::MAX, Duration::ZERO)?;
    let is_complete = end.first <= 1;
    let mut view = LogView {
        log,
        fold: ConfigurationFold::default(),
    };
    if !is_complete {
        view.merge_checkpoint()?;
    }
    view.read_new()
}

//! A client of the platform's append-only log.
//!
//! The published protocol: `POST /streams/{stream}/records` appends and
//! answers with the offset; `GET /streams/{stream}/records?from=N&wait_ms=M`
//! answers with the records from an offset on and waits up to `M` for the
//! first. Records older than the retention are dropped; `first` is the oldest
//! offset that is still held.

use crate::{PlatformError, http};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A record to append.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Identifier that the writer chose for the record; unique in the stream.
    pub id: CompactString,
    /// The record.
    pub data: serde_json::Value,
}

/// The body of the answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AppendAnswer {
    offset: u64,
}

/// A record as read from the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the stream; the first is 1.
    pub offset: u64,
    /// The writer's identifier of the record; a repeated append has the same.
    pub id: CompactString,
    /// The record.
    pub data: serde_json::Value,
}

/// A page of records of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogPage {
    /// Oldest offset that the stream still holds.
    pub first: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// The records, ordered by offset.
    pub records: Vec<LogRecord>,
}

/// The platform's append-only log.
pub trait AppendLog: Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NoAnswer`] leaves open whether the record was
    /// appended; the caller reads on and looks for the record's identifier.
    fn append(&self, stream: &str, req: &AppendRequest) -> Result<u64, PlatformError>;

    /// Reads records from an offset on, and waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns an error when the log can't be read.
    fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<LogPage, PlatformError>;
}

/// A client of the log over HTTP.
#[derive(Debug)]
pub struct HttpAppendLog {
    agent: ureq::Agent,
    base: String,
}

impl HttpAppendLog {
    /// Creates a client of the log at a base URL.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            agent: http::agent(),
            base: base.trim_end_matches('/').to_owned(),
        }
    }
}

impl AppendLog for HttpAppendLog {
    fn append(&self, stream: &str, req: &AppendRequest) -> Result<u64, PlatformError> {
        let url = format!("{}/streams/{stream}/records", self.base);
        http::post(&self.agent, &url, req).map(|answer: AppendAnswer| answer.offset)
    }

    fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<LogPage, PlatformError> {
        let wait_ms = wait.as_millis();
        let base = &self.base;
        let url = format!("{base}/streams/{stream}/records?from={from}&wait_ms={wait_ms}");
        http::get(&self.agent, &url)
    }
}

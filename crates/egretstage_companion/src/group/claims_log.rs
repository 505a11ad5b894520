//! Reads and appends a group's claims on the platform's log.

use egretstage_group::{ClaimEntry, ClaimRecord, MemberEvent, claims_stream};
use egretstage_platform::{AppendLog, AppendRequest, HttpAppendLog, LogRecord, PlatformError};
use egretstage_runtime::EventSender;
use egretstage_wire::{Incarnation, ServiceName};
use miette::IntoDiagnostic;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

/// Client of the log: reads on one thread and appends on another, so that an
/// append that gets no answer doesn't delay the reads.
#[derive(Debug)]
pub(crate) struct ClaimsLog {
    reads: Sender<u64>,
    appends: Sender<ClaimRecord>,
}

impl ClaimsLog {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
    pub(crate) fn start(
        url: &str,
        group: &ServiceName,
        incarnation: Incarnation,
        events: &EventSender<MemberEvent>,
    ) -> miette::Result<Self> {
        let stream = claims_stream(group);
        let (reads, read_rx) = channel();
        let (appends, append_rx) = channel();
        let (log, tx, name) = (HttpAppendLog::new(url), events.clone(), stream.clone());
        let reader = std::thread::Builder::new().name("claims-read".to_owned());
        let reader = reader.spawn(move || {
            for from in read_rx {
                tx.send(read_to_end(&log, &name, from).unwrap_or_else(|e| {
                    log::debug!(error:display = e; "reading the claims failed");
                    MemberEvent::ClaimsReadFailed
                }));
            }
        });
        reader.into_diagnostic()?;
        let (log, tx) = (HttpAppendLog::new(url), events.clone());
        let writer = std::thread::Builder::new().name("claims-append".to_owned());
        let writer = writer.spawn(move || {
            for record in append_rx {
                if let Err(e) = append(&log, &stream, incarnation, &record) {
                    log::warn!(error:display = e; "the append of the claim is unconfirmed");
                }
                tx.send(MemberEvent::AppendEnded);
            }
        });
        writer.into_diagnostic()?;
        Ok(Self { reads, appends })
    }

    /// Requests a read from an offset to the current end; the result arrives as
    /// an event.
    pub(crate) fn read(&self, from: u64) {
        let _ = self.reads.send(from);
    }

    /// Requests the append of a claim. Its end arrives as an event; whether it was
    /// accepted is known from the next read.
    pub(crate) fn append(&self, record: ClaimRecord) {
        let _ = self.appends.send(record);
    }
}

fn append(
    log: &HttpAppendLog,
    stream: &str,
    incarnation: Incarnation,
    record: &ClaimRecord,
) -> Result<u64, PlatformError> {
    let data = serde_json::to_value(record).expect("claims are plain data");
    let id = format!("{:x}-{}", incarnation.0, record.base).into();
    log.append(stream, &AppendRequest { id, data })
}

fn read_to_end(log: &HttpAppendLog, stream: &str, from: u64) -> Result<MemberEvent, PlatformError> {
    let mut entries = Vec::new();
    let mut next = from;
    loop {
        let page = log.read(stream, next, Duration::ZERO)?;
        let read_end = page
            .records
            .last()
            .map_or(page.next, |last| last.offset + 1);
        entries.extend(page.records.into_iter().map(to_entry));
        if read_end >= page.next {
            let first = page.first;
            return Ok(MemberEvent::ClaimsRead { first, entries });
        }
        next = read_end;
    }
}

fn to_entry(record: LogRecord) -> ClaimEntry {
    ClaimEntry {
        offset: record.offset,
        record: serde_json::from_value(record.data).ok(),
    }
}

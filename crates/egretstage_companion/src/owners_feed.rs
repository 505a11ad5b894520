//! Threads that read and append the service's owners stream.

use crate::CompanionEvent;
use crossbeam_channel::{Receiver, Sender, unbounded};
use egretstage_once::{OwnersRecord, owners_stream};
use egretstage_platform::{AppendLog, AppendRequest, HttpAppendLog};
use egretstage_runtime::EventSender;
use egretstage_wire::ServiceName;
use std::time::{Duration, Instant};

/// Part of the lease that one read may wait for a new record.
const READS_PER_LEASE: u32 = 4;

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Starts the threads and returns where records to be appended are sent.
///
/// # Errors
///
/// Returns the system's error when a thread can't be started.
pub(crate) fn start(
    log_url: &str,
    service: &ServiceName,
    lease: Duration,
    events: &EventSender<CompanionEvent>,
) -> std::io::Result<Sender<OwnersRecord>> {
    let stream = owners_stream(service);
    let (records, rx) = unbounded();
    let log = HttpAppendLog::new(log_url);
    let (tx, name) = (events.clone(), stream.clone());
    std::thread::Builder::new()
        .name("owners-feed".to_owned())
        .spawn(move || follow(&log, &name, lease / READS_PER_LEASE, &tx))?;
    let log = HttpAppendLog::new(log_url);
    let tx = events.clone();
    std::thread::Builder::new()
        .name("owners-append".to_owned())
        .spawn(move || append(&log, &stream, &rx, &tx))?;
    Ok(records)
}

/// Reads the stream forever.
fn follow(log: &dyn AppendLog, stream: &str, wait: Duration, events: &EventSender<CompanionEvent>) {
    let mut from = 1;
    loop {
        let requested_at = Instant::now();
        match log.read(stream, from, wait) {
            Ok(page) => {
                let last = page.records.last().map(|record| record.offset + 1);
                from = last.unwrap_or(from).max(page.first);
                let page = Box::new(page);
                events.send(CompanionEvent::OwnersRead { requested_at, page });
            }
            Err(e) => {
                log::warn!(error:display = e; "the owners stream can't be read");
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }
}

/// Appends records, one at a time.
fn append(
    log: &dyn AppendLog,
    stream: &str,
    records: &Receiver<OwnersRecord>,
    events: &EventSender<CompanionEvent>,
) {
    for record in records {
        let appended = match append_one(log, stream, &record) {
            Ok(offset) => {
                log::info!(offset, action:display = record.action; "owners record appended");
                true
            }
            Err(e) => {
                log::warn!(error = e.as_str(); "the append to the owners stream is in doubt");
                false
            }
        };
        events.send(CompanionEvent::OwnersAppendEnded { appended });
    }
}

fn append_one(log: &dyn AppendLog, stream: &str, record: &OwnersRecord) -> Result<u64, String> {
    let data = serde_json::to_value(record).map_err(|e| e.to_string())?;
    let id = record.id.clone();
    log.append(stream, &AppendRequest { id, data })
        .map_err(|e| e.to_string())
}

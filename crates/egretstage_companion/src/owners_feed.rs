//! Threads that read the service's owners stream and append to it.

use crate::CompanionEvent;
use crossbeam_channel::{Receiver, Sender, unbounded};
use egretstage_once::{OwnersRecord, owners_stream};
use egretstage_platform::{AppendLog, AppendRequest, HttpAppendLog};
use egretstage_runtime::EventSender;
use egretstage_wire::ServiceName;
use std::time::{Duration, Instant};

/// Number of reads per lease: one read may wait for a new record for this fraction
/// of the lease.
const READS_PER_LEASE: u32 = 4;

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Starts the threads and returns the channel for the records to append.
///
/// # Errors
///
/// Returns an error if a thread can't be started.
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
        .spawn(move || read_forever(&log, &name, lease / READS_PER_LEASE, &tx))?;
    let log = HttpAppendLog::new(log_url);
    let tx = events.clone();
    std::thread::Builder::new()
        .name("owners-append".to_owned())
        .spawn(move || append_records(&log, &stream, &rx, &tx))?;
    Ok(records)
}

/// Reads the stream, one page after another, without end.
fn read_forever(
    log: &dyn AppendLog,
    stream: &str,
    wait: Duration,
    events: &EventSender<CompanionEvent>,
) {
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
                log::warn!(error:display = e; "reading the owners stream failed");
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }
}

/// Appends the records from the channel, one at a time.
fn append_records(
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
                log::warn!(error = e.as_str(); "the append to the owners stream is unconfirmed");
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

//! The thread that appends records to the owners streams of services.

use crossbeam_channel::{Receiver, Sender, unbounded};
use egretstage_once::{OwnersRecord, owners_stream};
use egretstage_platform::{AppendLog, AppendRequest, HttpAppendLog};
use egretstage_wire::ServiceName;

/// A record for a service's owners stream.
#[derive(Debug)]
pub(crate) struct OwnersAppend {
    pub(crate) service: ServiceName,
    pub(crate) record: Box<OwnersRecord>,
}

/// Starts the thread and returns the sender of its queue.
///
/// # Errors
///
/// Returns the system's error when the thread can't be started.
pub(crate) fn start(log_url: &str) -> std::io::Result<Sender<OwnersAppend>> {
    let (tx, rx) = unbounded();
    let log = HttpAppendLog::new(log_url);
    std::thread::Builder::new()
        .name("owners-append".to_owned())
        .spawn(move || append_records(&log, &rx))?;
    Ok(tx)
}

/// Appends removal records, one at a time. If a record is lost, the reducer issues
/// the removal again.
fn append_records(log: &dyn AppendLog, records: &Receiver<OwnersAppend>) {
    for OwnersAppend { service, record } in records {
        let stream = owners_stream(&service);
        let Ok(data) = serde_json::to_value(&record) else {
            continue;
        };
        let id = record.id.clone();
        let member = record.member.instance.as_str();
        match log.append(&stream, &AppendRequest { id, data }) {
            Ok(offset) => log::info!(offset, member; "key owner removal appended"),
            Err(e) => log::warn!(member, error:display = e; "key owner removal unconfirmed"),
        }
    }
}

//! An in-memory log that can inject faults.

use egretstage_config::CONFIGURATION_STREAM;
use egretstage_platform::{AppendLog, AppendRequest, LogPage, LogRecord, PlatformError};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

/// An in-memory log that can inject faults.
#[derive(Debug, Default)]
pub(crate) struct MemoryLog {
    /// For each stream, the last offset that was dropped, and the records.
    streams: Mutex<HashMap<String, (u64, Vec<LogRecord>)>>,
    pub(crate) faults: Mutex<Faults>,
}

/// Faults that the log injects.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// All appends and reads fail.
    pub(crate) down: bool,
    /// Number of appends that take effect but whose answers are lost.
    pub(crate) lost_answers: u32,
    /// Number of appends that are lost without effect.
    pub(crate) lost_appends: u32,
    /// Number of reads that fail.
    pub(crate) failed_reads: u32,
}

impl MemoryLog {
    /// Drops the records below an offset.
    pub(crate) fn expire(&self, stream: &str, first: u64) {
        let mut streams = self.streams.lock().unwrap();
        let (dropped, records) = streams.entry(stream.to_owned()).or_default();
        records.retain(|record| record.offset >= first);
        *dropped = (first - 1).max(*dropped);
    }

    pub(crate) fn records(&self, stream: &str) -> Vec<LogRecord> {
        let streams = self.streams.lock().unwrap();
        streams.get(stream).map_or_else(Vec::new, |s| s.1.clone())
    }

    /// Appends a configuration record and returns its offset.
    pub(crate) fn publish(&self, kind: &str, name: &str, base: u64, body: &Value) -> u64 {
        let id = format!("{kind}-{name}-{base}");
        let data =
            json!({"id": id, "kind": kind, "name": name, "base": base, "schema": 1, "body": body});
        let req = AppendRequest {
            id: id.into(),
            data,
        };
        self.append(CONFIGURATION_STREAM, &req).unwrap()
    }

    fn no_answer() -> PlatformError {
        PlatformError::NoAnswer {
            url: "memory".to_owned(),
            reason: "lost".to_owned(),
        }
    }
}

impl AppendLog for MemoryLog {
    fn append(&self, stream: &str, req: &AppendRequest) -> Result<u64, PlatformError> {
        let mut faults = self.faults.lock().unwrap();
        if faults.down || faults.lost_appends > 0 {
            faults.lost_appends = faults.lost_appends.saturating_sub(1);
            return Err(Self::no_answer());
        }
        let mut streams = self.streams.lock().unwrap();
        let (dropped, records) = streams.entry(stream.to_owned()).or_default();
        let offset = records.last().map_or(*dropped, |record| record.offset) + 1;
        records.push(LogRecord {
            offset,
            id: req.id.clone(),
            data: req.data.clone(),
        });
        if faults.lost_answers > 0 {
            faults.lost_answers -= 1;
            return Err(Self::no_answer());
        }
        Ok(offset)
    }

    fn read(&self, stream: &str, from: u64, _: Duration) -> Result<LogPage, PlatformError> {
        let mut faults = self.faults.lock().unwrap();
        if faults.down || faults.failed_reads > 0 {
            faults.failed_reads = faults.failed_reads.saturating_sub(1);
            return Err(Self::no_answer());
        }
        let mut streams = self.streams.lock().unwrap();
        let (dropped, records) = streams.entry(stream.to_owned()).or_default();
        let next = records.last().map_or(*dropped, |record| record.offset) + 1;
        let wanted = records.iter().filter(|record| record.offset >= from);
        Ok(LogPage {
            first: *dropped + 1,
            next,
            records: wanted.take(1000).cloned().collect(),
        })
    }
}

/// Publishes a configuration of the target size.
pub(crate) fn publish_large(log: &MemoryLog, organisations: usize) {
    for n in 0..organisations {
        let digests = [format!("{n:064x}"), format!("{:064x}", n + 100_000)];
        let body = json!({"token_digests": digests, "weight": 1.5, "priority": 1});
        log.publish("organisation", &format!("organisation-{n}"), 0, &body);
        let rule = json!({
            "organisation": format!("organisation-{n}"), "service": format!("service-{}", n % 40),
            "zones": ["region-1-a", "region-1-b", "region-2-a"],
        });
        log.publish("placement-rule", &format!("rule-{n}"), 0, &rule);
    }
    for n in 0..40 {
        let body = json!({"repeatable": [{"method": "POST", "path_prefix": "/search"}]});
        log.publish("service", &format!("service-{n}"), 0, &body);
    }
    for n in 0..5 {
        let body = json!({"model": format!("model-{n}"), "ranks": 128, "experts": 128});
        log.publish("model-group", &format!("group-{n}"), 0, &body);
    }
}

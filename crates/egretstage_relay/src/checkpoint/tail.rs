//! Reads the end of the checkpoint stream.

use super::{CHECKPOINT_STREAM, CheckpointRecord, FoundCheckpoint, unix_ms};
use egretstage_config::{ChunkJoiner, Offset};
use egretstage_platform::{AppendLog, PlatformError};
use egretstage_wire::ChangeId;
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest time for which a claim without a whole checkpoint is valid.
const MAX_CLAIM_TIMEOUT: Duration = Duration::from_secs(10);

/// A record of the checkpoint stream with its offset.
struct StoredRecord {
    offset: Offset,
    record: CheckpointRecord,
}

/// The checkpoint stream from the newest whole checkpoint on.
pub(super) struct StreamTail {
    /// The newest whole checkpoint.
    pub(super) newest: Option<FoundCheckpoint>,
    records: Vec<StoredRecord>,
    /// Claims that were written at this time or before are no longer valid.
    claim_cutoff_unix_ms: u64,
}

impl StreamTail {
    /// Reads the stream backwards until the records hold a whole checkpoint.
    ///
    /// A claim is valid for at most half of the interval between checkpoints, so
    /// that the claim of a failed writer can't delay the next checkpoint past the
    /// log's retention.
    pub(super) fn read(log: &dyn AppendLog, interval: Duration) -> Result<Self, PlatformError> {
        let end = log.read(CHECKPOINT_STREAM, u64::MAX, Duration::ZERO)?;
        let mut window = 1;
        loop {
            let from = end.next.saturating_sub(window).max(end.first);
            let records = read_from(log, from)?;
            let newest = newest_whole(&records);
            if newest.is_some() || from <= end.first {
                let timeout = MAX_CLAIM_TIMEOUT.min(interval / 2);
                let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
                return Ok(Self {
                    newest,
                    records,
                    claim_cutoff_unix_ms: unix_ms().saturating_sub(timeout_ms),
                });
            }
            let parts = records.iter().map(|stored| stored.record.chunk.parts).max();
            window = (window * 2).max(u64::from(parts.unwrap_or(1)));
        }
    }

    /// Returns which parts of a checkpoint are on the log.
    pub(super) fn parts_of(&self, id: &ChangeId) -> BTreeSet<u32> {
        let own = self.records.iter().filter(|stored| stored.record.id == *id);
        own.map(|stored| stored.record.chunk.part).collect()
    }

    /// Returns whether another node is writing a checkpoint.
    pub(super) fn has_open_claim(&self) -> bool {
        let base = self
            .newest
            .as_ref()
            .map_or(Offset(0), |found| found.stream_offset);
        self.first_claim(base).is_some()
    }

    /// Returns the first valid claim to the position after a checkpoint.
    pub(super) fn first_claim(&self, base: Offset) -> Option<&ChangeId> {
        let claims = self.records.iter().map(|stored| &stored.record);
        claims
            .filter(|record| record.chunk.part == 1 && record.base == base)
            .find(|record| record.written_unix_ms > self.claim_cutoff_unix_ms)
            .map(|record| &record.id)
    }
}

/// Reads all records from an offset on; skips those of another format.
fn read_from(log: &dyn AppendLog, mut from: u64) -> Result<Vec<StoredRecord>, PlatformError> {
    let mut records = Vec::new();
    loop {
        let page = log.read(CHECKPOINT_STREAM, from, Duration::ZERO)?;
        let Some(last) = page.records.last() else {
            return Ok(records);
        };
        from = last.offset + 1;
        for stored in page.records {
            if let Ok(record) = serde_json::from_value(stored.data) {
                let offset = Offset(stored.offset);
                records.push(StoredRecord { offset, record });
            }
        }
        if from >= page.next {
            return Ok(records);
        }
    }
}

/// Returns the whole checkpoint that covers the highest offset; of several at
/// that offset, the last.
fn newest_whole(records: &[StoredRecord]) -> Option<FoundCheckpoint> {
    let first_parts = records
        .iter()
        .filter(|stored| stored.record.chunk.part == 1);
    first_parts
        .filter_map(|first| join_parts(records, first))
        .max_by_key(|found| (found.delta.through, found.stream_offset))
}

/// Joins the parts of a checkpoint; returns none if some are missing.
fn join_parts(records: &[StoredRecord], first: &StoredRecord) -> Option<FoundCheckpoint> {
    let mut joiner = ChunkJoiner::default();
    let mut parts = records
        .iter()
        .filter(|stored| stored.record.id == first.record.id);
    let delta = parts.find_map(|stored| joiner.push(stored.record.chunk.clone()))?;
    let age_ms = unix_ms().saturating_sub(first.record.written_unix_ms);
    Some(FoundCheckpoint {
        stream_offset: first.offset,
        delta,
        age: Duration::from_millis(age_ms),
    })
}

//! The end of the checkpoint stream.

use super::{CHECKPOINT_STREAM, CheckpointRecord, FoundCheckpoint, unix_ms};
use egretstage_config::{ChunkJoiner, Offset};
use egretstage_platform::{AppendLog, PlatformError};
use egretstage_wire::ChangeId;
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest time after which a claim without a whole checkpoint counts no more.
const MAX_CLAIM_TIMEOUT: Duration = Duration::from_secs(10);

/// A record of the checkpoint stream with its place.
struct Held {
    at: Offset,
    record: CheckpointRecord,
}

/// The stream from the newest whole checkpoint on.
pub(super) struct View {
    /// The newest whole checkpoint.
    pub(super) newest: Option<FoundCheckpoint>,
    records: Vec<Held>,
    oldest_claim_unix_ms: u64,
}

impl View {
    /// Reads the stream backwards until a whole checkpoint is in view.
    ///
    /// A claim counts for at most half of the interval between checkpoints,
    /// so that a dead writer can't use up the retention.
    pub(super) fn read(log: &dyn AppendLog, interval: Duration) -> Result<Self, PlatformError> {
        let end = log.read(CHECKPOINT_STREAM, u64::MAX, Duration::ZERO)?;
        let mut window = 1;
        loop {
            let from = end.next.saturating_sub(window).max(end.first);
            let records = read_from(log, from)?;
            let newest = newest(&records);
            if newest.is_some() || from <= end.first {
                let timeout = MAX_CLAIM_TIMEOUT.min(interval / 2);
                let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
                return Ok(Self {
                    newest,
                    records,
                    oldest_claim_unix_ms: unix_ms().saturating_sub(timeout_ms),
                });
            }
            let parts = records.iter().map(|held| held.record.chunk.parts).max();
            window = (window * 2).max(u64::from(parts.unwrap_or(1)));
        }
    }

    /// Returns which parts of a checkpoint are on the log.
    pub(super) fn parts_of(&self, id: &ChangeId) -> BTreeSet<u32> {
        let own = self.records.iter().filter(|held| held.record.id == *id);
        own.map(|held| held.record.chunk.part).collect()
    }

    /// Tells whether another node is writing a checkpoint.
    pub(super) fn has_open_claim(&self) -> bool {
        let base = self.newest.as_ref().map_or(Offset(0), |found| found.at);
        self.first_claim(base).is_some()
    }

    /// Returns the first fresh claim to the place after a checkpoint.
    pub(super) fn first_claim(&self, base: Offset) -> Option<&ChangeId> {
        let claims = self.records.iter().map(|held| &held.record);
        claims
            .filter(|record| record.chunk.part == 1 && record.base == base)
            .find(|record| record.written_unix_ms > self.oldest_claim_unix_ms)
            .map(|record| &record.id)
    }
}

fn read_from(log: &dyn AppendLog, mut from: u64) -> Result<Vec<Held>, PlatformError> {
    let mut records = Vec::new();
    loop {
        let page = log.read(CHECKPOINT_STREAM, from, Duration::ZERO)?;
        let Some(last) = page.records.last() else {
            return Ok(records);
        };
        from = last.offset + 1;
        for held in page.records {
            if let Ok(record) = serde_json::from_value(held.data) {
                let at = Offset(held.offset);
                records.push(Held { at, record });
            }
        }
        if from >= page.next {
            return Ok(records);
        }
    }
}

/// Finds the whole checkpoint that reaches furthest; of equal ones the last.
fn newest(records: &[Held]) -> Option<FoundCheckpoint> {
    let first_parts = records.iter().filter(|held| held.record.chunk.part == 1);
    first_parts
        .filter_map(|first| whole(records, first))
        .max_by_key(|found| (found.delta.through, found.at))
}

fn whole(records: &[Held], first: &Held) -> Option<FoundCheckpoint> {
    let mut joiner = ChunkJoiner::default();
    let mut parts = records
        .iter()
        .filter(|held| held.record.id == first.record.id);
    let delta = parts.find_map(|held| joiner.push(held.record.chunk.clone()))?;
    let age_ms = unix_ms().saturating_sub(first.record.written_unix_ms);
    Some(FoundCheckpoint {
        at: first.at,
        delta,
        age: Duration::from_millis(age_ms),
    })
}

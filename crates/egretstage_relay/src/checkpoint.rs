//! Checkpoints on the log: the whole state, appended again before the records
//! that led to it expire.
//!
//! A checkpoint is a row of [`CheckpointRecord`]s on a stream of its own. Its
//! content depends only on the offset that it reaches, so two checkpoints for
//! one offset are equal and either will do. The first part claims the place
//! after the last checkpoint; a writer that finds an earlier claim to the
//! same place stops.

mod view;

use crate::CheckpointInfo;
use compact_str::format_compact;
use egretstage_config::{Offset, StateDelta};
use egretstage_platform::{AppendLog, AppendRequest, PlatformError};
use egretstage_wire::{ChangeId, StateChunk};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use view::View;

/// The log stream that holds checkpoints.
pub const CHECKPOINT_STREAM: &str = "configuration-checkpoints";

/// Most rounds in which a writer appends the parts that aren't on the log.
const MAX_ROUNDS: u32 = 3;

/// One part of a checkpoint as it stands on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointRecord {
    /// Identity of the checkpoint.
    pub id: ChangeId,
    /// Offset of the first part of the checkpoint before; 0 for none.
    pub base: Offset,
    /// When it was written, in milliseconds since 1970; only its age is used,
    /// to tell when the next one is due.
    pub written_unix_ms: u64,
    /// The part.
    pub chunk: StateChunk,
}

/// The newest whole checkpoint on the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundCheckpoint {
    /// Offset of its first part.
    pub at: Offset,
    /// The state.
    pub delta: StateDelta,
    /// Time since it was written.
    pub age: Duration,
}

impl FoundCheckpoint {
    /// Returns what the schedule needs to know.
    #[must_use]
    pub fn info(&self) -> CheckpointInfo {
        CheckpointInfo {
            through: self.delta.through,
            age: self.age,
        }
    }
}

/// How an attempt to write a checkpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is on the log.
    Written(CheckpointInfo),
    /// Another node has written one that is good enough.
    AlreadyWritten(CheckpointInfo),
    /// Another node is writing one.
    Claimed,
}

/// Looks the newest whole checkpoint up, from the end of the stream.
///
/// # Errors
///
/// Returns an error when the log can't be read.
pub fn newest_checkpoint(log: &dyn AppendLog) -> Result<Option<FoundCheckpoint>, PlatformError> {
    Ok(View::read(log, Duration::ZERO)?.newest)
}

/// Writes a checkpoint unless another node has done so or does so now.
///
/// # Errors
///
/// Returns an error when the log can't be used; parts of the checkpoint may be
/// on the log and do no harm.
///
/// # Panics
///
/// Never; checkpoints are plain data.
pub fn publish_checkpoint(
    log: &dyn AppendLog,
    chunks: &[StateChunk],
    interval: Duration,
) -> Result<PublishOutcome, PlatformError> {
    let Some(through) = chunks.first().map(|chunk| chunk.through) else {
        return Ok(PublishOutcome::Claimed);
    };
    let view = View::read(log, interval)?;
    if let Some(found) = &view.newest {
        let recent = found.age < interval / 2;
        if found.delta.through >= through && recent {
            return Ok(PublishOutcome::AlreadyWritten(found.info()));
        }
    }
    if view.has_open_claim() {
        return Ok(PublishOutcome::Claimed);
    }
    let base = view.newest.map_or(Offset(0), |found| found.at);
    let id = ChangeId::try_from(&*format_compact!("{:032x}", rand::random::<u128>()))
        .expect("hexadecimal digits are valid");
    let writer = Writer {
        log,
        id,
        base,
        interval,
    };
    writer.write(chunks, through)
}

/// Writes one checkpoint.
struct Writer<'a> {
    log: &'a dyn AppendLog,
    id: ChangeId,
    base: Offset,
    interval: Duration,
}

impl Writer<'_> {
    fn write(
        &self,
        chunks: &[StateChunk],
        through: Offset,
    ) -> Result<PublishOutcome, PlatformError> {
        for _ in 0..MAX_ROUNDS {
            let view = View::read(self.log, self.interval)?;
            let held = view.parts_of(&self.id);
            if held.len() == chunks.len() {
                let age = Duration::ZERO;
                return Ok(PublishOutcome::Written(CheckpointInfo { through, age }));
            }
            for chunk in chunks {
                if held.contains(&chunk.part) {
                    continue;
                }
                self.append(chunk)?;
                if chunk.part == 1 && !self.is_first_claim()? {
                    return Ok(PublishOutcome::Claimed);
                }
            }
        }
        Ok(PublishOutcome::Claimed)
    }

    fn is_first_claim(&self) -> Result<bool, PlatformError> {
        let view = View::read(self.log, self.interval)?;
        let first = view.first_claim(self.base);
        Ok(first.is_none_or(|id| *id == self.id))
    }

    /// Appends a part; a lost answer is made up for in the next round.
    fn append(&self, chunk: &StateChunk) -> Result<(), PlatformError> {
        let record = CheckpointRecord {
            id: self.id.clone(),
            base: self.base,
            written_unix_ms: unix_ms(),
            chunk: chunk.clone(),
        };
        let req = AppendRequest {
            id: format_compact!("{}-{}", self.id, chunk.part),
            data: serde_json::to_value(&record).expect("checkpoints are plain data"),
        };
        match self.log.append(CHECKPOINT_STREAM, &req) {
            Ok(_) | Err(PlatformError::NoAnswer { .. }) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

/// Returns the wall clock in milliseconds since 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

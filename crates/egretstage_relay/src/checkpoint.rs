//! Checkpoints on the log: the whole state, appended before the records that
//! led to it expire.
//!
//! A checkpoint is a sequence of [`CheckpointRecord`]s on a stream of its own.
//! Its content depends only on the last offset that it covers, so two
//! checkpoints at one offset are equal and either can be used. The first part
//! claims the position after the last checkpoint; a writer that finds an
//! earlier claim to the same position stops.

mod tail;

use crate::CheckpointInfo;
use compact_str::format_compact;
use egretstage_config::{Offset, StateDelta};
use egretstage_platform::{AppendLog, AppendRequest, PlatformError};
use egretstage_wire::{ChangeId, StateChunk};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tail::StreamTail;

/// The log stream that holds checkpoints.
pub const CHECKPOINT_STREAM: &str = "configuration-checkpoints";

/// Largest number of rounds in which a writer appends the missing parts.
const MAX_WRITE_ROUNDS: u32 = 3;

/// A part of a checkpoint, as stored on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointRecord {
    /// Identifier of the checkpoint.
    pub id: ChangeId,
    /// Offset of the first part of the previous checkpoint; 0 for none.
    pub base: Offset,
    /// When it was written, in milliseconds since 1970; only its age is used, to
    /// decide when the next one is due and whether its claim has expired.
    pub written_unix_ms: u64,
    /// The part of the state.
    pub chunk: StateChunk,
}

/// The newest whole checkpoint on the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundCheckpoint {
    /// Offset of its first part on the checkpoint stream.
    pub stream_offset: Offset,
    /// The state.
    pub delta: StateDelta,
    /// Time since it was written.
    pub age: Duration,
}

impl FoundCheckpoint {
    /// Returns the offset and age that the checkpoint schedule depends on.
    #[must_use]
    pub fn info(&self) -> CheckpointInfo {
        CheckpointInfo {
            through: self.delta.through,
            age: self.age,
        }
    }
}

/// Result of an attempt to write a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The checkpoint is on the log.
    Written(CheckpointInfo),
    /// Another node has written a recent one that covers at least as much.
    AlreadyWritten(CheckpointInfo),
    /// Another node is writing one, or the parts could not all be written.
    Claimed,
}

/// Reads the newest whole checkpoint, from the end of the stream.
///
/// # Errors
///
/// Returns an error when the log can't be read.
pub fn newest_checkpoint(log: &dyn AppendLog) -> Result<Option<FoundCheckpoint>, PlatformError> {
    Ok(StreamTail::read(log, Duration::ZERO)?.newest)
}

/// Writes a checkpoint unless another node has written or is writing one.
///
/// # Errors
///
/// Returns an error when the log can't be read or appended to; parts of the
/// checkpoint that are on the log do no harm.
///
/// # Panics
///
/// Never; checkpoints are plain data, which can always be serialised.
pub fn publish_checkpoint(
    log: &dyn AppendLog,
    chunks: &[StateChunk],
    interval: Duration,
) -> Result<PublishOutcome, PlatformError> {
    let Some(through) = chunks.first().map(|chunk| chunk.through) else {
        return Ok(PublishOutcome::Claimed);
    };
    let tail = StreamTail::read(log, interval)?;
    if let Some(found) = &tail.newest {
        let is_recent = found.age < interval / 2;
        if found.delta.through >= through && is_recent {
            return Ok(PublishOutcome::AlreadyWritten(found.info()));
        }
    }
    if tail.has_open_claim() {
        return Ok(PublishOutcome::Claimed);
    }
    let base = tail.newest.map_or(Offset(0), |found| found.stream_offset);
    let id = ChangeId::try_from(&*format_compact!("{:032x}", rand::random::<u128>()))
        .expect("hexadecimal digits are valid");
    let writer = CheckpointWriter {
        log,
        id,
        base,
        interval,
    };
    writer.write(chunks, through)
}

/// Writes the parts of one checkpoint.
struct CheckpointWriter<'a> {
    log: &'a dyn AppendLog,
    id: ChangeId,
    base: Offset,
    interval: Duration,
}

impl CheckpointWriter<'_> {
    fn write(
        &self,
        chunks: &[StateChunk],
        through: Offset,
    ) -> Result<PublishOutcome, PlatformError> {
        for _ in 0..MAX_WRITE_ROUNDS {
            let tail = StreamTail::read(self.log, self.interval)?;
            let written_parts = tail.parts_of(&self.id);
            if written_parts.len() == chunks.len() {
                let age = Duration::ZERO;
                return Ok(PublishOutcome::Written(CheckpointInfo { through, age }));
            }
            for chunk in chunks {
                if written_parts.contains(&chunk.part) {
                    continue;
                }
                self.append(chunk)?;
                if chunk.part == 1 && !self.holds_first_claim()? {
                    return Ok(PublishOutcome::Claimed);
                }
            }
        }
        Ok(PublishOutcome::Claimed)
    }

    /// Returns whether no other writer claimed the position before.
    fn holds_first_claim(&self) -> Result<bool, PlatformError> {
        let tail = StreamTail::read(self.log, self.interval)?;
        let first = tail.first_claim(self.base);
        Ok(first.is_none_or(|id| *id == self.id))
    }

    /// Appends a part; if the answer is lost, the next round checks the part
    /// again.
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

/// Returns the wall-clock time in milliseconds since 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

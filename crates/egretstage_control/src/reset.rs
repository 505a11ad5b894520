//! Starts an empty configuration on a log that has lost it.

use egretstage_config::{CONFIGURATION_STREAM, Offset, StateDelta};
use egretstage_platform::{AppendLog, PlatformError};
use egretstage_relay::{PublishOutcome, newest_checkpoint, publish_checkpoint};
use egretstage_wire::StateDigest;
use std::time::Duration;

/// Checkpoint interval, which determines how long a checkpoint counts as recent.
const CHECKPOINT_INTERVAL: Duration = Duration::from_hours(1);

/// Why an empty configuration can't be started.
#[derive(Debug, thiserror::Error)]
pub enum ResetError {
    /// The log can't be used.
    #[error(transparent)]
    Log(#[from] PlatformError),
    /// The log holds the whole configuration.
    #[error("the log holds the whole configuration; nothing was changed")]
    NotLost,
    /// Another process is writing a checkpoint.
    #[error("a checkpoint is being written; nothing was changed")]
    Claimed,
}

/// Writes an empty checkpoint in place of the records that have expired.
///
/// Nodes that still hold the lost configuration keep it and write a checkpoint
/// of their own, so this is meant for a system in which no node is ready.
///
/// # Errors
///
/// Returns an error when the log holds all records or a checkpoint, can't be
/// used, or another process is writing a checkpoint.
pub fn reset(log: &dyn AppendLog) -> Result<Offset, ResetError> {
    let end = log.read(CONFIGURATION_STREAM, u64::MAX, Duration::ZERO)?;
    if end.first <= 1 || newest_checkpoint(log)?.is_some() {
        return Err(ResetError::NotLost);
    }
    let through = Offset(end.first - 1);
    let empty = StateDelta {
        since: Offset(0),
        through,
        digest: StateDigest::default(),
        objects: Vec::new(),
        seen: Vec::new(),
    };
    match publish_checkpoint(log, &empty.into_chunks(), CHECKPOINT_INTERVAL)? {
        PublishOutcome::Written(_) => Ok(through),
        PublishOutcome::AlreadyWritten(_) | PublishOutcome::Claimed => Err(ResetError::Claimed),
    }
}

//! Keeps a node's configuration: the log, peers and checkpoints.
//!
//! A [`RelayReducer`] makes all decisions: when to read the log, from which
//! peer to pull, when to write a checkpoint, and whether the node holds all
//! that was accepted. [`Relay`] runs it on a thread of its own, so that a
//! large page of records never delays a call.
//!
//! Entries read the log; companions get the configuration from the entries
//! that are linked to them, and hand it on to an entry that starts while the
//! log is down.

mod checkpoint;
mod event;
mod log_state;
mod peers;
mod reducer;
mod runner;
mod schedule;
mod shown;

pub use checkpoint::{
    CHECKPOINT_STREAM, CheckpointRecord, FoundCheckpoint, PublishOutcome, newest_checkpoint,
    publish_checkpoint,
};
pub use event::{
    CheckpointInfo, ConfigurationLogLine, ConfigurationUpdate, RelayEffect, RelayEvent,
};
pub use peers::{ANNOUNCE_INTERVAL, PULL_TIMEOUT};
pub use reducer::{PEER_SETTLE_TIME, RelayOptions, RelayReducer};
pub use runner::Relay;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        ConfigurationUpdate, Relay, RelayEffect, RelayEvent, RelayOptions, RelayReducer,
    };
}

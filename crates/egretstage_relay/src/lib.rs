//! Keeps a node's configuration current from the log, peers and checkpoints.
//!
//! A [`RelayReducer`] makes all decisions: when to read the log, from which
//! peer to pull state, when to write a checkpoint, and whether the node holds
//! all accepted changes. [`Relay`] runs it on a thread of its own, so that a
//! large page of records never delays a call.
//!
//! Entries read the log. Companions receive the configuration from the entries
//! that are linked to them, and send it to an entry that starts while the log
//! is unavailable.

mod checkpoint;
mod event;
mod log_state;
mod peers;
mod reducer;
mod runner;
mod schedule;
mod status;

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

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        ConfigurationUpdate, Relay, RelayEffect, RelayEvent, RelayOptions, RelayReducer,
    };
}

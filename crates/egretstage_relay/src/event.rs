//! What happens to a node's configuration and what the node does.

use egretstage_config::{Configuration, Offset, StateDelta, Verdict};
use egretstage_link::LinkKey;
use egretstage_observe::ConfigurationStatus;
use egretstage_platform::LogPage;
use egretstage_wire::{ConfigurationFrame, KindName, ObjectName, StateChunk};
use std::sync::Arc;
use std::time::Duration;

/// What can happen to a node's configuration.
#[derive(Clone, Debug)]
pub enum RelayEvent {
    /// The log has answered with records.
    Page(LogPage),
    /// The newest checkpoint was looked up.
    Checkpoint(Option<(StateDelta, CheckpointInfo)>),
    /// A read of the log has failed.
    LogReadFailed,
    /// An attempt to write a checkpoint has ended; none if it failed or
    /// another node writes one.
    CheckpointWritten(Option<CheckpointInfo>),
    /// A link is open.
    LinkUp(LinkKey),
    /// A link has ended.
    LinkDown(LinkKey),
    /// A frame of the relay has arrived.
    Frame {
        /// The link.
        link: LinkKey,
        /// The frame.
        frame: ConfigurationFrame,
    },
}

/// The newest checkpoint on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckpointInfo {
    /// Offset up to which it holds the configuration.
    pub through: Offset,
    /// Time since it was written.
    pub age: Duration,
}

/// What a node does about its configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEffect {
    /// Looks the newest checkpoint up; the answer is an event.
    ReadCheckpoint,
    /// Reads the log from an offset; the answer is an event.
    ReadLog {
        /// The offset.
        from: Offset,
    },
    /// Writes a checkpoint unless another node does.
    WriteCheckpoint(Vec<StateChunk>),
    /// Sends a frame to a peer.
    Send {
        /// The link.
        link: LinkKey,
        /// The frame.
        frame: ConfigurationFrame,
    },
    /// Writes the log line of a change.
    Log(Box<ConfigurationLogLine>),
    /// Tells the rest of the process.
    Notify(ConfigurationUpdate),
    /// Shows the state of the configuration to operators.
    Status(Box<ConfigurationStatus>),
}

/// What the rest of the process hears of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationUpdate {
    /// A configuration is in force.
    Configured {
        /// Offset of the last record folded.
        offset: Offset,
        /// The configuration.
        configuration: Arc<Configuration>,
    },
    /// The node holds less than what was accepted.
    Incomplete,
}

/// The log line of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationLogLine {
    /// A record was folded.
    Applied {
        /// Offset of the record.
        offset: Offset,
        /// Kind of the object.
        kind: KindName,
        /// Name of the object.
        name: ObjectName,
        /// What the fold made of it.
        verdict: Verdict,
    },
    /// An accepted body can't be read; the object is out of use here.
    Unreadable {
        /// Offset of the record.
        offset: Offset,
        /// What is wrong, with the record's kind and name.
        reason: String,
    },
    /// A log record isn't a configuration record.
    Malformed {
        /// Offset of the record.
        offset: Offset,
        /// What is wrong.
        reason: String,
    },
    /// State was taken over from a peer or a checkpoint.
    Merged {
        /// Offset held before.
        from: Offset,
        /// Offset held now.
        through: Offset,
        /// Whether the sender's digest differs from the own one.
        diverged: bool,
    },
    /// The log has dropped records that the node doesn't hold.
    Gap {
        /// Offset that the node holds.
        held: Offset,
        /// Offset that it must hold before it can read on.
        needed: Offset,
    },
    /// The log ends below what the node holds; nothing is taken back.
    LogBehind {
        /// Offset that the node holds.
        held: Offset,
        /// Offset of the log's last record.
        last: Offset,
    },
    /// A peer folded the same records into another state.
    Diverged {
        /// The link to the peer.
        link: LinkKey,
        /// The offset that both hold.
        offset: Offset,
    },
}

//! Events that the relay handles and effects that it requests.

use egretstage_config::{Configuration, Offset, StateDelta, Verdict};
use egretstage_link::LinkId;
use egretstage_observe::ConfigurationStatus;
use egretstage_platform::LogPage;
use egretstage_wire::{ConfigurationFrame, KindName, ObjectName, StateChunk};
use std::sync::Arc;
use std::time::Duration;

/// An event that concerns a node's configuration.
#[derive(Clone, Debug)]
pub enum RelayEvent {
    /// A read of the log returned a page of records.
    Page(LogPage),
    /// The newest checkpoint was read; none if the log holds none.
    Checkpoint(Option<(StateDelta, CheckpointInfo)>),
    /// A read of the log failed.
    LogReadFailed,
    /// An attempt to write a checkpoint ended; none if it failed or another
    /// node is writing one.
    CheckpointWritten(Option<CheckpointInfo>),
    /// A link to a peer opened.
    LinkUp(LinkId),
    /// A link to a peer closed.
    LinkDown(LinkId),
    /// A configuration frame arrived from a peer.
    Frame {
        /// The link.
        link: LinkId,
        /// The frame.
        frame: ConfigurationFrame,
    },
}

/// The newest checkpoint on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckpointInfo {
    /// Last offset that it covers.
    pub through: Offset,
    /// Time since it was written.
    pub age: Duration,
}

/// An effect that the relay requests.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEffect {
    /// Reads the newest checkpoint; the result comes back as an event.
    ReadCheckpoint,
    /// Reads the log from an offset; the result comes back as an event.
    ReadLog {
        /// The first offset to read.
        from: Offset,
    },
    /// Writes a checkpoint unless another node has written or is writing one.
    WriteCheckpoint(Vec<StateChunk>),
    /// Sends a frame to a peer.
    Send {
        /// The link.
        link: LinkId,
        /// The frame.
        frame: ConfigurationFrame,
    },
    /// Writes a log line for operators.
    Log(Box<ConfigurationLogLine>),
    /// Notifies the rest of the process.
    Notify(ConfigurationUpdate),
    /// Publishes the status of the configuration for operators.
    Status(Box<ConfigurationStatus>),
}

/// A notification of the configuration for the rest of the process.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationUpdate {
    /// A complete configuration is active.
    Configured {
        /// Offset of the last record that it includes.
        offset: Offset,
        /// The configuration.
        configuration: Arc<Configuration>,
    },
    /// The node lacks accepted changes.
    Incomplete,
}

/// A log line on a change of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationLogLine {
    /// A record was applied.
    Applied {
        /// Offset of the record.
        offset: Offset,
        /// Kind of the object.
        kind: KindName,
        /// Name of the object.
        name: ObjectName,
        /// Result of applying it.
        verdict: Verdict,
    },
    /// The body of an accepted record can't be parsed; this node doesn't use the
    /// object.
    Unreadable {
        /// Offset of the record.
        offset: Offset,
        /// The fault, with the kind and name of the record.
        reason: String,
    },
    /// A log record isn't a configuration record.
    Malformed {
        /// Offset of the record.
        offset: Offset,
        /// The fault.
        reason: String,
    },
    /// State from a peer or a checkpoint was merged.
    Merged {
        /// Offset that the node held before.
        from: Offset,
        /// Offset that the node holds now.
        through: Offset,
        /// Whether the digest of the merged state differs from the sender's.
        diverged: bool,
    },
    /// The log has dropped records that the node doesn't hold.
    Gap {
        /// Offset that the node holds.
        held: Offset,
        /// Offset that it must hold before it can read on from the log.
        needed: Offset,
    },
    /// The log ends below the offset that the node holds; the node keeps its
    /// state.
    LogBehind {
        /// Offset that the node holds.
        held: Offset,
        /// Offset of the log's last record.
        last: Offset,
    },
    /// A peer holds a different state at the same offset.
    Diverged {
        /// The link to the peer.
        link: LinkId,
        /// Offset that both nodes hold.
        offset: Offset,
    },
}

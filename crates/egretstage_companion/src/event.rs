//! Events and effects of the companion's reducer.

use compact_str::CompactString;
use egretstage_config::{Configuration, Offset};
use egretstage_link::LinkKey;
use egretstage_observe::WorkStatus;
use egretstage_once::OwnersRecord;
use egretstage_platform::LogPage;
use egretstage_wire::{Frame, Hello, RequestId, StreamId};
use serde::Serialize;
use slotmap::new_key_type;
use std::sync::Arc;
use std::time::Instant;

new_key_type! {
    /// Identifies a run in a companion's arena.
    pub struct RunKey;
}

/// An input of the companion's reducer.
#[derive(Clone, Debug)]
pub enum CompanionEvent {
    /// A link from an entry is open.
    LinkUp {
        /// The link.
        link: LinkKey,
        /// The entry's hello frame.
        hello: Box<Hello>,
    },
    /// The configuration has changed.
    ConfigurationChanged {
        /// Offset of the last record that the configuration includes.
        offset: Offset,
        /// The active configuration.
        configuration: Arc<Configuration>,
    },
    /// A link has ended.
    LinkDown {
        /// The link.
        link: LinkKey,
    },
    /// A frame has arrived.
    Frame {
        /// The link.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// The upstream has sent the head of its answer.
    UpstreamHead {
        /// The run.
        run: RunKey,
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: Option<CompactString>,
    },
    /// The upstream has sent a part of the answer's body.
    UpstreamBytes {
        /// The run.
        run: RunKey,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The upstream's answer is complete.
    UpstreamEnded {
        /// The run.
        run: RunKey,
    },
    /// The request to the upstream failed.
    UpstreamFailed {
        /// The run.
        run: RunKey,
        /// What went wrong.
        failure: UpstreamFailure,
    },
    /// A page of the service's owners stream was read.
    OwnersRead {
        /// When the read was requested.
        requested_at: Instant,
        /// The page.
        page: Box<LogPage>,
    },
    /// An append to the owners stream has succeeded or failed.
    OwnersAppendEnded {
        /// Whether the record is known to be on the log; if not, it may still be
        /// there.
        appended: bool,
    },
    /// The process is asked to stop once its calls have ended.
    Stop,
}

/// How a request to the upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFailure {
    /// Nothing of the request was written, so it did not run.
    NotSent,
    /// The start deadline passed before anything was written, so it did not run.
    TooLate,
    /// The connection broke: the request may have run.
    Broken,
}

/// An output of the companion's reducer, executed by the process.
#[derive(Clone, Debug, PartialEq)]
pub enum CompanionEffect {
    /// Sends a frame to an entry.
    Send {
        /// The link.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// Closes a link.
    Close(LinkKey),
    /// Sends a request to the upstream.
    StartUpstream {
        /// The run.
        run: RunKey,
        /// The request.
        req: Box<UpstreamRequest>,
    },
    /// Allows more chunks of the upstream's answer to be read.
    ReadUpstream {
        /// The run.
        run: RunKey,
        /// Number of additional chunks.
        chunks: u32,
    },
    /// Aborts a request to the upstream.
    CancelUpstream(RunKey),
    /// Appends a record to the service's owners stream.
    AppendOwners(Box<OwnersRecord>),
    /// Logs a decision.
    Log(Box<DecisionLine>),
    /// Sets whether the companion reports itself as ready for new calls.
    SetReady(bool),
    /// Publishes the companion's state on the status page.
    PublishStatus(Box<WorkStatus>),
    /// Ends the process.
    Exit,
}

/// A request for the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRequest {
    /// Identifies the request in log lines and to the upstream.
    pub request: RequestId,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Instant from which the request may no longer be started.
    pub not_after: Instant,
    /// HTTP method.
    pub method: CompactString,
    /// HTTP path and query.
    pub path: CompactString,
    /// Media type of the body.
    pub content_type: Option<CompactString>,
    /// The caller's idempotency key.
    pub key: Option<CompactString>,
    /// Priority; larger values go first.
    pub priority: u8,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// A decision on a call, as logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DecisionLine {
    /// The request.
    pub request: RequestId,
    /// Identifies the call on the link.
    pub stream: StreamId,
    /// What was decided.
    pub decision: CallDecision,
    /// Number of calls that the upstream runs.
    pub running: usize,
    /// Number of calls that wait for a slot.
    pub waiting: usize,
    /// Budget that the call arrived with, in milliseconds.
    pub budget_ms: u64,
}

/// What a companion does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallDecision {
    /// Sent to the upstream.
    Start,
    /// Queued until a slot is free.
    Wait,
    /// Answered by the existing run of its idempotency key.
    Join,
    /// Refused because of its idempotency key, for example because the companion
    /// doesn't own the key or can't confirm that it does.
    RefuseKey,
    /// Refused because the companion is stopping.
    RefuseLeaving,
    /// Refused because it can't finish within its budget.
    RefuseLate,
    /// Given up: its budget has ended or is too short for it to finish, its
    /// caller is gone, or the key was lost to another owner while it waited.
    Expire,
}

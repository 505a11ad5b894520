//! What happens to a companion and what it does.

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
    /// Key of a run in a companion's arena.
    pub struct RunKey;
}

/// What can happen to a companion.
#[derive(Clone, Debug)]
pub enum CompanionEvent {
    /// A link from an entry is open.
    LinkUp {
        /// The link.
        link: LinkKey,
        /// What the entry says of itself.
        hello: Box<Hello>,
    },
    /// The configuration has changed.
    Configured {
        /// Offset of the last record folded.
        offset: Offset,
        /// The configuration in force.
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
    /// The upstream has answered with a status.
    UpstreamHead {
        /// The run.
        run: RunKey,
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: Option<CompactString>,
    },
    /// The upstream has sent bytes of its answer.
    UpstreamBytes {
        /// The run.
        run: RunKey,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The upstream's answer is whole.
    UpstreamEnded {
        /// The run.
        run: RunKey,
    },
    /// The upstream's answer won't come.
    UpstreamFailed {
        /// The run.
        run: RunKey,
        /// What went wrong.
        failure: UpstreamFailure,
    },
    /// A page of the service's owners stream was read.
    OwnersRead {
        /// When the read was asked for.
        requested_at: Instant,
        /// The page.
        page: Box<LogPage>,
    },
    /// An append to the owners stream was answered or failed.
    OwnersAppendEnded {
        /// Whether the record is known to be on the log.
        appended: bool,
    },
    /// The process shall stop after the runs that it has.
    Stop,
}

/// How a request to the upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFailure {
    /// No connection was made: the request did not run.
    NotSent,
    /// The time to start had passed before anything was sent.
    TooLate,
    /// The connection broke: the request may have run.
    Broken,
}

/// What a companion does.
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
    /// Lets more chunks of the upstream's answer in.
    ReadUpstream {
        /// The run.
        run: RunKey,
        /// How many.
        chunks: u32,
    },
    /// Breaks off a request to the upstream.
    CancelUpstream(RunKey),
    /// Appends a record to the service's owners stream.
    Append(Box<OwnersRecord>),
    /// Writes the log line of a decision.
    Log(Box<DecisionLine>),
    /// Says whether the companion takes new work.
    Ready(bool),
    /// Shows the state of the companion to operators.
    Status(Box<WorkStatus>),
    /// Ends the process: nothing runs any more.
    Exit,
}

/// A request for the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRequest {
    /// The request's identity in log lines.
    pub request: RequestId,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Instant after which the request must not be started.
    pub not_after: Instant,
    /// HTTP method.
    pub method: CompactString,
    /// HTTP path and query.
    pub path: CompactString,
    /// Media type of the body.
    pub content_type: Option<CompactString>,
    /// The caller's idempotency key.
    pub key: Option<CompactString>,
    /// Priority; a larger one goes first.
    pub priority: u8,
    /// Body.
    pub body: Vec<u8>,
}

/// The log line of a companion's decision on a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DecisionLine {
    /// The request.
    pub request: RequestId,
    /// The call's identity on the link.
    pub stream: StreamId,
    /// What was decided.
    pub decision: CallDecision,
    /// Calls that run.
    pub running: usize,
    /// Calls that wait.
    pub waiting: usize,
    /// Remaining budget in milliseconds.
    pub budget_ms: u64,
}

/// What a companion decided on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallDecision {
    /// It goes to the upstream now.
    Start,
    /// It waits for a slot.
    Wait,
    /// It is answered by the run of its key.
    Join,
    /// It is refused: its key is in doubt or belongs to another owner.
    RefuseKey,
    /// It is refused: the companion is leaving.
    RefuseLeaving,
    /// It is refused: it can't finish within its budget.
    RefuseLate,
    /// Its budget ended while it waited.
    Expire,
}

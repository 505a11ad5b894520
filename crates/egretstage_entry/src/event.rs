//! What happens to an entry and what it does.

use crate::CallRequest;
use compact_str::CompactString;
use egretstage_config::{Configuration, Offset};
use egretstage_link::LinkKey;
use egretstage_observe::WorkStatus;
use egretstage_once::OwnersRecord;
use egretstage_platform::ListedInstance;
use egretstage_routing::{Candidate, Prediction, RouteReason};
use egretstage_wire::{
    Frame, Hello, InstanceId, NotRunReason, OrganisationName, RequestId, ServiceName, StreamId,
    UnknownReason,
};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a caller's request within an entry; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallKey(pub u64);

/// What can happen to an entry.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller's request has arrived whole and is well-formed.
    RequestArrived(Box<CallRequest>),
    /// A caller has read chunks of its answer.
    CallerRead {
        /// The request.
        call: CallKey,
        /// How many chunks.
        chunks: u32,
    },
    /// A caller hung up before its answer ended.
    CallerGone(CallKey),
    /// The instance list was read.
    InstancesListed(Vec<ListedInstance>),
    /// The configuration has changed.
    ConfigurationChanged {
        /// Offset of the last record folded.
        offset: Offset,
        /// The configuration in force.
        configuration: Arc<Configuration>,
    },
    /// The entry holds less configuration than what was accepted.
    ConfigurationIncomplete,
    /// A link to a companion is open.
    LinkUp {
        /// The link.
        link: LinkKey,
        /// What the companion says of itself.
        hello: Box<Hello>,
    },
    /// A link has ended.
    LinkDown {
        /// The link.
        link: LinkKey,
    },
    /// An attempt to open a link failed.
    DialFailed {
        /// The companion.
        instance: InstanceId,
    },
    /// A frame has arrived.
    Frame {
        /// The link.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// The process shall stop after the calls that run.
    Stop,
}

/// What an entry does.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEffect {
    /// Passes a part of an answer to a caller.
    Answer {
        /// The request.
        call: CallKey,
        /// The part.
        part: AnswerPart,
    },
    /// Sends a frame to a companion.
    Send {
        /// The link.
        link: LinkKey,
        /// The frame.
        frame: Frame,
    },
    /// Opens a link to a companion.
    Dial {
        /// The companion.
        instance: InstanceId,
        /// Its address.
        address: SocketAddr,
    },
    /// Closes a link.
    Close(LinkKey),
    /// Writes the log line of a decision.
    LogDecision(Box<DecisionLine>),
    /// Appends a record to a service's owners stream.
    AppendOwners {
        /// The service.
        service: ServiceName,
        /// The record.
        record: Box<OwnersRecord>,
    },
    /// Says whether the entry takes new work.
    SetReady(bool),
    /// Shows the state of the entry to operators.
    PublishStatus(Box<WorkStatus>),
    /// Accepts no more connections; the process ends with the last one.
    StopListening,
}

/// A part of an answer; `End`, `Cut` and `Refused` are final.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart {
    /// Status and media type.
    Head {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: Option<CompactString>,
    },
    /// Bytes of the body.
    Bytes(Vec<u8>),
    /// The answer is whole.
    End,
    /// The answer is lost in the middle; the connection is aborted.
    Cut,
    /// The request has no answer from an upstream.
    Refused(Refusal),
}

/// Why a request has no answer from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What became of the request.
    pub kind: RefusalKind,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// What became of a request without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// The bearer token belongs to no organisation.
    UnknownToken,
    /// No such service or model is configured.
    UnknownService,
    /// It was proved not to have run.
    NotRun(NotRunReason),
    /// It may or may not have run.
    Unknown(UnknownReason),
}

/// The log line of a routing decision.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DecisionLine {
    /// The request.
    pub request: RequestId,
    /// The caller's organisation.
    pub organisation: OrganisationName,
    /// The service.
    pub service: ServiceName,
    /// The placement rule that applied.
    pub rule: Option<CompactString>,
    /// The call's identity on the link, when it was sent.
    pub stream: Option<StreamId>,
    /// The companion chosen.
    pub chosen: Option<InstanceId>,
    /// Why it was chosen.
    pub reason: Option<RouteReason>,
    /// Why the request was refused.
    pub refused: Option<NotRunReason>,
    /// The candidates with their figures, the chosen one first; those beyond
    /// the first sixteen are left out.
    pub candidates: Vec<CandidateLine>,
}

/// The figures of one candidate in a log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CandidateLine {
    /// The companion.
    pub instance: InstanceId,
    /// Its figures.
    #[serde(flatten)]
    pub metrics: Candidate,
    /// When it would answer.
    pub predicted: Prediction,
}

//! Events and effects of the entry's reducer.

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

/// An input of the entry's reducer.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller's request has arrived completely and is valid.
    RequestArrived(Box<CallRequest>),
    /// A caller has read chunks of its answer.
    CallerRead {
        /// The request.
        call: CallKey,
        /// Number of chunks read since the last event.
        chunks: u32,
    },
    /// A caller disconnected before its answer ended.
    CallerGone(CallKey),
    /// The instance list was read.
    InstancesListed(Vec<ListedInstance>),
    /// The configuration has changed.
    ConfigurationChanged {
        /// Offset of the last record that the configuration includes.
        offset: Offset,
        /// The active configuration.
        configuration: Arc<Configuration>,
    },
    /// The entry's copy of the configuration lacks accepted records.
    ConfigurationIncomplete,
    /// A link to a companion is open.
    LinkUp {
        /// The link.
        link: LinkKey,
        /// The companion's hello frame.
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
    /// The process is asked to stop once its calls have ended.
    Stop,
}

/// An output of the entry's reducer, executed by the process.
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
    /// Writes the log line of a routing decision.
    Log(Box<DecisionLine>),
    /// Appends a record to a service's owners stream.
    AppendOwners {
        /// The service.
        service: ServiceName,
        /// The record.
        record: Box<OwnersRecord>,
    },
    /// Sets whether the entry reports itself as ready for new calls.
    SetReady(bool),
    /// Publishes the entry's state on the status page.
    PublishStatus(Box<WorkStatus>),
    /// Stops accepting connections; the process ends with the last open one.
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
    /// The answer is complete.
    End,
    /// The rest of the answer is lost; the connection is aborted.
    Cut,
    /// The request has no answer from an upstream.
    Refused(Refusal),
}

/// Why a request has no answer from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub kind: RefusalKind,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
}

/// The cause of a refusal, with what is known about whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// The bearer token belongs to no organisation.
    UnknownToken,
    /// No such service or model is configured.
    UnknownService,
    /// It certainly didn't run.
    NotRun(NotRunReason),
    /// It isn't known whether it ran.
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
    /// The call's stream on the link, if it was sent.
    pub stream: Option<StreamId>,
    /// The chosen companion.
    pub chosen: Option<InstanceId>,
    /// Why it was chosen.
    pub reason: Option<RouteReason>,
    /// Why the request was refused.
    pub refused: Option<NotRunReason>,
    /// The candidates with their metrics, the chosen one first; at most
    /// sixteen are logged.
    pub candidates: Vec<CandidateLine>,
}

/// The metrics of one candidate in a log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CandidateLine {
    /// The companion.
    pub instance: InstanceId,
    /// Its metrics as the routing policy compared them.
    #[serde(flatten)]
    pub metrics: Candidate,
    /// The predicted times of its answer.
    pub predicted: Prediction,
}

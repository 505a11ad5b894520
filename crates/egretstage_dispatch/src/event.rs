//! What happens to a dispatcher and what it does.

use crate::{
    CallHead, CallKey, DecisionLine, ListedUpstream, LoadReport, RoutingTable, UpstreamKey,
};
use egretstage_wire::{InstanceId, OrganisationName};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;

/// What can happen to a dispatcher.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// A caller's request has arrived whole.
    Arrived {
        /// The call.
        call: CallKey,
        /// What it asks for.
        head: Box<CallHead>,
    },
    /// The caller hung up, or its answer was passed on to the end.
    Ended {
        /// The call.
        call: CallKey,
        /// Whether the answer was whole.
        whole: bool,
    },
    /// The first byte of an answer's body, or its first event, has arrived.
    FirstByte {
        /// The call.
        call: CallKey,
    },
    /// A pause between two events of a stream.
    Pause {
        /// The call.
        call: CallKey,
        /// How long.
        pause: Duration,
    },
    /// A stream has shown no event for long.
    Silent {
        /// The call.
        call: CallKey,
    },
    /// An attempt ended without an answer that was passed on.
    AttemptEnded {
        /// The call.
        call: CallKey,
        /// How.
        end: AttemptEnd,
    },
    /// An upstream's answer said something of the upstream itself.
    SignalReceived {
        /// The upstream.
        upstream: UpstreamKey,
        /// What.
        signal: UpstreamSignal,
    },
    /// A configuration was read.
    Configured(Arc<RoutingTable>),
    /// An upstream was listed, for the first time or anew.
    Listed(Box<ListedUpstream>),
    /// An upstream is no longer listed.
    Unlisted(InstanceId),
    /// Another entry told its load.
    PeerReported(Box<LoadReport>),
    /// The process shall stop after the calls that run.
    Stop,
}

/// What an upstream says of itself in an answer to any call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamSignal {
    /// It leaves, whatever its record says.
    Leaving,
    /// It wants no calls from this entry for so long.
    BackOff(Duration),
}

/// How an attempt ended that gave no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request was written.
    NotSent {
        /// Why.
        cause: NotRunCause,
    },
    /// The upstream proved that it didn't run the request.
    NotRun {
        /// Why.
        cause: NotRunCause,
    },
    /// The request may have run; the answer is missing or can't be used.
    Unknown {
        /// Why.
        cause: UnknownCause,
    },
    /// The upstream answered with an error of its own.
    Failure {
        /// HTTP status.
        status: u16,
    },
}

impl AttemptEnd {
    /// Returns why, as it is logged.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotSent { cause } | Self::NotRun { cause } => cause.into(),
            Self::Unknown { cause } => cause.into(),
            Self::Failure { .. } => "failure",
        }
    }
}

/// Why a request didn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunCause {
    /// No connection to the upstream could be opened.
    NoConnection,
    /// The connection was closed before anything was written.
    ConnectionClosed,
    /// The upstream has no room.
    Full,
    /// Another upstream answers at the address.
    OtherUpstream,
}

/// Why it isn't known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum UnknownCause {
    /// The connection ended before the answer was whole.
    ConnectionLost,
    /// The answer belongs to another request or isn't the upstream's.
    ForeignAnswer,
    /// The upstream was silent for too long.
    Silent,
}

/// One sending of a call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its name: another upstream at the address must not run the call.
    pub instance: InstanceId,
    /// Where it is called.
    pub address: SocketAddr,
    /// When the upstream must have answered.
    pub expires: Instant,
    /// The organisation that the caller belongs to.
    pub organisation: Option<OrganisationName>,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// Whether the answer may be replaced by that of another upstream.
    pub repeatable: bool,
    /// How often the call was sent, this time included.
    pub number: u32,
}

/// What a dispatcher does.
#[derive(Clone, Debug)]
pub enum DispatchEffect {
    /// Sends a call to an upstream.
    Send {
        /// The call.
        call: CallKey,
        /// Where and how.
        attempt: Box<Attempt>,
    },
    /// Answers a call without an upstream, or ends an answer that has begun.
    Refuse {
        /// The call.
        call: CallKey,
        /// What the caller is told.
        refusal: Refusal,
    },
    /// Takes a silent stream from its upstream.
    Abandon {
        /// The call.
        call: CallKey,
    },
    /// Passes on the error answer that the last attempt brought.
    PassOn {
        /// The call.
        call: CallKey,
    },
    /// Writes the log line of a decision.
    Log(Box<DecisionLine>),
    /// Tells the other entries this one's load.
    Report(Box<LoadReport>),
    /// Says whether the entry takes new work.
    Ready(bool),
    /// Callers' limits and connection limits of upstreams have changed.
    Configured(Arc<RoutingTable>),
    /// An upstream is gone or leaves: no connection to it is kept.
    CloseIdle(InstanceId),
    /// Asks callers to open no more requests on their connections.
    CloseConnections,
    /// All calls have ended after a stop.
    Stopped,
}

/// What a caller is told instead of an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What became of the call.
    pub kind: RefusalKind,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// What became of a call without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalKind {
    /// The entry knows no configuration.
    Unready,
    /// No route leads to the host and path.
    NoRoute,
    /// The API key belongs to no organisation.
    UnknownKey,
    /// There is no room; the call didn't run and never will.
    NoRoom,
    /// No upstream could be reached; the call didn't run and never will.
    NoUpstream,
    /// The time is up; the call didn't run and never will.
    ExpiredNotRun,
    /// The entry stops; the call didn't run and never will.
    Stopping,
    /// The time is up; the call may have run.
    ExpiredUnknown,
    /// The answer is lost; the call may have run.
    Unknown,
}

impl RefusalKind {
    /// Returns the HTTP status that promises no more than is known.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Unready
            | Self::NoRoom
            | Self::NoUpstream
            | Self::ExpiredNotRun
            | Self::Stopping => 503,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::ExpiredUnknown => 504,
            Self::Unknown => 502,
        }
    }
}

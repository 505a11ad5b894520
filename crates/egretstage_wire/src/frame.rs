//! The frames on a link between an entry and a companion.

use crate::{
    ConfigurationFrame, GroupFrame, Incarnation, InstanceId, KeyClaim, LoadReport,
    OrganisationName, Outcome, OwnersView, RequestId, ServiceName, StreamId, ZoneName,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Version of the frames; peers of another version are refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// One message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, IntoStaticStr)]
pub enum Frame {
    /// Opens a link; the first frame of each side.
    Hello(Hello),
    /// Entry to companion: starts a call.
    Start(Box<CallStart>),
    /// Entry to companion: the caller gave up, or the entry no longer needs it.
    Cancel(StreamId),
    /// Entry to companion: the caller has read this many more chunks.
    Credit {
        /// The call.
        stream: StreamId,
        /// How many more chunks may be sent.
        chunks: u32,
    },
    /// Entry to companion: asks for the answer again from an offset.
    Resume {
        /// The call.
        stream: StreamId,
        /// Bytes of the body that have arrived.
        offset: u64,
        /// Chunks that may be sent from there on.
        credit: u32,
    },
    /// Companion to entry: the status and headers of an answer.
    Head(AnswerHead),
    /// Companion to entry: the next bytes of an answer.
    Chunk(Chunk),
    /// Companion to entry: the terminal frame, which alone ends an answer.
    End(StreamEnd),
    /// Companion to entry: the load of the upstream.
    Load(#[serde(with = "crate::load::compact")] LoadReport),
    /// Companion to entry: no new work may be sent on this link.
    Leaving,
    /// Entry to companion: the last [`Frame::Start`] on this link went before.
    LeavingNoted,
    /// Between companions of one model group.
    Group(Box<GroupFrame>),
    /// Either way: the relay of the configuration.
    Configuration(ConfigurationFrame),
    /// Companion to entry: who owns the keys of the companion's service.
    Owners(OwnersView),
    /// Companion to entry: the call was not run here; a former owner of its
    /// key may remember the answer.
    AskFormerOwner {
        /// The call.
        stream: StreamId,
        /// The former owner.
        instance: InstanceId,
    },
}

/// What a process says of itself when a link opens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub version: u16,
    /// The sender's role.
    pub role: Role,
    /// The sender's instance.
    pub instance: InstanceId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's zone.
    pub zone: ZoneName,
    /// The service behind a companion.
    pub service: Option<ServiceName>,
}

/// The role of a process.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Sends work to the upstream beside it.
    Companion,
}

/// The protocol that a call speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A chat completion of a model group.
    Chat,
    /// A call of a plain service.
    Plain,
}

/// A call with all that the companion needs to run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallStart {
    /// The call's identity.
    pub stream: StreamId,
    /// The request's identity in log lines.
    pub request: RequestId,
    /// The caller's organisation.
    pub organisation: OrganisationName,
    /// The service that the call is for.
    pub service: ServiceName,
    /// The protocol of the call.
    pub kind: CallKind,
    /// The caller's idempotency key.
    pub key: Option<CompactString>,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// The receiver's ownership of the key, for a call that has one and may
    /// not be repeated.
    pub claim: Option<KeyClaim>,
    /// Remaining budget in milliseconds when the frame was sent.
    pub budget_ms: u64,
    /// The entry's own clock when the frame was sent, in milliseconds.
    pub sent_ms: u64,
    /// Priority; a larger one goes first.
    pub priority: u8,
    /// The work that the call is expected to be, and whose share it takes.
    #[serde(default)]
    pub work: CallWork,
    /// HTTP method.
    pub method: CompactString,
    /// HTTP path and query at the upstream.
    pub path: CompactString,
    /// Media type of the body.
    pub content_type: Option<CompactString>,
    /// Chunks that may be sent before the first [`Frame::Credit`].
    pub credit: u32,
    /// The request's body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Weight of an organisation that has no other, in thousandths.
pub const DEFAULT_WEIGHT_MILLI: u32 = 1000;

/// The work that a call is expected to be, and whose share it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallWork {
    /// Prompt tokens that are probably not cached, 0 for a plain call.
    pub prefill_tokens: u32,
    /// Tokens that the answer is unlikely to exceed, 0 for a plain call.
    pub output_tokens: u32,
    /// Weight of the organisation, in thousandths.
    pub weight_milli: u32,
}

impl Default for CallWork {
    fn default() -> Self {
        Self {
            prefill_tokens: 0,
            output_tokens: 0,
            weight_milli: DEFAULT_WEIGHT_MILLI,
        }
    }
}

/// The status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// The call.
    pub stream: StreamId,
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<CompactString>,
}

/// Some bytes of an answer's body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The call.
    pub stream: StreamId,
    /// Position of the first byte in the body.
    pub offset: u64,
    /// The bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// The end of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEnd {
    /// The call.
    pub stream: StreamId,
    /// What became of it.
    pub outcome: Outcome,
    /// Length of the whole body in bytes.
    pub body_bytes: u64,
}

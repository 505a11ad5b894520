//! Frames that are sent on links between the system's processes.

use crate::{
    ConfigurationFrame, GroupFrame, Incarnation, InstanceId, KeyClaim, LoadReport,
    OrganisationName, Outcome, OwnersView, RequestId, ServiceName, StreamId, ZoneName,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Version of the frame protocol; peers with another version are refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// One message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, IntoStaticStr)]
pub enum Frame {
    /// Opens a link; the first frame of each side.
    Hello(Hello),
    /// Entry to companion: starts a call.
    Start(Box<CallStart>),
    /// Entry to companion: cancels a call, because the caller gave up or the entry
    /// no longer needs it.
    Cancel(StreamId),
    /// Entry to companion: permits more chunks, because the caller has read some.
    Credit {
        /// The call.
        stream: StreamId,
        /// Number of further chunks that may be sent.
        chunks: u32,
    },
    /// Entry to companion: requests that the answer be sent again from an offset.
    Resume {
        /// The call.
        stream: StreamId,
        /// Length of the part of the body that has arrived, in bytes.
        offset: u64,
        /// Chunks that may be sent from that offset on.
        credit: u32,
    },
    /// Companion to entry: the status and headers of an answer.
    Head(AnswerHead),
    /// Companion to entry: the next bytes of an answer.
    Chunk(Chunk),
    /// Companion to entry: ends an answer; no other frame does.
    End(StreamEnd),
    /// Companion to entry: the load of the upstream.
    Load(#[serde(with = "crate::load::compact")] LoadReport),
    /// Companion to entry: no new work may be sent on this link.
    Leaving,
    /// Entry to companion: acknowledges [`Frame::Leaving`]; no [`Frame::Start`]
    /// follows on this link.
    LeavingNoted,
    /// Between the companions of one model group.
    Group(Box<GroupFrame>),
    /// In either direction: relays the configuration.
    Configuration(ConfigurationFrame),
    /// Companion to entry: the owners of the keys of the companion's service.
    Owners(OwnersView),
    /// Companion to entry: the call didn't run here; a former owner of its key
    /// may remember the answer.
    AskFormerOwner {
        /// The call.
        stream: StreamId,
        /// The former owner.
        instance: InstanceId,
    },
}

/// Identity of a process, sent when a link opens.
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
    /// The service of a companion's upstream.
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

/// The protocol of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A chat completion of a model group.
    Chat,
    /// A call of a plain service.
    Plain,
}

/// A call with everything that the companion needs to run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallStart {
    /// ID of the call.
    pub stream: StreamId,
    /// ID of the request in log lines.
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
    /// The receiver's ownership of the key, for a call that has a key and may
    /// not be repeated.
    pub claim: Option<KeyClaim>,
    /// Remaining budget in milliseconds when the frame was sent.
    pub budget_ms: u64,
    /// The entry's clock when the frame was sent, in milliseconds since an instant
    /// that the entry chooses.
    pub sent_ms: u64,
    /// Priority among the calls of the organisation; a larger one is served first.
    pub priority: u8,
    /// Expected work of the call and weight of its organisation.
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

/// Weight of an organisation for which none is configured, in thousandths.
pub const DEFAULT_WEIGHT_MILLI: u32 = 1000;

/// Expected work of a call and weight of the organisation whose share it uses.
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
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Length of the whole body in bytes.
    pub body_bytes: u64,
}

//! Messages between the system's own processes and their CBOR codec.
//!
//! An entry and a companion are connected by one WebSocket. Each binary message
//! holds one [`Frame`]. The first frame of each side is a [`Hello`] with the
//! protocol version; a peer with another version is refused.

mod codec;
mod configuration;
mod frame;
mod group;
mod load;
mod names;
mod outcome;
mod owners;
mod slow_ranks;
mod stream;

pub use codec::{CodecError, MAX_FRAME_BYTES, decode, encode};
pub use configuration::{
    ConfigurationFrame, Envelope, ObjectState, Offset, SeenChange, StateChunk, StateDigest,
};
pub use frame::{
    AnswerHead, CallKind, CallStart, CallWork, Chunk, DEFAULT_WEIGHT_MILLI, Frame, Hello,
    PROTOCOL_VERSION, Role, StreamEnd,
};
pub use group::{
    EngineBoot, EngineOrder, Fence, Generation, Grant, GroupFrame, MapVersion, OrderAction,
    RankIndex, RankState, Segment, Step, VersionedMap,
};
pub use load::LoadReport;
pub use names::{
    ChangeId, InstanceId, InvalidName, KindName, MAX_NAME_BYTES, ModelName, ObjectName,
    OrganisationName, RequestId, ServiceName, ZoneName,
};
pub use outcome::{NotRunReason, Outcome, UnknownReason};
pub use owners::{Epoch, KeyClaim, Member, OwnersView};
pub use slow_ranks::{SlowRanks, Slowdown};
pub use stream::{Incarnation, StreamId, StreamIdGenerator};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        AnswerHead, CallKind, CallStart, CallWork, Chunk, Epoch, Frame, Hello, Incarnation,
        InstanceId, KeyClaim, LoadReport, Member, ModelName, NotRunReason, OrganisationName,
        Outcome, OwnersView, RequestId, Role, ServiceName, StreamEnd, StreamId, StreamIdGenerator,
        UnknownReason, ZoneName,
    };
}

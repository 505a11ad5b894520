//! Events and effects of a group member.

use crate::{ClaimRecord, EngineCall, EngineReply, GroupDecision, NoEngineReply, PeerLink};
use egretstage_wire::{GroupFrame, Incarnation, OrderAction, RankIndex};
use std::net::SocketAddr;

/// An entry of the claims stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimEntry {
    /// Offset of the entry.
    pub offset: u64,
    /// The claim, or `None` for an entry that isn't a valid claim.
    pub record: Option<ClaimRecord>,
}

/// An input of a group member.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// A link to another companion was opened.
    LinkUp {
        /// The link.
        link: PeerLink,
        /// Whether this member opened the link.
        dialed: bool,
        /// The peer's incarnation.
        incarnation: Incarnation,
    },
    /// A link was closed or lost.
    LinkDown(PeerLink),
    /// A dial has failed, or the link that it opened has ended.
    DialEnded,
    /// A frame was received.
    Frame {
        /// The link.
        link: PeerLink,
        /// The frame.
        frame: GroupFrame,
    },
    /// The claims stream was read to its current end.
    ClaimsRead {
        /// Oldest offset that the log still holds.
        first: u64,
        /// The entries read, in offset order.
        entries: Vec<ClaimEntry>,
    },
    /// Reading the claims stream failed.
    ClaimsReadFailed,
    /// An append has ended; it may have failed or its effect may be unknown.
    AppendEnded,
    /// The engine call in flight got a reply or has failed.
    EngineCallEnded(Result<EngineReply, NoEngineReply>),
    /// Requests an order to an engine; members that aren't the decider ignore it.
    Order {
        /// The rank.
        rank: RankIndex,
        /// What the rank's engine has to do.
        action: OrderAction,
    },
}

/// An action that a group member requests from its environment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEffect {
    /// Sends a frame.
    Send {
        /// The link.
        link: PeerLink,
        /// The frame.
        frame: GroupFrame,
    },
    /// Closes a link.
    Close(PeerLink),
    /// Opens a link to the holder of the current claim.
    Dial(SocketAddr),
    /// Reads the claims stream, starting at an offset.
    ReadClaims(u64),
    /// Appends a claim.
    AppendClaim(ClaimRecord),
    /// Calls the engine; at most one call is in flight.
    CallEngine(EngineCall),
    /// Logs a decision.
    Log(GroupDecision),
}

//! What happens to a group member and what it does.

use crate::{ClaimRecord, EngineCall, EngineReply, GroupDecision, NoEngineReply, PeerLink};
use egretstage_wire::{GroupFrame, Incarnation, OrderAction, RankIndex};
use std::net::SocketAddr;

/// A record of the claims stream; none for one that isn't a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimEntry {
    /// Its offset.
    pub offset: u64,
    /// The claim.
    pub record: Option<ClaimRecord>,
}

/// What can happen to a group member.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// A link to another companion is open.
    LinkUp {
        /// The link.
        link: PeerLink,
        /// Whether this member opened it.
        dialed: bool,
        /// The peer's incarnation.
        incarnation: Incarnation,
    },
    /// A link has ended.
    LinkDown(PeerLink),
    /// A link that was to be opened has failed or has ended.
    DialEnded,
    /// A frame has arrived.
    Frame {
        /// The link.
        link: PeerLink,
        /// The frame.
        frame: GroupFrame,
    },
    /// The claims stream was read to its present end.
    ClaimsRead {
        /// Oldest offset that the stream holds.
        first: u64,
        /// The records, in the order of their offsets.
        entries: Vec<ClaimEntry>,
    },
    /// The claims stream can't be read.
    ClaimsReadFailed,
    /// An append has ended, with or without a known effect.
    AppendEnded,
    /// The engine call in flight has ended.
    EngineCallEnded(Result<EngineReply, NoEngineReply>),
    /// The decider shall give an order; other members ignore it.
    Order {
        /// The rank.
        rank: RankIndex,
        /// What its engine shall do.
        action: OrderAction,
    },
}

/// What a group member does.
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
    /// Opens a link to the holder of the claim.
    Dial(SocketAddr),
    /// Reads the claims stream from an offset on.
    ReadClaims(u64),
    /// Appends a claim.
    AppendClaim(ClaimRecord),
    /// Calls the engine; one call is in flight at a time.
    CallEngine(EngineCall),
    /// Writes the log line of a decision.
    Log(GroupDecision),
}

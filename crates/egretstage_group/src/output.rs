//! What the parts of a group member ask for.

use crate::{EngineCall, GroupDecision};
use egretstage_wire::GroupFrame;

/// Identifies an open link of the process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerLink(pub u64);

/// The other end of a conversation between decider and rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Peer {
    /// The part in the same process.
    Local,
    /// A part in another process.
    Link(PeerLink),
}

/// What a decider or a rank gate asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Sends a frame to a rank.
    ToRank(Peer, GroupFrame),
    /// Sends a frame to a decider.
    ToDecider(Peer, GroupFrame),
    /// Calls the engine.
    CallEngine(EngineCall),
    /// Writes the log line of a decision.
    Log(GroupDecision),
}

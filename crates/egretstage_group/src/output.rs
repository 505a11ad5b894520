//! Actions that the parts of a group member request.

use crate::{EngineCall, GroupDecision};
use egretstage_wire::GroupFrame;

/// Identifies a link that this process opened or accepted; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerLink(pub u64);

/// The counterpart of a decider or of a rank gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Peer {
    /// The counterpart in the same process.
    Local,
    /// A counterpart in another process, reached over a link.
    Link(PeerLink),
}

/// An action that a decider or a rank gate requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Sends a frame to a rank.
    ToRank(Peer, GroupFrame),
    /// Sends a frame to a decider.
    ToDecider(Peer, GroupFrame),
    /// Calls the engine.
    CallEngine(EngineCall),
    /// Logs a decision.
    Log(GroupDecision),
}

//! Datagrams between the companions of one group.
//!
//! States repeat until they are replaced, and orders until they are answered,
//! so the loss of a datagram does no harm.

use crate::{
    DeciderClaim, EngineReport, ExpertLists, FencedChanges, FencedOrder, OrderEnd, RecentLoads,
};
use egretstage_wire::InstanceId;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;

/// The state of a rank as its companion reports it to the decider.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankState {
    /// The companion.
    pub instance: InstanceId,
    /// Random for each start of the companion.
    pub incarnation: u64,
    /// Sequence number among the states of this start: datagrams may overtake
    /// each other.
    pub number: u64,
    /// Address of the companion.
    pub address: SocketAddr,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// The engine's report.
    pub report: EngineReport,
    /// Fencing number of the decider that the companion followed when it
    /// requested the report. No order of an earlier decider can follow the
    /// report.
    pub follows: u64,
    /// Whether an order to switch that the report doesn't show may still take
    /// effect: it has no answer, or may have been sent before the companion's
    /// start.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub may_be_armed: bool,
    /// Version of the map in use and the experts that the rank holds in it.
    pub lists: Option<(u64, ExpertLists)>,
}

/// The addresses of some ranks, each with the rank's position.
pub type RankAddresses = SmallVec<[(u16, RankAddress); 2]>;

/// The addresses of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankAddress {
    /// Address of the companion.
    pub companion: SocketAddr,
    /// Address of the engine.
    pub engine: SocketAddr,
}

/// A datagram between companions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PassMessage {
    /// Companion to decider: the full state of its rank.
    State(Box<RankState>),
    /// Companion to decider: nothing but the pass has changed since a state.
    Still {
        /// The rank.
        rank: u16,
        /// Random for each start of the companion.
        incarnation: u64,
        /// Sequence number among the states of this start.
        number: u64,
        /// Number of the state that is still current.
        state: u64,
        /// The last pass that began.
        pass: u64,
    },
    /// Decider to companion: requests the full state, because the one that is
    /// still current wasn't received.
    AskState,
    /// Companion to decider: recent expert counts of the rank's requests.
    Counts {
        /// The rank.
        rank: u16,
        /// The counts.
        loads: RecentLoads,
    },
    /// Decider to a companion that doesn't follow it yet: the decider is alive.
    Heartbeat {
        /// The decider's claim.
        claim: Box<DeciderClaim>,
        /// The decider's fencing number.
        fence: u64,
        /// Addresses of some ranks: a successor needs them before it has
        /// received reports of the ranks itself.
        #[serde(rename = "seats")]
        addresses: RankAddresses,
    },
    /// Decider to a companion that follows it: the decider is alive.
    Alive {
        /// The decider's fencing number.
        fence: u64,
        /// Addresses of some ranks.
        #[serde(rename = "seats")]
        addresses: RankAddresses,
    },
    /// Companion to peer: has the decider, which is silent here, reached you?
    Hear {
        /// The decider's fencing number.
        fence: u64,
    },
    /// Answer of a peer that the decider has reached.
    Heard {
        /// The decider's fencing number.
        fence: u64,
        /// Time since the decider's last contact, in milliseconds.
        age_ms: u32,
    },
    /// Decider to companion: an order for its engine.
    Order {
        /// Number of the order, counted by the decider.
        number: u64,
        /// The order.
        order: Box<FencedOrder>,
    },
    /// Decider to companion: an order to prepare a map, given as changes to a
    /// known map.
    Changes {
        /// Number of the order, counted by the decider.
        number: u64,
        /// The order.
        order: Box<FencedChanges>,
    },
    /// Companion to decider: the end of an order.
    OrderDone {
        /// Number of the order, counted by the decider.
        number: u64,
        /// How it ended.
        end: OrderEnd,
        /// Number of the last state sent before the end. States up to this
        /// number are older than the order's effect, even if they arrive later.
        states: u64,
        /// The state of the rank, unless the order was accepted. The effect of
        /// an accepted order is known, and the answer must be quick because the
        /// group may be held until all ranks have answered.
        state: Option<Box<RankState>>,
    },
}

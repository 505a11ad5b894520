//! The datagrams between the companions of one group.
//!
//! States repeat until they are replaced, and orders until they are answered,
//! so a datagram that is lost does no harm.

use crate::{
    DeciderClaim, EngineReport, ExpertLists, FencedChanges, FencedOrder, OrderEnd, RecentLoads,
};
use egretstage_wire::InstanceId;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;

/// What a companion tells the decider of its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankState {
    /// The companion.
    pub instance: InstanceId,
    /// Random for each start of the companion.
    pub incarnation: u64,
    /// Counts the states of this start: datagrams overtake each other.
    pub number: u64,
    /// Where the companion is reached.
    pub address: SocketAddr,
    /// Where the engine is reached.
    pub engine: SocketAddr,
    /// What the engine reports.
    pub report: EngineReport,
    /// Fencing number of the decider that the companion followed when it asked
    /// for the report: no order of an earlier one came after it.
    pub follows: u64,
    /// Whether an order to switch may still take effect that the report doesn't
    /// show: it has no answer, or may be one of before the companion's start.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub may_be_armed: bool,
    /// The experts that the rank holds in the map in use.
    pub lists: Option<(u64, ExpertLists)>,
}

/// Where some ranks are reached, by their positions.
pub type RankAddresses = SmallVec<[(u16, RankAddress); 2]>;

/// Where a rank is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankAddress {
    /// Its companion.
    pub companion: SocketAddr,
    /// Its engine.
    pub engine: SocketAddr,
}

/// A datagram between companions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PassMessage {
    /// Companion to decider: the state of its rank.
    State(Box<RankState>),
    /// Companion to decider: nothing but the pass has changed since a state.
    Still {
        /// The rank.
        rank: u16,
        /// The start of the companion.
        incarnation: u64,
        /// Counts on from the states of this start.
        number: u64,
        /// Number of the state that still holds.
        state: u64,
        /// The last pass that was begun.
        pass: u64,
    },
    /// Decider to companion: the state that still holds was not received.
    AskState,
    /// Companion to decider: what the rank's requests chose of late.
    Counts {
        /// The rank.
        rank: u16,
        /// The choices.
        loads: RecentLoads,
    },
    /// Decider to a companion that doesn't follow it yet: the decider lives.
    Heartbeat {
        /// The decider's claim.
        claim: Box<DeciderClaim>,
        /// The decider's fencing number.
        fence: u64,
        /// Where some ranks are reached: a successor needs them before it has
        /// heard of the ranks itself.
        #[serde(rename = "seats")]
        addresses: RankAddresses,
    },
    /// Decider to a companion that follows it: the decider lives.
    Alive {
        /// The decider's fencing number.
        fence: u64,
        /// Where some ranks are reached.
        #[serde(rename = "seats")]
        addresses: RankAddresses,
    },
    /// Companion to another: is the decider heard that is silent here?
    Hear {
        /// The decider's fencing number.
        fence: u64,
    },
    /// The answer of a companion that hears it.
    Heard {
        /// The decider's fencing number.
        fence: u64,
        /// Time since it was heard, in milliseconds.
        age_ms: u32,
    },
    /// Decider to companion: an order for its engine.
    Order {
        /// The decider's count of orders.
        number: u64,
        /// The order.
        order: Box<FencedOrder>,
    },
    /// Decider to companion: an order to prepare a map, told by its changes.
    Changes {
        /// The decider's count of orders.
        number: u64,
        /// The order.
        order: Box<FencedChanges>,
    },
    /// Companion to decider: the end of an order.
    OrderDone {
        /// The decider's count of orders.
        number: u64,
        /// How it ended.
        end: OrderEnd,
        /// States told before the end: those that arrive later are older.
        states: u64,
        /// The state of the rank, unless the order was accepted: then its
        /// effect is known, and the group may be held until all have answered.
        state: Option<Box<RankState>>,
    },
}

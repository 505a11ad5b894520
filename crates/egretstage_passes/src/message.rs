//! The datagrams between the companions of one group.
//!
//! States repeat until they are replaced, and orders until they are answered,
//! so a datagram that is lost does no harm.

use crate::{
    DeciderClaim, EngineReport, ExpertLists, FencedChanges, FencedOrder, OrderEnd, RecentLoads,
};
use egretstage_wire::InstanceId;
use serde::{Deserialize, Serialize};
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
    /// The experts that the rank holds in the map in use.
    pub lists: Option<(u64, ExpertLists)>,
    /// What the rank's requests chose of late.
    pub recent: Option<RecentLoads>,
}

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
    /// Decider to companion: the decider lives.
    Heartbeat {
        /// The decider's claim.
        claim: Box<DeciderClaim>,
        /// The decider's fencing number.
        fence: u64,
        /// Where the ranks are reached, as far as known: a successor needs
        /// them before it has heard of the ranks itself.
        seats: Vec<Option<RankAddress>>,
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
        /// The state of the rank afterwards.
        state: Option<Box<RankState>>,
    },
}

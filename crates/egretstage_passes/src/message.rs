//! The datagrams between the companions of one group.
//!
//! States repeat until they are replaced, and orders until they are answered,
//! so a datagram that is lost does no harm.

use crate::{EngineReport, ExpertLists, FencedOrder, OrderEnd, RecentLoads};
use compact_str::CompactString;
use egretstage_wire::InstanceId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a companion tells the decider of its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankState {
    /// The companion.
    pub instance: InstanceId,
    /// Where the companion is reached.
    pub address: SocketAddr,
    /// Where the engine is reached.
    pub engine: SocketAddr,
    /// What the engine reports.
    pub report: EngineReport,
    /// The experts that the rank holds in the map in use.
    pub lists: Option<(u64, ExpertLists)>,
    /// What the rank's requests chose of late.
    pub recent: Option<RecentLoads>,
}

/// A datagram between companions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PassMessage {
    /// Companion to decider: the state of its rank.
    State(Box<RankState>),
    /// Decider to companion: the decider lives.
    Heartbeat {
        /// The group.
        group: CompactString,
        /// The decider's fencing number.
        fence: u64,
        /// Where the engines of the ranks are reached, as far as known: a
        /// successor may need them when a companion is gone.
        engines: Vec<Option<SocketAddr>>,
    },
    /// Decider to companion: an order for its engine.
    Order {
        /// The decider's count of orders.
        number: u64,
        /// The order.
        order: Box<FencedOrder>,
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

//! Reports of engines and orders to them.

use crate::{ExpertsByRank, MapChanges};
use compact_str::CompactString;
use egretstage_balance::ExpertId;
use egretstage_wire::Slowdown;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The experts that a rank holds, by layer.
pub type ExpertLists = Vec<Vec<ExpertId>>;

/// Dimensions of a group's expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupShape {
    /// Layers that have their own map.
    pub layers: u16,
    /// Experts of each layer.
    pub experts: u16,
    /// Slots of a rank for experts of one layer.
    pub slots_per_rank: u16,
    /// Experts of one layer that a rank may copy for a new map.
    pub copies_per_layer: u16,
    /// Time that a rank takes to copy one expert of one layer.
    pub copy_time: Duration,
}

/// Report of a rank's engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The group.
    pub group: CompactString,
    /// Number of times that the group was formed.
    pub epoch: u64,
    /// Position of the rank, from 0.
    pub rank: u16,
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Whether the group accepts work.
    pub open: bool,
    /// Number of orders that the engine has accepted since its start. Reads of
    /// its report don't count.
    pub accepted: u64,
    /// The last pass that began.
    pub pass: u64,
    /// Version of the map in use; 0 is the initial map of a group.
    pub map: u64,
    /// Version of the map whose copies are complete.
    pub prepared: Option<u64>,
    /// Version of the map that becomes active at a pass.
    pub armed: Option<u64>,
    /// The pass before which the rank holds the group.
    pub held: Option<u64>,
    /// How much slower than usual the engine is.
    #[serde(default)]
    pub slowdown: Slowdown,
}

/// How often the rank's requests chose each expert since the engine's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCounts {
    /// The epoch of the group.
    pub epoch: u64,
    /// Layer by layer, expert by expert.
    pub counts: Vec<u64>,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PassOrder {
    /// Copies the experts that the rank needs for a map.
    Prepare {
        /// The map's version.
        version: u64,
        /// The experts of each rank, by layer.
        #[serde(with = "crate::packed")]
        layers: ExpertsByRank,
    },
    /// Switches to a prepared map when a pass begins.
    Arm {
        /// The map's version.
        version: u64,
        /// The pass.
        pass: u64,
    },
    /// Cancels an arming.
    Disarm {
        /// The map's version.
        version: u64,
    },
    /// Prevents the group from beginning a pass.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Lets the group begin a held pass.
    Release {
        /// The pass.
        pass: u64,
    },
}

/// An order with the guards against late arrival.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The decider's fencing number.
    pub fence: u64,
    /// The epoch that the order is for.
    pub epoch: u64,
    /// Number of orders that the engine must have accepted before. An order
    /// that arrives after a later one was accepted has no effect.
    pub accepted: u64,
    /// The order itself.
    pub order: PassOrder,
}

/// An order to prepare a map, given as changes to a known map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedChanges {
    /// The decider's fencing number.
    pub fence: u64,
    /// The epoch that the order is for.
    pub epoch: u64,
    /// Number of orders that the engine must have accepted before.
    pub accepted: u64,
    /// The map's version.
    pub version: u64,
    /// The changes.
    pub changes: MapChanges,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OrderEnd {
    /// The order took effect.
    Accepted,
    /// The order doesn't fit the engine's state and has no effect.
    Refused,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// There was no answer: the order may take effect at any time.
    Unanswered,
    /// The companion doesn't know the map that the changes are based on, and
    /// sent no order to the engine.
    UnknownMap,
}

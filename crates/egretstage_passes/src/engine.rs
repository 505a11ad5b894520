//! What an engine reports and what it is ordered to do.

use crate::{ExpertsByRank, MapChanges};
use compact_str::CompactString;
use egretstage_balance::ExpertId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The experts that one rank holds, by layer.
pub type ExpertLists = Vec<Vec<ExpertId>>;

/// Sizes of a group's expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupShape {
    /// Layers with a map of their own.
    pub layers: u16,
    /// Experts of each layer.
    pub experts: u16,
    /// Experts of one layer that a rank has room for.
    pub slots_per_rank: u16,
    /// Experts of one layer that a rank may copy for one map.
    pub copies_per_layer: u16,
    /// Time in which a rank copies one expert of one layer.
    pub copy_time: Duration,
}

/// What the engine of a rank reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The group.
    pub group: CompactString,
    /// Counts the times that the group was formed.
    pub epoch: u64,
    /// Position of the rank, counted from 0.
    pub rank: u16,
    /// Ranks of the group.
    pub ranks: u16,
    /// Whether the group takes work.
    pub open: bool,
    /// Orders that have begun something since the engine's start.
    pub accepted: u64,
    /// The last pass that was begun.
    pub pass: u64,
    /// Version of the map in use; 0 is the one that a group starts with.
    pub map: u64,
    /// Version of the map whose copies are complete.
    pub prepared: Option<u64>,
    /// Version of the map that comes into use at a pass.
    pub armed: Option<u64>,
    /// The pass before which the rank holds the group.
    pub held: Option<u64>,
}

/// How often the rank's requests chose each expert, since the engine's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCounts {
    /// The epoch of the group.
    pub epoch: u64,
    /// Layer by layer, expert by expert.
    pub counts: Vec<u64>,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PassOrder {
    /// Copies the experts that a map needs at the rank.
    Prepare {
        /// The map's version.
        version: u64,
        /// The experts of each rank, by layer.
        #[serde(with = "crate::packed")]
        layers: ExpertsByRank,
    },
    /// Switches to a prepared map as a pass begins.
    Arm {
        /// The map's version.
        version: u64,
        /// The pass.
        pass: u64,
    },
    /// Takes an arming back.
    Disarm {
        /// The map's version.
        version: u64,
    },
    /// Keeps the group from beginning a pass.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Lets the group begin a pass that is held.
    Release {
        /// The pass.
        pass: u64,
    },
}

/// An order with what guards it against being late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The decider's fencing number.
    pub fence: u64,
    /// The epoch for which the order is meant.
    pub epoch: u64,
    /// Orders that the engine must have accepted before: an order that arrives
    /// after a later one was accepted has no effect.
    pub accepted: u64,
    /// What to do.
    pub order: PassOrder,
}

/// An order to prepare a map that is told by its changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedChanges {
    /// The decider's fencing number.
    pub fence: u64,
    /// The epoch for which the order is meant.
    pub epoch: u64,
    /// Orders that the engine must have accepted before.
    pub accepted: u64,
    /// The map's version.
    pub version: u64,
    /// What changes.
    pub changes: MapChanges,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OrderEnd {
    /// It took effect.
    Accepted,
    /// It doesn't fit the engine's state and has no effect.
    Refused,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// No answer came: it may take effect at any time.
    Unanswered,
    /// The companion doesn't know the map that changes were based on; the
    /// engine was ordered nothing.
    UnknownMap,
}

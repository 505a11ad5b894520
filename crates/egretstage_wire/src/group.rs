//! Frames between the companions of one model group.
//!
//! The decider of a group is the companion that holds the valid claim on the
//! log. The companions of all ranks dial the decider and attach to it; it sends
//! its frames to them over these links.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::IntoStaticStr;

/// Fencing number of a claim: the claim's offset on the log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Fence(pub u64);

/// Position of a rank in its group, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RankIndex(pub u16);

/// Number of a step that all ranks of a group run in lockstep; the first is 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Step(pub u64);

/// Identifies one start of a rank's engine; each restart has another value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineBoot(pub u64);

/// A period in which all ranks of a group run steps under one decider.
///
/// A later generation compares greater than an earlier one. A rank that joins
/// a generation never returns to an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Generation {
    /// The decider's fencing number.
    pub fence: Fence,
    /// The decider's counter of generations.
    pub number: u32,
}

/// Identifies an expert map; no two maps of a group share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MapVersion {
    /// Fencing number of the decider that introduced the map.
    pub fence: Fence,
    /// That decider's counter of maps.
    pub number: u32,
}

/// An expert map with its version; this protocol doesn't read its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedMap {
    /// The map's version.
    pub version: MapVersion,
    /// The encoded map.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// A range of steps that use one expert map; both ends are included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Map that the steps use.
    pub map: MapVersion,
    /// First step.
    pub from: Step,
    /// Last step.
    pub through: Step,
}

/// Permission to run steps, with the map for each.
///
/// A grant replaces the earlier grants of its generation. A grant that ends at
/// a lower step than the current one is older and is ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The generation that may run the steps.
    pub generation: Generation,
    /// Adjacent ranges in step order: at most the range before the latest
    /// switch of maps and the range after it.
    pub segments: SmallVec<[Segment; 2]>,
}

/// State that a rank's engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankState {
    /// The start of the engine that reports.
    pub boot: EngineBoot,
    /// The generation that the engine has joined, if any.
    pub generation: Option<Generation>,
    /// The last step that the engine has started.
    pub entered: Step,
    /// Maps that the engine has loaded and can use.
    pub held: SmallVec<[MapVersion; 4]>,
    /// Map of the last step that the engine has started.
    pub active: Option<MapVersion>,
}

/// An order that changes what an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the decider that issued the order.
    pub fence: Fence,
    /// The decider's counter of orders.
    pub number: u32,
    /// The change to make.
    pub action: OrderAction,
}

/// The change that an order makes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Loads a model, an adapter or a version of one.
    Load(compact_str::CompactString),
    /// Changes the engine's role.
    ChangeRole(compact_str::CompactString),
}

/// One message between the companions of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
pub enum GroupFrame {
    /// Rank to decider: attaches the sender as the companion of a rank.
    Attach {
        /// The rank.
        rank: RankIndex,
        /// What the rank's engine reports.
        state: RankState,
    },
    /// Rank to decider: the engine no longer responds, so another companion may
    /// attach as this rank.
    Detach {
        /// The rank.
        rank: RankIndex,
    },
    /// Decider to rank: requests that the engine leave earlier generations and
    /// join this one.
    Join {
        /// The generation.
        generation: Generation,
        /// The map that the decider itself has, if any.
        have: Option<MapVersion>,
    },
    /// Rank to decider: the engine has left all earlier generations.
    Joined {
        /// The generation that the engine has joined.
        generation: Generation,
        /// What the engine reports after it joined.
        state: RankState,
        /// The active map, if the decider doesn't have it.
        map: Option<VersionedMap>,
    },
    /// Decider to rank: requests that the engine load a map for later use.
    Stage {
        /// The generation.
        generation: Generation,
        /// The map.
        map: VersionedMap,
    },
    /// Rank to decider: the engine has loaded the map.
    Staged {
        /// The generation.
        generation: Generation,
        /// The map.
        version: MapVersion,
    },
    /// Decider to rank: permits steps; also serves as a heartbeat.
    Grant(Grant),
    /// Decider to rank: heartbeat while there is no step to grant.
    Heartbeat,
    /// Rank to decider: reports how far the engine has got.
    Progress {
        /// The generation.
        generation: Generation,
        /// The last step that the engine has started.
        entered: Step,
    },
    /// Rank to decider: refuses a frame, because the rank has promised to join a
    /// later generation.
    Refused {
        /// The latest generation that the rank has promised to join.
        promised: Generation,
    },
    /// Decider to rank: forwards an order to the engine.
    Order(EngineOrder),
    /// Rank to decider: the order took effect, or the engine refused it.
    OrderDone {
        /// The order's fencing number.
        fence: Fence,
        /// The order's number.
        number: u32,
        /// Whether the order took effect.
        effective: bool,
    },
}

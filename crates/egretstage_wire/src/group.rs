//! The frames between the companions of one model group.
//!
//! The decider of a group is the companion whose claim on the log holds. Its
//! frames go to the companions of all ranks, which dial it and attach.

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

/// Number of a lock-step step of a group; the first is 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Step(pub u64);

/// Identifies one start of an engine rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineBoot(pub u64);

/// A period in which all ranks of a group step under one decider.
///
/// A later generation orders above an earlier one; a rank leaves a generation
/// for good when it joins a later one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Generation {
    /// The decider's fencing number.
    pub fence: Fence,
    /// The decider's count of generations.
    pub number: u32,
}

/// Identifies an expert map; no two maps of a group share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MapVersion {
    /// Fencing number of the decider that brought the map in.
    pub fence: Fence,
    /// That decider's count of maps.
    pub number: u32,
}

/// An expert map with its version; the content is opaque to this protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedMap {
    /// The map's identity.
    pub version: MapVersion,
    /// The encoded map.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// A range of steps that run with one map, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The map.
    pub map: MapVersion,
    /// First step.
    pub from: Step,
    /// Last step.
    pub through: Step,
}

/// Permission to run steps, each with its map.
///
/// A grant replaces the earlier ones of its generation; one that ends at a
/// lower step is older and is ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The generation that may run the steps.
    pub generation: Generation,
    /// Adjacent ranges in the order of their steps: at most the one before
    /// the latest switch and the one after it.
    pub segments: SmallVec<[Segment; 2]>,
}

/// What an engine rank reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankState {
    /// The engine's start.
    pub boot: EngineBoot,
    /// The generation that it has joined.
    pub generation: Option<Generation>,
    /// The last step that it has begun.
    pub entered: Step,
    /// Maps that it holds, ready for use.
    pub held: SmallVec<[MapVersion; 4]>,
    /// Map of the last step that it has begun.
    pub active: Option<MapVersion>,
}

/// Changes what an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the decider that gave the order.
    pub fence: Fence,
    /// The decider's count of orders.
    pub number: u32,
    /// What to do.
    pub action: OrderAction,
}

/// What an engine is told to do.
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
    /// Rank to decider: a rank takes its place.
    Attach {
        /// The rank.
        rank: RankIndex,
        /// What its engine reports.
        state: RankState,
    },
    /// Rank to decider: the engine no longer answers; another may take the place.
    Detach {
        /// The rank.
        rank: RankIndex,
    },
    /// Decider to rank: leave earlier generations and join this one.
    Join {
        /// The generation.
        generation: Generation,
        /// The map that the decider holds itself.
        have: Option<MapVersion>,
    },
    /// Rank to decider: the engine has left all earlier generations.
    Joined {
        /// The generation that it has joined.
        generation: Generation,
        /// What the engine reports after it joined.
        state: RankState,
        /// The active map, if the decider doesn't hold it.
        map: Option<VersionedMap>,
    },
    /// Decider to rank: hold a map ready.
    Stage {
        /// The generation.
        generation: Generation,
        /// The map.
        map: VersionedMap,
    },
    /// Rank to decider: the map is ready for use.
    Staged {
        /// The generation.
        generation: Generation,
        /// The map.
        version: MapVersion,
    },
    /// Decider to rank: steps that may run; also its heartbeat.
    Grant(Grant),
    /// Decider to rank: a heartbeat while there is nothing to grant.
    Heartbeat,
    /// Rank to decider: how far the engine has come.
    Progress {
        /// The generation.
        generation: Generation,
        /// The last step that the engine has begun.
        entered: Step,
    },
    /// Rank to decider: a later generation has been joined.
    Refused {
        /// The latest generation that the rank has promised to join.
        promised: Generation,
    },
    /// Decider to rank: an order for the engine.
    Order(EngineOrder),
    /// Rank to decider: the order took effect or was refused by the engine.
    OrderDone {
        /// The order's fencing number.
        fence: Fence,
        /// The order's number.
        number: u32,
        /// Whether it took effect.
        effective: bool,
    },
}

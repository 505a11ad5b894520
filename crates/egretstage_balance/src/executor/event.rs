//! What happens to the executor and what it asks for.

use crate::{ExpertMap, Move, RankId};
use std::time::Duration;
use strum::Display;

/// Version of a map that the executor wants committed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MapVersion(pub u64);

/// Identifies one transfer of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TransferId(pub u64);

/// A move in one layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerMove {
    /// Position of the layer.
    pub layer: u16,
    /// The move.
    pub expert_move: Move,
}

/// The plans of all layers, joined.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupPlan {
    /// The map in force.
    pub map: ExpertMap,
    /// Forecast load of each expert, a list for each layer.
    pub loads: Vec<Vec<f64>>,
    /// The moves of all layers, most useful first.
    pub moves: Vec<LayerMove>,
}

/// How a transfer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum TransferResult {
    /// The weights are in place.
    Done,
    /// The store's rate is used up.
    StoreBusy,
    /// It failed, or its answer was lost.
    Failed,
}

/// Why a plan was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DropReason {
    /// The rest of the plan no longer lowers the skew.
    DemandTurned,
    /// A rank of the group is gone.
    RankLost,
    /// A map was not committed.
    CommitRefused,
    /// A newer plan came.
    Superseded,
}

/// What can happen to an executor.
#[derive(Clone, Debug)]
pub enum ExecutorEvent {
    /// A plan is to be carried out.
    Start(Box<GroupPlan>),
    /// The ranks use a map.
    Committed(MapVersion),
    /// A map was not committed; the one before stays in force.
    CommitRefused(MapVersion),
    /// A transfer ended.
    Transferred {
        /// The transfer.
        transfer: TransferId,
        /// How it ended.
        result: TransferResult,
    },
    /// The group's step time was measured.
    StepTime {
        /// The 95th percentile.
        p95: Duration,
        /// The largest that keeps answers on time.
        bound: Duration,
    },
    /// New loads were measured, a list for each layer.
    Demand(Vec<Vec<f64>>),
    /// A rank is gone.
    RankLost(RankId),
}

/// What an executor asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ExecutorEffect {
    /// Commits a map to all ranks.
    Commit {
        /// Its version.
        version: MapVersion,
        /// The map.
        map: Box<ExpertMap>,
    },
    /// Copies an expert's weights to a rank.
    Transfer {
        /// Identifies the answer.
        transfer: TransferId,
        /// The expert and its rank.
        target: LayerMove,
        /// Size in bytes.
        bytes: u64,
    },
    /// The plan was given up; the map committed last stays in force.
    Dropped(DropReason),
    /// All moves of the plan are done.
    Finished,
}

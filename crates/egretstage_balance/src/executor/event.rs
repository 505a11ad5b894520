//! Events and effects of the executor.

use crate::{ExpertMap, Move, RankId};
use std::time::Duration;
use strum::Display;

/// Version of a map that the executor commits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MapVersion(pub u64);

/// Identifies one transfer of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TransferId(pub u64);

/// A move in one layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerMove {
    /// Index of the layer.
    pub layer: u16,
    /// The move within the layer.
    pub expert_move: Move,
}

/// The combined plan of all layers.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupPlan {
    /// The active map.
    pub map: ExpertMap,
    /// Forecast load of each expert, one list per layer.
    pub loads: Vec<Vec<f64>>,
    /// The moves of all layers in order of execution, the most useful first.
    pub moves: Vec<LayerMove>,
}

/// Result of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum TransferResult {
    /// The weights are in place.
    Done,
    /// The weight store refused the transfer because its rate limit is reached.
    StoreBusy,
    /// The transfer failed or its answer was lost.
    Failed,
}

/// Reason for dropping a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DropReason {
    /// The demand changed, so the remaining moves no longer lower the skew.
    DemandTurned,
    /// A rank of the group was lost.
    RankLost,
    /// A map of the plan is invalid or its commit was refused.
    CommitRefused,
    /// A newer plan was submitted.
    Superseded,
}

/// Input of an executor.
#[derive(Clone, Debug)]
pub enum ExecutorEvent {
    /// A plan was submitted for execution.
    Start(Box<GroupPlan>),
    /// The map of this version was committed; all ranks use it.
    Committed(MapVersion),
    /// The commit of a map was refused; the previous map stays active.
    CommitRefused(MapVersion),
    /// A transfer has ended.
    Transferred {
        /// The transfer.
        transfer: TransferId,
        /// Its result.
        result: TransferResult,
    },
    /// The step time of the group was measured.
    StepTime {
        /// 95th percentile of the step time.
        p95: Duration,
        /// Largest step time at which answers meet their deadlines.
        bound: Duration,
    },
    /// New loads were measured: the load of each expert, one list per layer.
    Demand(Vec<Vec<f64>>),
    /// A rank was lost.
    RankLost(RankId),
}

/// Output of an executor.
#[derive(Clone, Debug, PartialEq)]
pub enum ExecutorEffect {
    /// Commit a map on all ranks.
    Commit {
        /// Its version.
        version: MapVersion,
        /// The map.
        map: Box<ExpertMap>,
    },
    /// Copy an expert's weights to a rank.
    Transfer {
        /// Identifies the transfer in its [`ExecutorEvent::Transferred`].
        transfer: TransferId,
        /// The expert, its layer and the receiving rank.
        target: LayerMove,
        /// Size of the weights, in bytes.
        bytes: u64,
    },
    /// The plan was dropped: no further batch starts.
    ///
    /// Transfers in flight continue, and replicas whose weights are in place are
    /// still committed.
    Dropped(DropReason),
    /// The plan is complete; transfers that failed too often were left out.
    Finished,
}

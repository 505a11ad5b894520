//! Events and effects of a rebalancer.

use egretstage_balance::{DropReason, ExpertMap, LayerMove, RankId, TransferId, TransferResult};
use serde::Serialize;
use std::time::Duration;
use strum::Display;

/// Load of each expert of a layer over one interval.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerLoads(pub Vec<f64>);

/// Identifies an offer of a map to the decider.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct OfferId(pub u64);

/// An input of a rebalancer.
#[derive(Clone, Debug)]
pub enum RebalanceEvent {
    /// Expert loads were measured.
    LoadsMeasured {
        /// Time over which the loads were measured.
        interval: Duration,
        /// Loads of each layer.
        layers: Vec<LayerLoads>,
    },
    /// All ranks use the offered map.
    Committed(OfferId),
    /// The offered map won't be used; the previous one stays active.
    Refused(OfferId),
    /// A transfer has ended.
    Transferred {
        /// The transfer.
        transfer: TransferId,
        /// Result of the transfer.
        result: TransferResult,
    },
    /// The group's step time was measured.
    StepTime {
        /// 95th percentile of the step time.
        p95: Duration,
        /// Largest step time at which answers meet their deadlines.
        bound: Duration,
    },
    /// A rank was lost.
    RankLost(RankId),
}

/// An action that a rebalancer requests.
#[derive(Clone, Debug, PartialEq)]
pub enum RebalanceEffect {
    /// Offers a map to the decider.
    Offer {
        /// Identifies the offer in the decider's reply.
        offer: OfferId,
        /// The map.
        map: Box<ExpertMap>,
    },
    /// Copies an expert's weights to a rank.
    Transfer {
        /// Identifies the transfer in its result.
        transfer: TransferId,
        /// The layer, the expert and the rank that receives it.
        target: LayerMove,
        /// Size of the weights, in bytes.
        bytes: u64,
    },
    /// Logs a placement decision.
    Log(RebalanceDecision),
}

/// A placement decision, as logged.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RebalanceDecision {
    /// What was decided.
    pub step: RebalanceAction,
    /// Forecast ratio of the largest to the mean rank load, of the layer where it
    /// is largest.
    pub skew: f64,
    /// The same ratio once the decision is executed.
    pub skew_after: f64,
    /// Number of weight moves in the plan.
    pub moves: usize,
    /// Bytes that the moves copy.
    pub bytes: u64,
}

/// An action on the placement of a group's experts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RebalanceAction {
    /// The map is kept: no change is worth its cost.
    Keep,
    /// The load shares of replicas change, but no weights move.
    Level,
    /// Weights move.
    Move,
    /// All moves of the plan are completed.
    Finished,
    /// The rest of the plan is dropped because the demand has changed and the
    /// remaining moves no longer lower the skew.
    DropDemandTurned,
    /// The rest of the plan is dropped because a rank was lost.
    DropRankLost,
    /// The rest of the plan is dropped because a map was refused.
    DropRefused,
    /// The rest of the plan is dropped because a newer plan was submitted.
    DropSuperseded,
}

impl From<DropReason> for RebalanceAction {
    fn from(reason: DropReason) -> Self {
        match reason {
            DropReason::DemandTurned => Self::DropDemandTurned,
            DropReason::RankLost => Self::DropRankLost,
            DropReason::CommitRefused => Self::DropRefused,
            DropReason::Superseded => Self::DropSuperseded,
        }
    }
}

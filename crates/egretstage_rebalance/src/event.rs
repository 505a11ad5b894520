//! What happens to a rebalancer and what it asks for.

use egretstage_balance::{DropReason, ExpertMap, LayerMove, RankId, TransferId, TransferResult};
use serde::Serialize;
use std::time::Duration;
use strum::Display;

/// Load of each expert of a layer, over one interval.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerLoads(pub Vec<f64>);

/// Identifies a map that was offered to the decider.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct OfferId(pub u64);

/// What can happen to a rebalancer.
#[derive(Clone, Debug)]
pub enum RebalanceEvent {
    /// Loads were measured, a list for each layer.
    LoadsMeasured {
        /// The time over which they were measured.
        interval: Duration,
        /// The loads.
        layers: Vec<LayerLoads>,
    },
    /// All ranks use a map that was offered.
    Committed(OfferId),
    /// A map that was offered won't be used; the one before stays in force.
    Refused(OfferId),
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
    /// A rank is gone.
    RankLost(RankId),
}

/// What a rebalancer asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum RebalanceEffect {
    /// Offers a map to the decider.
    Offer {
        /// Identifies the answer.
        offer: OfferId,
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
    /// Writes the log line of a placement decision.
    Log(RebalanceDecision),
}

/// The log line of a placement decision.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RebalanceDecision {
    /// What was decided.
    pub step: RebalanceAction,
    /// Largest over mean rank load of the worst layer, as forecast.
    pub skew: f64,
    /// The same with the decision carried out.
    pub skew_after: f64,
    /// Weight moves of the plan.
    pub moves: usize,
    /// Bytes that they copy.
    pub bytes: u64,
}

/// What was decided about a group's experts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RebalanceAction {
    /// Nothing pays.
    Keep,
    /// The shares of replicas change; no weights move.
    Level,
    /// Weights move.
    Move,
    /// All moves of the plan are done.
    Finished,
    /// The rest of the plan is given up: the demand turned.
    DropDemandTurned,
    /// The rest of the plan is given up: a rank is gone.
    DropRankLost,
    /// The rest of the plan is given up: a map was refused.
    DropRefused,
    /// The rest of the plan is given up: a newer plan came.
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

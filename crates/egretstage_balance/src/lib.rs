//! Plans the placement of a model group's experts on its ranks.
//!
//! A [`Planner`] takes the active map and a forecast of each expert's load and
//! returns a [`Plan`]: a target map and the weight moves that lead to it. The
//! [`MoveExecutor`] executes a plan in small batches through the rate-limited
//! weight store. Where engines copy weights among themselves,
//! [`plan_copy_round`] plans the few copies that pay off before the demand
//! shifts again. Nothing here does I/O or reads a clock.

mod copy_rounds;
mod executor;
mod forecast;
mod level;
mod map;
mod pack;
mod plan;
mod planners;
mod tradeoff;

pub use copy_rounds::{CopyRound, CopyRoundLimits, EvenMap, mean_skew, plan_copy_round};
pub use executor::{
    DropReason, ExecutorEffect, ExecutorEvent, ExecutorLimits, GroupPlan, LayerMove, MapVersion,
    MoveExecutor, TransferId, TransferResult,
};
pub use forecast::LoadForecast;
pub use level::{Sharing, level_shares};
pub use map::{
    ExpertId, ExpertMap, InvalidMap, LayerMap, LayerShape, RankId, RawLayerMap, Replica, Share,
    skew,
};
pub use pack::replicate_and_pack;
pub use plan::{
    Move, Plan, PlanContext, Planner, with_added_replicas, without_overwritten_replicas,
};
pub use planners::{FullReplan, GreedySwaps, IncrementalPlanner, NeverMove};
pub use tradeoff::{BalanceTradeoff, InvalidTradeoff, RawBalanceTradeoff};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        BalanceTradeoff, ExpertId, ExpertMap, IncrementalPlanner, LayerMap, LayerShape,
        LoadForecast, Move, MoveExecutor, Plan, PlanContext, Planner, RankId, Replica, Share,
        Sharing, skew,
    };
}

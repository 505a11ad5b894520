//! Carries a plan out through the rate-limited weight store.
//!
//! Moves go in small batches. For each batch the executor first commits a map
//! without the replicas that will be overwritten, then has the weights copied,
//! then commits a map with the replicas whose weights are in place.

mod event;
mod pacing;
mod reducer;

pub use event::{
    DropReason, ExecutorEffect, ExecutorEvent, GroupPlan, LayerMove, MapVersion, TransferId,
    TransferResult,
};
pub use pacing::ExecutorLimits;
pub use reducer::MoveExecutor;

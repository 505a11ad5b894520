//! Executes a plan through the rate-limited weight store.
//!
//! Moves are executed in small batches. For each batch the executor commits a
//! map without the replicas that will be overwritten, requests the transfers of
//! the weights, and commits a map with the replicas whose weights are in place.

mod event;
mod pacing;
mod reducer;

pub use event::{
    DropReason, ExecutorEffect, ExecutorEvent, GroupPlan, LayerMove, MapVersion, TransferId,
    TransferResult,
};
pub use pacing::ExecutorLimits;
pub use reducer::MoveExecutor;

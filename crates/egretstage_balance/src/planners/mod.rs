//! The planners.

mod greedy;
mod incremental;
mod never;
mod replan;

pub use greedy::GreedySwaps;
pub use incremental::IncrementalPlanner;
pub use never::NeverMove;
pub use replan::FullReplan;

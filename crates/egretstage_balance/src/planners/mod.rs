//! The incremental planner and the baselines it is compared with.

mod greedy;
mod incremental;
mod never;
mod replan;

pub use greedy::GreedySwaps;
pub use incremental::IncrementalPlanner;
pub use never::NeverMove;
pub use replan::FullReplan;

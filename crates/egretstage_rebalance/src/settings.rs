//! Settings of a rebalancer.

use egretstage_balance::{BalanceTradeoff, ExecutorLimits, LayerShape, Sharing};
use std::time::Duration;

/// Settings of a [`Rebalancer`](crate::Rebalancer).
#[derive(Clone, Copy, Debug)]
pub struct RebalanceSettings {
    /// Dimensions of each layer.
    pub shape: LayerShape,
    /// Number of layers with experts.
    pub layers: u16,
    /// Trade-off between skew and the bytes to move.
    pub tradeoff: BalanceTradeoff,
    /// How the engine splits an expert's tokens among its replicas.
    pub sharing: Sharing,
    /// Limits on the execution of moves.
    pub executor: ExecutorLimits,
    /// Time between two plans.
    pub interval: Duration,
    /// Time constant of the load forecast, in which a deviation decays by a factor
    /// of e.
    pub relaxation: Duration,
    /// Minimum reduction of the worst layer's skew, in percentage points, for which
    /// levelled shares are worth a new map.
    pub level_gain_points: f64,
}

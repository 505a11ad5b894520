//! The settings of a group's balance.

use egretstage_balance::{BalanceTrade, ExecutorLimits, LayerShape, Sharing};
use std::time::Duration;

/// The settings of a group's balance.
#[derive(Clone, Copy, Debug)]
pub struct RebalanceSettings {
    /// Sizes of each layer.
    pub shape: LayerShape,
    /// Layers with experts.
    pub layers: u16,
    /// How much skew is given up to save moved bytes.
    pub trade: BalanceTrade,
    /// What the engine's map can express.
    pub sharing: Sharing,
    /// Limits on the moves.
    pub executor: ExecutorLimits,
    /// Time between two plans.
    pub interval: Duration,
    /// Time in which a deviation of a load fades by a factor of e.
    pub relaxation: Duration,
    /// Skew, in percentage points, that levelled shares must take away from
    /// the worst layer to be worth a new map.
    pub level_gain_points: f64,
}

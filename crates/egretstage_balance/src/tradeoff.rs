//! The trade-off between the skew of a group and the bytes that it moves.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bytes in a GiB.
pub(crate) const GIB: f64 = 1_073_741_824.0;

/// A trade-off before validation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawBalanceTradeoff {
    /// Reduction of the skew that justifies moving one GiB, in percentage points.
    pub points_per_gib: f64,
    /// Skew above 1 up to which no weights are moved, in percentage points.
    pub tolerated_points: f64,
    /// Maximum number of moves in one plan.
    pub max_moves: u16,
    /// Time in which a move has to pay off, in seconds.
    pub horizon_s: u32,
}

/// Reason why a trade-off is invalid.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum InvalidTradeoff {
    /// The cost of a GiB isn't a finite number of at least 0.
    #[error("points_per_gib {0} is not allowed, allowed are numbers of at least 0")]
    PointsPerGib(f64),
    /// The tolerated skew isn't a finite number of at least 0.
    #[error("tolerated_points {0} is not allowed, allowed are numbers of at least 0")]
    ToleratedPoints(f64),
}

/// How much skew a group accepts to move fewer bytes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawBalanceTradeoff", into = "RawBalanceTradeoff")]
pub struct BalanceTradeoff(RawBalanceTradeoff);

impl BalanceTradeoff {
    /// Preset for a group whose callers notice each slow step.
    pub const LOW_SKEW: Self = Self(RawBalanceTradeoff {
        points_per_gib: 20.0,
        tolerated_points: 1.0,
        max_moves: 4,
        horizon_s: 900,
    });

    /// Preset for a group whose moves compete with other transfers.
    pub const LOW_COST: Self = Self(RawBalanceTradeoff {
        points_per_gib: 100.0,
        tolerated_points: 5.0,
        max_moves: 2,
        horizon_s: 3600,
    });

    /// Preset that levels shares only and moves no weights.
    pub const SHARES_ONLY: Self = Self(RawBalanceTradeoff {
        points_per_gib: 0.0,
        tolerated_points: 0.0,
        max_moves: 0,
        horizon_s: 0,
    });

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> RawBalanceTradeoff {
        self.0
    }

    /// Returns the time in which a move has to pay off.
    #[must_use]
    pub fn horizon(&self) -> Duration {
        Duration::from_secs(u64::from(self.0.horizon_s))
    }

    /// Returns the reduction of the skew that justifies moving a number of bytes,
    /// in percentage points.
    #[must_use]
    pub fn cost_points(&self, bytes: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "the cost need not be exact")]
        let gib = bytes as f64 / GIB;
        self.0.points_per_gib * gib
    }
}

impl TryFrom<RawBalanceTradeoff> for BalanceTradeoff {
    type Error = InvalidTradeoff;

    fn try_from(raw: RawBalanceTradeoff) -> Result<Self, InvalidTradeoff> {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        if !is_valid(raw.points_per_gib) {
            return Err(InvalidTradeoff::PointsPerGib(raw.points_per_gib));
        }
        if !is_valid(raw.tolerated_points) {
            return Err(InvalidTradeoff::ToleratedPoints(raw.tolerated_points));
        }
        Ok(Self(raw))
    }
}

impl From<BalanceTradeoff> for RawBalanceTradeoff {
    fn from(tradeoff: BalanceTradeoff) -> Self {
        tradeoff.0
    }
}

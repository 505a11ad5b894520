//! How much skew a group gives up to save moved bytes.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bytes of a GiB.
pub(crate) const GIB: f64 = 1_073_741_824.0;

/// A trade before its checks.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawBalanceTradeoff {
    /// Skew, in percentage points, that a moved GiB must take away.
    pub points_per_gib: f64,
    /// Skew, in percentage points above 1, that is left alone.
    pub tolerated_points: f64,
    /// Most moves in one plan.
    pub max_moves: u16,
    /// Time over which a move is expected to pay, in seconds.
    pub horizon_s: u32,
}

/// Why a trade can't be used.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum InvalidTradeoff {
    /// The price of a GiB isn't a number of at least 0.
    #[error("points_per_gib {0} is not allowed, allowed are numbers of at least 0")]
    PointsPerGib(f64),
    /// The tolerated skew isn't a number of at least 0.
    #[error("tolerated_points {0} is not allowed, allowed are numbers of at least 0")]
    ToleratedPoints(f64),
}

/// How much skew a group gives up to save moved bytes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawBalanceTradeoff", into = "RawBalanceTradeoff")]
pub struct BalanceTradeoff(RawBalanceTradeoff);

impl BalanceTradeoff {
    /// The preset of a group whose callers feel each slow step.
    pub const LOW_SKEW: Self = Self(RawBalanceTradeoff {
        points_per_gib: 20.0,
        tolerated_points: 1.0,
        max_moves: 4,
        horizon_s: 900,
    });

    /// The preset of a group whose moves compete with other transfers.
    pub const LOW_COST: Self = Self(RawBalanceTradeoff {
        points_per_gib: 100.0,
        tolerated_points: 5.0,
        max_moves: 2,
        horizon_s: 3600,
    });

    /// Levels shares only; no weights move.
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

    /// Returns the time over which a move is expected to pay.
    #[must_use]
    pub fn horizon(&self) -> Duration {
        Duration::from_secs(u64::from(self.0.horizon_s))
    }

    /// Returns what a number of bytes must take away, in percentage points.
    #[must_use]
    pub fn cost_points(&self, bytes: u64) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a price needs no exact bytes")]
        let gib = bytes as f64 / GIB;
        self.0.points_per_gib * gib
    }
}

impl TryFrom<RawBalanceTradeoff> for BalanceTradeoff {
    type Error = InvalidTradeoff;

    fn try_from(raw: RawBalanceTradeoff) -> Result<Self, InvalidTradeoff> {
        let usable = |value: f64| value.is_finite() && value >= 0.0;
        if !usable(raw.points_per_gib) {
            return Err(InvalidTradeoff::PointsPerGib(raw.points_per_gib));
        }
        if !usable(raw.tolerated_points) {
            return Err(InvalidTradeoff::ToleratedPoints(raw.tolerated_points));
        }
        Ok(Self(raw))
    }
}

impl From<BalanceTradeoff> for RawBalanceTradeoff {
    fn from(trade: BalanceTradeoff) -> Self {
        trade.0
    }
}

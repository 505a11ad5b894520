//! Which ranks of a model group are slower than usual.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;

/// Tenths per unit of the factor by which an engine is slower than usual.
const TENTHS: f32 = 10.0;

/// Factor by which an engine takes longer than usual, in tenths.
///
/// ```
/// # use egretstage_wire::Slowdown;
/// assert!(!Slowdown::from_factor(1.02).is_slow());
/// let slowdown = Slowdown::from_factor(1.6);
/// assert!(slowdown.is_slow() && slowdown > Slowdown::NONE);
/// assert!((slowdown.factor() - 1.6).abs() < 1e-6);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slowdown(u16);

impl Slowdown {
    /// The usual speed.
    pub const NONE: Self = Self(10);

    /// Rounds a factor to tenths. A faster engine than usual, and a factor that isn't
    /// a number, count as the usual speed.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the conversion saturates"
    )]
    pub fn from_factor(factor: f32) -> Self {
        Self((factor * TENTHS).round() as u16).max(Self::NONE)
    }

    /// Returns the factor, at least 1.
    #[must_use]
    pub fn factor(self) -> f32 {
        f32::from(self.max(Self::NONE).0) / TENTHS
    }

    /// Returns whether the engine is slower than usual.
    #[must_use]
    pub fn is_slow(self) -> bool {
        self > Self::NONE
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Self::NONE
    }
}

/// Report of a group's decider to the entries: the ranks that are slower than
/// usual.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowRanks {
    /// The group.
    #[serde(rename = "sg")]
    pub group: CompactString,
    /// The decider's fencing number.
    #[serde(rename = "sf")]
    pub fence: u64,
    /// Sequence number among the reports of this decider.
    #[serde(rename = "sn")]
    pub number: u64,
    /// Addresses of the slow ranks' engines.
    #[serde(rename = "sr")]
    pub ranks: SmallVec<[(SocketAddr, Slowdown); 4]>,
}

impl SlowRanks {
    /// Returns the slowdown of an engine.
    #[must_use]
    pub fn slowdown_of(&self, engine: SocketAddr) -> Slowdown {
        let rank = self.ranks.iter().find(|(address, _)| *address == engine);
        rank.map_or(Slowdown::NONE, |(_, slowdown)| *slowdown)
    }

    /// Returns the slowdown of the slowest rank, for which the others wait in each
    /// pass.
    #[must_use]
    pub fn slowest(&self) -> Slowdown {
        let slowdowns = self.ranks.iter().map(|(_, slowdown)| *slowdown);
        slowdowns.max().unwrap_or_default()
    }
}

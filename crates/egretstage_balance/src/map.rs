//! Expert maps: the ranks that hold each expert, with their shares.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Identifies an expert within its layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExpertId(pub u16);

impl ExpertId {
    /// Returns the index in per-expert lists.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Identifies a rank within its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RankId(pub u16);

impl RankId {
    /// Returns the index in per-rank lists.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Share of an expert's tokens, in basis points.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Share(pub u16);

impl Share {
    /// All of an expert's tokens.
    pub const WHOLE: Self = Self(10_000);

    /// Returns the share as a fraction of 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE.0)
    }
}

/// One copy of an expert's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The rank that holds the weights.
    pub rank: RankId,
    /// Share of the expert's tokens that is routed there.
    pub share: Share,
}

/// Dimensions of a layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayerShape {
    /// Number of ranks of the group.
    pub ranks: u16,
    /// Number of experts of the layer.
    pub experts: u16,
    /// Number of experts whose weights fit on one rank.
    pub slots_per_rank: u16,
}

impl LayerShape {
    /// Returns the number of replicas that fit on all ranks together.
    #[must_use]
    pub fn slots(self) -> usize {
        usize::from(self.ranks) * usize::from(self.slots_per_rank)
    }
}

/// The map of a layer before validation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawLayerMap {
    /// Dimensions of the layer.
    pub shape: LayerShape,
    /// Replicas of each expert.
    pub experts: Vec<SmallVec<[Replica; 4]>>,
}

/// Reason why the map of a layer is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidMap {
    /// The number of listed experts differs from the shape's.
    #[error("the map lists {listed} experts, the layer has {expected}")]
    ExpertCount {
        /// Number of experts in the map.
        listed: usize,
        /// Number of experts of the layer.
        expected: u16,
    },
    /// An expert has no replica.
    #[error("expert {} has no replica", expert.0)]
    NoReplica {
        /// The expert.
        expert: ExpertId,
    },
    /// A replica is on a rank that doesn't exist in the group.
    #[error("expert {} is on rank {}, which doesn't exist", expert.0, rank.0)]
    UnknownRank {
        /// The expert.
        expert: ExpertId,
        /// The rank.
        rank: RankId,
    },
    /// Two replicas of an expert are on one rank.
    #[error("expert {} is on rank {} twice", expert.0, rank.0)]
    SameRankTwice {
        /// The expert.
        expert: ExpertId,
        /// The rank.
        rank: RankId,
    },
    /// A rank holds more experts than it has slots.
    #[error("rank {} holds {held} experts and has {slots} slots", rank.0)]
    RankFull {
        /// The rank.
        rank: RankId,
        /// Number of experts on it.
        held: u16,
        /// Number of its slots.
        slots: u16,
    },
    /// The shares of an expert don't add up to [`Share::WHOLE`].
    #[error("the shares of expert {} add up to {sum} basis points", expert.0)]
    ShareSum {
        /// The expert.
        expert: ExpertId,
        /// Sum of the shares, in basis points.
        sum: u32,
    },
}

/// Valid placement of the experts of one layer.
///
/// Every expert has a replica, no rank holds an expert twice or more experts
/// than it has slots, and the shares of each expert add up to
/// [`Share::WHOLE`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawLayerMap", into = "RawLayerMap")]
pub struct LayerMap(RawLayerMap);

impl LayerMap {
    /// Returns the dimensions of the layer.
    #[must_use]
    pub fn shape(&self) -> LayerShape {
        self.0.shape
    }

    /// Returns the replicas of an expert.
    #[must_use]
    pub fn replicas(&self, expert: ExpertId) -> &[Replica] {
        &self.0.experts[expert.index()]
    }

    /// Iterates over the experts with their replicas.
    pub fn iter(&self) -> impl Iterator<Item = (ExpertId, &[Replica])> {
        (0..)
            .map(ExpertId)
            .zip(self.0.experts.iter().map(SmallVec::as_slice))
    }

    /// Returns whether a rank holds an expert.
    #[must_use]
    pub fn holds(&self, rank: RankId, expert: ExpertId) -> bool {
        self.replicas(expert).iter().any(|r| r.rank == rank)
    }

    /// Returns the load of each rank, given the load of each expert.
    #[must_use]
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        let mut ranks = vec![0.0; usize::from(self.0.shape.ranks)];
        for (expert, replicas) in self.iter() {
            for replica in replicas {
                ranks[replica.rank.index()] += loads[expert.index()] * replica.share.fraction();
            }
        }
        ranks
    }

    /// Returns the number of replicas that an older map doesn't have.
    #[must_use]
    pub fn replicas_added_since(&self, older: &Self) -> usize {
        let added = |(expert, replicas): (ExpertId, &[Replica])| {
            let new = |r: &&Replica| !older.holds(r.rank, expert);
            replicas.iter().filter(new).count()
        };
        self.iter().map(added).sum()
    }
}

impl TryFrom<RawLayerMap> for LayerMap {
    type Error = InvalidMap;

    fn try_from(raw: RawLayerMap) -> Result<Self, InvalidMap> {
        let shape = raw.shape;
        if raw.experts.len() != usize::from(shape.experts) {
            return Err(InvalidMap::ExpertCount {
                listed: raw.experts.len(),
                expected: shape.experts,
            });
        }
        let mut held = vec![0_u16; usize::from(shape.ranks)];
        for (expert, replicas) in (0..).map(ExpertId).zip(&raw.experts) {
            check_replicas(expert, replicas, &mut held)?;
        }
        let is_over_capacity = |(_, held): &(RankId, u16)| *held > shape.slots_per_rank;
        match (0..).map(RankId).zip(held).find(is_over_capacity) {
            Some((rank, held)) => Err(InvalidMap::RankFull {
                rank,
                held,
                slots: shape.slots_per_rank,
            }),
            None => Ok(Self(raw)),
        }
    }
}

/// Validates an expert's replicas and counts them in `held`, the number of
/// experts on each rank.
fn check_replicas(
    expert: ExpertId,
    replicas: &[Replica],
    held: &mut [u16],
) -> Result<(), InvalidMap> {
    if replicas.is_empty() {
        return Err(InvalidMap::NoReplica { expert });
    }
    for (index, Replica { rank, .. }) in replicas.iter().enumerate() {
        let rank = *rank;
        if replicas[..index].iter().any(|r| r.rank == rank) {
            return Err(InvalidMap::SameRankTwice { expert, rank });
        }
        *held
            .get_mut(rank.index())
            .ok_or(InvalidMap::UnknownRank { expert, rank })? += 1;
    }
    let sum = replicas.iter().map(|r| u32::from(r.share.0)).sum();
    if sum != u32::from(Share::WHOLE.0) {
        return Err(InvalidMap::ShareSum { expert, sum });
    }
    Ok(())
}

impl From<LayerMap> for RawLayerMap {
    fn from(map: LayerMap) -> Self {
        map.0
    }
}

/// Placement of all experts of a model group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    /// The maps of the layers, in order.
    pub layers: Vec<LayerMap>,
}

/// Returns the ratio of the largest to the mean rank load; 1 for an idle group.
#[must_use]
pub fn skew(rank_loads: &[f64]) -> f64 {
    let sum: f64 = rank_loads.iter().sum();
    let largest = rank_loads.iter().copied().fold(0.0, f64::max);
    if sum > 0.0 {
        #[expect(clippy::cast_precision_loss, reason = "a group has few ranks")]
        let ranks = rank_loads.len() as f64;
        largest * ranks / sum
    } else {
        1.0
    }
}

//! Levels the rank loads through the shares of the replicas, without moving
//! weights.

use crate::{ExpertId, InvalidMap, LayerMap, LayerShape, RankId, RawLayerMap, Replica, Share};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::Display;

/// Maximum number of sweeps over the experts in one levelling.
const MAX_SWEEPS: usize = 200;

/// Largest change of a replica's load in a converged sweep, as a fraction of
/// the mean rank load.
const CONVERGED_CHANGE: f64 = 1e-4;

/// Load of one replica of an expert.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaLoad {
    pub(crate) rank: RankId,
    pub(crate) load: f64,
}

/// How an engine splits an expert's tokens among its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Sharing {
    /// The map sets the share of each replica.
    #[default]
    Uneven,
    /// Each replica gets an equal share.
    Even,
}

/// The replicas of a layer with their loads.
///
/// [`sweep`](ReplicaLoads::sweep) is block-coordinate descent on the sum of
/// squared rank loads; at its minimum the largest rank load is as low as the
/// placement allows.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaLoads {
    shape: LayerShape,
    sharing: Sharing,
    /// The replicas of each expert.
    experts: Vec<SmallVec<[ReplicaLoad; 4]>>,
    /// The experts on each rank.
    held: Vec<SmallVec<[ExpertId; 4]>>,
    rank_loads: Vec<f64>,
    /// Mean rank load.
    mean: f64,
}

impl ReplicaLoads {
    /// Computes the loads of a map's replicas from the loads of the experts.
    pub(crate) fn new(map: &LayerMap, loads: &[f64], sharing: Sharing) -> Self {
        let shape = map.shape();
        let ranks = usize::from(shape.ranks);
        let mut held = vec![SmallVec::new(); ranks];
        let mut experts = Vec::with_capacity(loads.len());
        for (expert, replicas) in map.iter() {
            let load = loads[expert.index()];
            let replica_load = |r: &Replica| ReplicaLoad {
                rank: r.rank,
                load: load * r.share.fraction(),
            };
            experts.push(replicas.iter().map(replica_load).collect());
            for replica in replicas {
                held[replica.rank.index()].push(expert);
            }
        }
        Self {
            shape,
            sharing,
            experts,
            held,
            rank_loads: map.rank_loads(loads),
            mean: loads.iter().sum::<f64>() / f64::from(shape.ranks),
        }
    }

    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    pub(crate) fn rank_loads(&self) -> &[f64] {
        &self.rank_loads
    }

    pub(crate) fn experts_on(&self, rank: RankId) -> &[ExpertId] {
        &self.held[rank.index()]
    }

    pub(crate) fn of_expert(&self, expert: ExpertId) -> &[ReplicaLoad] {
        &self.experts[expert.index()]
    }

    pub(crate) fn has_free_slot(&self, rank: RankId) -> bool {
        self.experts_on(rank).len() < usize::from(self.shape.slots_per_rank)
    }

    pub(crate) fn skew(&self) -> f64 {
        crate::skew(&self.rank_loads)
    }

    /// Levels the shares until a sweep converges.
    pub(crate) fn level_all(&mut self) {
        self.run_sweeps(MAX_SWEEPS);
    }

    /// Levels the shares until a sweep converges or for `max_sweeps` sweeps.
    ///
    /// With [`Sharing::Even`], splits each expert evenly instead.
    pub(crate) fn run_sweeps(&mut self, max_sweeps: usize) {
        if self.sharing == Sharing::Even {
            return self.split_evenly();
        }
        for _ in 0..max_sweeps {
            if self.sweep() <= CONVERGED_CHANGE * self.mean {
                return;
            }
        }
    }

    /// Levels each expert once and returns the largest change of a replica's
    /// load.
    fn sweep(&mut self) -> f64 {
        let mut largest_change = 0.0_f64;
        for index in 0..self.experts.len() {
            if self.experts[index].len() > 1 {
                largest_change = largest_change.max(self.level_expert(index));
            }
        }
        largest_change
    }

    /// Distributes one expert so that the loads of its least loaded ranks are
    /// equal; returns the largest change of a replica's load.
    fn level_expert(&mut self, index: usize) -> f64 {
        let replicas = &mut self.experts[index];
        let rank_loads = &mut self.rank_loads;
        let mut total = 0.0;
        let mut others: SmallVec<[f64; 8]> = SmallVec::new();
        for replica in replicas.iter() {
            total += replica.load;
            others.push(rank_loads[replica.rank.index()] - replica.load);
        }
        let level = water_level(&others, total);
        let mut largest_change = 0.0_f64;
        for (replica, other) in replicas.iter_mut().zip(others) {
            let load = (level - other).max(0.0);
            largest_change = largest_change.max((load - replica.load).abs());
            rank_loads[replica.rank.index()] += load - replica.load;
            replica.load = load;
        }
        largest_change
    }

    /// Adds a replica without load.
    pub(crate) fn add(&mut self, expert: ExpertId, rank: RankId) {
        self.experts[expert.index()].push(ReplicaLoad { rank, load: 0.0 });
        self.held[rank.index()].push(expert);
    }

    /// Removes a replica and distributes its load over the expert's others.
    ///
    /// # Panics
    ///
    /// Panics if it is the expert's only replica.
    pub(crate) fn remove(&mut self, expert: ExpertId, rank: RankId) {
        self.held[rank.index()].retain(|held| *held != expert);
        let replicas = &mut self.experts[expert.index()];
        let Some(position) = replicas.iter().position(|r| r.rank == rank) else {
            return;
        };
        let load = replicas.remove(position).load;
        let receiver = replicas.first_mut().expect("the expert keeps a replica");
        receiver.load += load;
        self.rank_loads[rank.index()] -= load;
        self.rank_loads[receiver.rank.index()] += load;
        self.level_expert(expert.index());
    }

    /// Splits the load of each expert evenly among its replicas.
    fn split_evenly(&mut self) {
        for replicas in &mut self.experts {
            let total: f64 = replicas.iter().map(|r| r.load).sum();
            #[expect(clippy::cast_precision_loss, reason = "an expert has few replicas")]
            let load = total / replicas.len() as f64;
            for replica in replicas.iter_mut() {
                self.rank_loads[replica.rank.index()] += load - replica.load;
                replica.load = load;
            }
        }
    }

    /// Returns the map with shares in proportion to the loads.
    ///
    /// # Errors
    ///
    /// Returns an error if added or removed replicas made the map invalid.
    pub(crate) fn to_map(&self) -> Result<LayerMap, InvalidMap> {
        let experts = self
            .experts
            .iter()
            .map(|replicas| shares(replicas))
            .collect();
        LayerMap::try_from(RawLayerMap {
            shape: self.shape,
            experts,
        })
    }
}

/// Returns the water-filling level: the height to which `total` fills up bins
/// of the given base levels.
fn water_level(base_levels: &[f64], total: f64) -> f64 {
    let mut sorted: SmallVec<[f64; 8]> = SmallVec::from_slice(base_levels);
    sorted.sort_unstable_by(f64::total_cmp);
    let mut sum = total;
    let mut count = 0.0;
    let mut level = f64::INFINITY;
    for base_level in sorted {
        if base_level >= level {
            break;
        }
        sum += base_level;
        count += 1.0;
        level = sum / count;
    }
    level
}

/// Rounds loads to shares in basis points that add up to [`Share::WHOLE`].
fn shares(replica_loads: &[ReplicaLoad]) -> SmallVec<[Replica; 4]> {
    let total: f64 = replica_loads.iter().map(|r| r.load).sum();
    let whole = f64::from(Share::WHOLE.0);
    let mut cumulative_load = 0.0;
    let mut start = 0_u16;
    let mut replicas = SmallVec::new();
    for (index, replica) in replica_loads.iter().enumerate() {
        cumulative_load += replica.load;
        let last = index + 1 == replica_loads.len();
        let end = match (last, total > 0.0) {
            (true, _) => Share::WHOLE.0,
            (false, true) => basis_points(cumulative_load / total * whole),
            (false, false) => start,
        };
        replicas.push(Replica {
            rank: replica.rank,
            share: Share(end - start),
        });
        start = end;
    }
    replicas
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of a share"
)]
fn basis_points(value: f64) -> u16 {
    value.round().clamp(0.0, f64::from(Share::WHOLE.0)) as u16
}

/// Returns the map with the shares that minimise the largest rank load.
///
/// Each replica stays on its rank, so no weights move. With [`Sharing::Even`],
/// each expert is split evenly.
///
/// # Panics
///
/// Panics if `loads` has fewer entries than the layer has experts.
#[must_use]
pub fn level_shares(map: &LayerMap, loads: &[f64], sharing: Sharing) -> LayerMap {
    let mut replica_loads = ReplicaLoads::new(map, loads, sharing);
    replica_loads.level_all();
    replica_loads.to_map().expect("levelling moves no replica")
}

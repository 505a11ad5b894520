//! Levels the shares of the replicas without moving weights.

use crate::{ExpertId, InvalidMap, LayerMap, LayerShape, RankId, RawLayerMap, Replica, Share};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::Display;

/// Most sweeps over the experts in one levelling.
const MAX_SWEEPS: usize = 200;

/// A sweep that changes no rank by more than this part of the mean ends it.
const SETTLED: f64 = 1e-4;

/// Load that an expert sends to one rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
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
    /// Each replica gets the same part.
    Even,
}

/// A layer's replicas with the load that each takes.
///
/// [`sweep`](Flows::sweep) is block-coordinate descent on the sum of squared
/// rank loads; at its minimum the largest rank load is as low as the
/// placement allows.
#[derive(Clone, Debug)]
pub(crate) struct Flows {
    shape: LayerShape,
    sharing: Sharing,
    experts: Vec<SmallVec<[Flow; 4]>>,
    held: Vec<SmallVec<[ExpertId; 4]>>,
    rank_loads: Vec<f64>,
    mean: f64,
}

impl Flows {
    /// Reads a map with the loads of its experts.
    pub(crate) fn new(map: &LayerMap, loads: &[f64], sharing: Sharing) -> Self {
        let shape = map.shape();
        let ranks = usize::from(shape.ranks);
        let mut held = vec![SmallVec::new(); ranks];
        let mut experts = Vec::with_capacity(loads.len());
        for (expert, replicas) in map.iter() {
            let load = loads[expert.index()];
            let flow = |r: &Replica| Flow {
                rank: r.rank,
                load: load * r.share.fraction(),
            };
            experts.push(replicas.iter().map(flow).collect());
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

    pub(crate) fn held(&self, rank: RankId) -> &[ExpertId] {
        &self.held[rank.index()]
    }

    pub(crate) fn flows(&self, expert: ExpertId) -> &[Flow] {
        &self.experts[expert.index()]
    }

    pub(crate) fn has_free_slot(&self, rank: RankId) -> bool {
        self.held(rank).len() < usize::from(self.shape.slots_per_rank)
    }

    pub(crate) fn skew(&self) -> f64 {
        crate::skew(&self.rank_loads)
    }

    /// Levels until nothing changes.
    pub(crate) fn settle(&mut self) {
        self.sweeps(MAX_SWEEPS);
    }

    /// Levels all experts up to a number of times.
    pub(crate) fn sweeps(&mut self, most: usize) {
        if self.sharing == Sharing::Even {
            return self.split_evenly();
        }
        for _ in 0..most {
            if self.sweep() <= SETTLED * self.mean {
                return;
            }
        }
    }

    /// Levels each expert once and returns the largest change of a flow.
    fn sweep(&mut self) -> f64 {
        let mut largest = 0.0_f64;
        for index in 0..self.experts.len() {
            if self.experts[index].len() > 1 {
                largest = largest.max(self.level(index));
            }
        }
        largest
    }

    /// Spreads one expert so that its least loaded ranks come level.
    fn level(&mut self, index: usize) -> f64 {
        let flows = &mut self.experts[index];
        let rank_loads = &mut self.rank_loads;
        let mut total = 0.0;
        let mut others: SmallVec<[f64; 8]> = SmallVec::new();
        for flow in flows.iter() {
            total += flow.load;
            others.push(rank_loads[flow.rank.index()] - flow.load);
        }
        let level = water_level(&others, total);
        let mut largest = 0.0_f64;
        for (flow, other) in flows.iter_mut().zip(others) {
            let load = (level - other).max(0.0);
            largest = largest.max((load - flow.load).abs());
            rank_loads[flow.rank.index()] += load - flow.load;
            flow.load = load;
        }
        largest
    }

    /// Adds an empty replica.
    pub(crate) fn add(&mut self, expert: ExpertId, rank: RankId) {
        self.experts[expert.index()].push(Flow { rank, load: 0.0 });
        self.held[rank.index()].push(expert);
    }

    /// Removes a replica and spreads its load over the others.
    ///
    /// # Panics
    ///
    /// Panics if it is the expert's only replica.
    pub(crate) fn remove(&mut self, expert: ExpertId, rank: RankId) {
        self.held[rank.index()].retain(|held| *held != expert);
        let flows = &mut self.experts[expert.index()];
        let Some(position) = flows.iter().position(|f| f.rank == rank) else {
            return;
        };
        let load = flows.remove(position).load;
        let heir = flows.first_mut().expect("the expert keeps a replica");
        heir.load += load;
        self.rank_loads[rank.index()] -= load;
        self.rank_loads[heir.rank.index()] += load;
        self.level(expert.index());
    }

    /// Gives each of an expert's replicas the same part.
    fn split_evenly(&mut self) {
        for flows in &mut self.experts {
            let total: f64 = flows.iter().map(|f| f.load).sum();
            #[expect(clippy::cast_precision_loss, reason = "an expert has few replicas")]
            let part = total / flows.len() as f64;
            for flow in flows.iter_mut() {
                self.rank_loads[flow.rank.index()] += part - flow.load;
                flow.load = part;
            }
        }
    }

    /// Returns the map with the shares of the flows.
    ///
    /// # Errors
    ///
    /// Returns an error when changes broke a rule of the map.
    pub(crate) fn to_map(&self) -> Result<LayerMap, InvalidMap> {
        let experts = self.experts.iter().map(|flows| shares(flows)).collect();
        LayerMap::try_from(RawLayerMap {
            shape: self.shape,
            experts,
        })
    }
}

/// Returns the level up to which `total` fills vessels of the given floors.
fn water_level(floors: &[f64], total: f64) -> f64 {
    let mut sorted: SmallVec<[f64; 8]> = SmallVec::from_slice(floors);
    sorted.sort_unstable_by(f64::total_cmp);
    let mut sum = total;
    let mut count = 0.0;
    let mut level = f64::INFINITY;
    for floor in sorted {
        if floor >= level {
            break;
        }
        sum += floor;
        count += 1.0;
        level = sum / count;
    }
    level
}

/// Rounds flows to basis points that add up to the whole.
fn shares(flows: &[Flow]) -> SmallVec<[Replica; 4]> {
    let total: f64 = flows.iter().map(|f| f.load).sum();
    let whole = f64::from(Share::WHOLE.0);
    let mut given = 0.0;
    let mut before = 0_u16;
    let mut replicas = SmallVec::new();
    for (index, flow) in flows.iter().enumerate() {
        given += flow.load;
        let last = index + 1 == flows.len();
        let until = match (last, total > 0.0) {
            (true, _) => Share::WHOLE.0,
            (false, true) => basis_points(given / total * whole),
            (false, false) => before,
        };
        replicas.push(Replica {
            rank: flow.rank,
            share: Share(until - before),
        });
        before = until;
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

/// Returns the map with the shares that level its ranks best.
///
/// No weights move: each replica stays on its rank.
///
/// # Panics
///
/// Panics if `loads` has fewer entries than the layer has experts.
#[must_use]
pub fn level_shares(map: &LayerMap, loads: &[f64], sharing: Sharing) -> LayerMap {
    let mut flows = Flows::new(map, loads, sharing);
    flows.settle();
    flows.to_map().expect("levelling moves no replica")
}

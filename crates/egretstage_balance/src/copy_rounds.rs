//! Copy rounds: a few copies at a time, for groups whose demand shifts within
//! seconds.
//!
//! Load pattern: every few seconds other experts are in demand, and one of them
//! alone may receive the tokens of several ranks. A rank copies one expert after
//! the other, so an optimal plan with many copies becomes active only after the
//! demand has shifted again. A round therefore gives each rank at most a few
//! copies, which all ranks make at the same time; the copies that relieve the
//! hottest ranks most are chosen first. The next round starts from the map that
//! is active then.
//!
//! Load pattern: some ranks take one and a half times as long as usual for the same
//! load, or many times, and all ranks wait for them in each pass. A rank's load
//! counts as the time that it takes, so that experts are moved off the slow ranks
//! and return when these have recovered.

use crate::{ExpertId, RankId};
use smallvec::SmallVec;

/// The ranks that hold each expert of a layer, with its tokens split evenly
/// among them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvenMap {
    ranks: u16,
    holders: Vec<SmallVec<[RankId; 4]>>,
}

impl EvenMap {
    /// Builds a map from the experts of each rank.
    ///
    /// Returns `None` if an expert is out of range, is on a rank twice or is on no
    /// rank.
    #[must_use]
    pub fn from_ranks(experts: u16, ranks: &[Vec<ExpertId>]) -> Option<Self> {
        let mut holders = vec![SmallVec::new(); usize::from(experts)];
        for (rank, held) in (0..).map(RankId).zip(ranks) {
            for expert in held {
                let holders: &mut SmallVec<[RankId; 4]> = holders.get_mut(expert.index())?;
                if holders.contains(&rank) {
                    return None;
                }
                holders.push(rank);
            }
        }
        let all_placed = holders.iter().all(|holders| !holders.is_empty());
        all_placed.then_some(Self {
            ranks: u16::try_from(ranks.len()).ok()?,
            holders,
        })
    }

    /// Assigns blocks of consecutive experts to the ranks in turn.
    ///
    /// All blocks have the same size, so the last ranks may get fewer experts or
    /// none.
    ///
    /// # Panics
    ///
    /// Panics if there are no ranks or more ranks than experts.
    #[must_use]
    pub fn blocks(ranks: u16, experts: u16) -> Self {
        assert!(ranks > 0 && ranks <= experts, "each rank needs an expert");
        let block = experts.div_ceil(ranks);
        let holder = |expert: u16| SmallVec::from_slice(&[RankId(expert / block)]);
        Self {
            ranks,
            holders: (0..experts).map(holder).collect(),
        }
    }

    /// Returns the experts of each rank.
    #[must_use]
    pub fn by_rank(&self) -> Vec<Vec<ExpertId>> {
        let mut ranks = vec![Vec::new(); usize::from(self.ranks)];
        for (expert, holders) in (0..).map(ExpertId).zip(&self.holders) {
            for rank in holders {
                ranks[rank.index()].push(expert);
            }
        }
        ranks
    }

    /// Returns the time that each rank needs for its load. `slowdowns` holds the
    /// factor by which each rank is slower than usual; missing ones count as 1.
    fn rank_times(&self, loads: &[f64], slowdowns: &[f64]) -> Vec<f64> {
        let mut times = self.rank_loads(loads);
        for (time, slowdown) in times.iter_mut().zip(slowdowns) {
            *time *= slowdown;
        }
        times
    }

    /// Returns the load of each rank, given the load of each expert.
    #[must_use]
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        let mut ranks = vec![0.0; usize::from(self.ranks)];
        for (holders, load) in self.holders.iter().zip(loads) {
            let replica_load = load / to_f64(holders.len());
            for rank in holders {
                ranks[rank.index()] += replica_load;
            }
        }
        ranks
    }
}

/// Limits of a copy round.
#[derive(Clone, Copy, Debug)]
pub struct CopyRoundLimits {
    /// Maximum number of copies to one rank, over all layers.
    pub copies_per_rank: u16,
    /// Maximum number of copies to one rank in one layer.
    pub copies_per_layer: u16,
    /// Number of experts of one layer whose weights fit on a rank.
    pub slots_per_rank: u16,
    /// Minimum time that a copy must take off the hottest ranks of its layer, as a
    /// fraction of the mean rank time.
    pub min_gain: f64,
}

/// Target maps of one copy round.
#[derive(Clone, Debug, PartialEq)]
pub struct CopyRound {
    /// The map of each layer.
    pub layers: Vec<EvenMap>,
    /// Number of copies in all layers.
    pub copies: u32,
    /// Mean skew of the layers before the round.
    pub skew_before: f64,
    /// Mean skew of the layers with the target maps.
    pub skew_after: f64,
}

/// Returns the mean of the layers' [`skew`](crate::skew) of the ranks' times.
///
/// `slowdowns` holds the factor by which each rank is slower than usual; missing
/// ones count as 1.
#[must_use]
pub fn mean_skew(layers: &[EvenMap], loads: &[Vec<f64>], slowdowns: &[f64]) -> f64 {
    let skew = |(map, loads): (&EvenMap, &Vec<f64>)| crate::skew(&map.rank_times(loads, slowdowns));
    let sum: f64 = layers.iter().zip(loads).map(skew).sum();
    sum / to_f64(layers.len().max(1))
}

/// Plans the copies that relieve the hottest ranks most.
///
/// `loads` holds the load of each expert, by layer, and `slowdowns` the factor by
/// which each rank is slower than usual; missing ones count as 1. Returns `None` if
/// no copy has the minimum gain.
#[must_use]
pub fn plan_copy_round(
    layers: &[EvenMap],
    loads: &[Vec<f64>],
    slowdowns: &[f64],
    limits: &CopyRoundLimits,
) -> Option<CopyRound> {
    let mut planner = RoundPlanner {
        limits,
        layers: layers
            .iter()
            .zip(loads)
            .map(|(map, loads)| LayerState::new(map, loads, slowdowns))
            .collect(),
        copies_by_rank: vec![0; layers.first().map_or(0, |map| usize::from(map.ranks))],
        best_copies: vec![BestCopy::Outdated; layers.len()],
    };
    let mut copies = 0;
    while let Some(copy) = planner.best_copy() {
        planner.apply(copy);
        copies += 1;
    }
    if copies == 0 {
        return None;
    }
    let target_maps: Vec<EvenMap> = planner.layers.into_iter().map(|layer| layer.map).collect();
    Some(CopyRound {
        copies,
        skew_before: mean_skew(layers, loads, slowdowns),
        skew_after: mean_skew(&target_maps, loads, slowdowns),
        layers: target_maps,
    })
}

/// A possible copy.
#[derive(Clone, Debug)]
struct CandidateCopy {
    /// Time that it takes off the hottest ranks, as a fraction of the mean rank
    /// time.
    gain: f64,
    layer: usize,
    expert: ExpertId,
    destination: RankId,
    /// The expert whose replica on the destination is dropped; `None` uses a free
    /// slot.
    dropped: Option<ExpertId>,
    /// The slow rank that gives up its replica of the expert; `None` keeps all.
    moved_from: Option<RankId>,
    /// The rank times of the layer with the copy.
    rank_times: Vec<f64>,
}

/// A layer with the copies planned so far.
struct LayerState<'a> {
    map: EvenMap,
    loads: &'a [f64],
    /// Factor by which each rank is slower than usual; missing ones count as 1.
    slowdowns: &'a [f64],
    /// Time that each rank needs for its load.
    rank_times: Vec<f64>,
    /// Mean rank time.
    mean: f64,
    /// Number of experts on each rank.
    slots_used: Vec<u16>,
    planned_copies: Vec<(ExpertId, RankId)>,
}

/// The state of planning one copy round.
struct RoundPlanner<'a> {
    limits: &'a CopyRoundLimits,
    layers: Vec<LayerState<'a>>,
    /// Number of copies planned to each rank, over all layers.
    copies_by_rank: Vec<u16>,
    /// Cached best copy of each layer.
    best_copies: Vec<BestCopy>,
}

/// The cached best copy of a layer.
#[derive(Clone, Debug)]
enum BestCopy {
    /// Has to be computed, because something that it depends on has changed.
    Outdated,
    /// The best copy, or `None` if the layer has no possible copy.
    Current(Option<CandidateCopy>),
}

/// Most loaded experts of the hottest rank that are considered for a copy.
const MAX_CANDIDATE_EXPERTS: usize = 2;

impl<'a> LayerState<'a> {
    fn new(map: &EvenMap, loads: &'a [f64], slowdowns: &'a [f64]) -> Self {
        let rank_times = map.rank_times(loads, slowdowns);
        let mean = rank_times.iter().sum::<f64>() / to_f64(rank_times.len().max(1));
        let held = map.by_rank();
        let slots_used = held
            .iter()
            .map(|held| u16::try_from(held.len()).unwrap_or(u16::MAX));
        Self {
            slots_used: slots_used.collect(),
            map: map.clone(),
            loads,
            slowdowns,
            rank_times,
            mean,
            planned_copies: Vec::new(),
        }
    }

    /// Returns the factor by which a rank is slower than usual.
    fn slowdown(&self, rank: RankId) -> f64 {
        self.slowdowns.get(rank.index()).copied().unwrap_or(1.0)
    }

    /// Returns the load of each replica of an expert.
    fn replica_load(&self, expert: ExpertId) -> f64 {
        self.loads[expert.index()] / to_f64(self.map.holders[expert.index()].len())
    }

    /// Returns the rank with the longest time; none for an idle layer.
    fn hottest_rank(&self) -> Option<RankId> {
        let idle = self.mean <= 0.0;
        let hottest = (0..self.rank_times.len())
            .filter(|_| !idle)
            .max_by(|a, b| self.rank_times[*a].total_cmp(&self.rank_times[*b]))?;
        u16::try_from(hottest).ok().map(RankId)
    }

    /// Returns the most loaded experts of a rank.
    fn candidate_experts(&self, rank: RankId) -> SmallVec<[ExpertId; MAX_CANDIDATE_EXPERTS]> {
        let holders = (0..).map(ExpertId).zip(&self.map.holders);
        let on_rank = holders.filter(|(_, holders)| holders.contains(&rank));
        let mut experts: Vec<ExpertId> = on_rank.map(|(expert, _)| expert).collect();
        experts.sort_by(|a, b| self.replica_load(*b).total_cmp(&self.replica_load(*a)));
        experts.into_iter().take(MAX_CANDIDATE_EXPERTS).collect()
    }

    /// Returns the number of copies planned to a rank in this layer.
    fn copies_planned_to(&self, rank: RankId) -> u16 {
        let copies = self
            .planned_copies
            .iter()
            .filter(|(_, to)| *to == rank)
            .count();
        u16::try_from(copies).unwrap_or(u16::MAX)
    }

    /// Returns the expert of a rank whose drop adds the least load to each of its
    /// other ranks.
    ///
    /// Experts without another replica and planned copies are not dropped.
    fn cheapest_to_drop(&self, rank: RankId) -> Option<ExpertId> {
        let holders = (0..).map(ExpertId).zip(&self.map.holders);
        holders
            .filter(|(expert, holders)| {
                holders.len() > 1
                    && holders.contains(&rank)
                    && !self.planned_copies.contains(&(*expert, rank))
            })
            .map(|(expert, holders)| {
                (
                    self.replica_load(expert) / to_f64(holders.len() - 1),
                    expert,
                )
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, expert)| expert)
    }

    /// Returns the rank times after a copy, the drop of an expert from its
    /// destination, and the drop of the copied expert from the rank that it was moved
    /// from.
    fn times_with(
        &self,
        expert: ExpertId,
        destination: RankId,
        dropped: Option<ExpertId>,
        moved_from: Option<RankId>,
    ) -> Vec<f64> {
        let mut ranks = self.rank_times.clone();
        let mut add = |rank: RankId, load: f64| ranks[rank.index()] += load * self.slowdown(rank);
        let holders = &self.map.holders[expert.index()];
        let load = self.loads[expert.index()];
        let before = load / to_f64(holders.len());
        let after = load / to_f64(holders.len() + 1 - usize::from(moved_from.is_some()));
        for rank in holders {
            let kept = if moved_from == Some(*rank) {
                0.0
            } else {
                after
            };
            add(*rank, kept - before);
        }
        add(destination, after);
        if let Some(dropped) = dropped {
            let holders = &self.map.holders[dropped.index()];
            let load = self.loads[dropped.index()];
            let before = load / to_f64(holders.len());
            let after = load / to_f64(holders.len() - 1);
            for rank in holders.iter().filter(|rank| **rank != destination) {
                add(*rank, after - before);
            }
            add(destination, -before);
        }
        ranks
    }
}

impl RoundPlanner<'_> {
    /// Returns the copy with the largest gain, if that is at least the minimum.
    fn best_copy(&mut self) -> Option<CandidateCopy> {
        for layer in 0..self.layers.len() {
            if matches!(self.best_copies[layer], BestCopy::Outdated) {
                self.best_copies[layer] = BestCopy::Current(self.best_copy_of_layer(layer));
            }
        }
        let current = self.best_copies.iter().filter_map(|best| match best {
            BestCopy::Current(copy) => copy.as_ref(),
            BestCopy::Outdated => None,
        });
        current
            .max_by(|a, b| a.gain.total_cmp(&b.gain))
            .filter(|copy| copy.gain >= self.limits.min_gain)
            .cloned()
    }

    fn best_copy_of_layer(&self, layer_index: usize) -> Option<CandidateCopy> {
        let layer = &self.layers[layer_index];
        let hottest = layer.hottest_rank()?;
        let experts = layer.candidate_experts(hottest);
        let copies = experts.into_iter().flat_map(|expert| {
            let may_move =
                layer.slowdown(hottest) > 1.0 && !layer.planned_copies.contains(&(expert, hottest));
            let moved = may_move.then_some(hottest);
            let copy = self.copy_to_coolest(layer_index, expert, None);
            let relocation = moved.and_then(|_| self.copy_to_coolest(layer_index, expert, moved));
            copy.into_iter().chain(relocation)
        });
        copies.max_by(|a, b| a.gain.total_cmp(&b.gain))
    }

    /// Returns the copy of an expert to the coolest rank that the limits allow.
    fn copy_to_coolest(
        &self,
        layer_index: usize,
        expert: ExpertId,
        moved_from: Option<RankId>,
    ) -> Option<CandidateCopy> {
        let layer = &self.layers[layer_index];
        let coolest = (0..self.copies_by_rank.len())
            .filter(|rank| self.copies_by_rank[*rank] < self.limits.copies_per_rank)
            .filter_map(|rank| u16::try_from(rank).ok().map(RankId))
            .filter(|rank| !layer.map.holders[expert.index()].contains(rank))
            .filter(|rank| layer.copies_planned_to(*rank) < self.limits.copies_per_layer)
            .min_by(|a, b| layer.rank_times[a.index()].total_cmp(&layer.rank_times[b.index()]))?;
        let full = layer.slots_used[coolest.index()] >= self.limits.slots_per_rank;
        let dropped = if full {
            Some(layer.cheapest_to_drop(coolest)?)
        } else {
            None
        };
        let rank_times = layer.times_with(expert, coolest, dropped, moved_from);
        let gain = (smooth_max(&layer.rank_times) - smooth_max(&rank_times)) / layer.mean;
        Some(CandidateCopy {
            gain,
            layer: layer_index,
            expert,
            destination: coolest,
            dropped,
            moved_from,
            rank_times,
        })
    }

    /// Adds a copy to the plan and invalidates the cached copies that depend on it.
    fn apply(&mut self, copy: CandidateCopy) {
        let layer = &mut self.layers[copy.layer];
        layer.map.holders[copy.expert.index()].push(copy.destination);
        layer.planned_copies.push((copy.expert, copy.destination));
        match copy.dropped {
            Some(dropped) => {
                layer.map.holders[dropped.index()].retain(|rank| *rank != copy.destination);
            }
            None => layer.slots_used[copy.destination.index()] += 1,
        }
        if let Some(rank) = copy.moved_from {
            layer.map.holders[copy.expert.index()].retain(|holder| *holder != rank);
            layer.slots_used[rank.index()] -= 1;
        }
        layer.rank_times = copy.rank_times;
        self.copies_by_rank[copy.destination.index()] += 1;
        self.best_copies[copy.layer] = BestCopy::Outdated;
        if self.copies_by_rank[copy.destination.index()] >= self.limits.copies_per_rank {
            for best in &mut self.best_copies {
                if matches!(best, BestCopy::Current(Some(other)) if other.destination == copy.destination)
                {
                    *best = BestCopy::Outdated;
                }
            }
        }
    }
}

/// Exponent of the norm that approximates the largest rank load.
///
/// It is high enough that the hottest ranks dominate, and low enough that a copy
/// counts as a gain even if another rank stays equally hot.
const SMOOTH_MAX_EXPONENT: i32 = 16;

/// Returns a smooth approximation of the largest rank load.
fn smooth_max(loads: &[f64]) -> f64 {
    let largest = loads.iter().copied().fold(0.0, f64::max);
    if largest <= 0.0 {
        return 0.0;
    }
    let sum: f64 = loads
        .iter()
        .map(|load| (load / largest).powi(SMOOTH_MAX_EXPONENT))
        .sum();
    largest * sum.powf(1.0 / f64::from(SMOOTH_MAX_EXPONENT))
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f64(n: usize) -> f64 {
    n as f64
}

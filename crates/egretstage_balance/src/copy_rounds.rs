//! Waves of few copies, for groups whose demand shifts within seconds.
//!
//! Load pattern: every few seconds other experts come into demand, and one of
//! them alone may get several ranks' worth of tokens. A rank copies one expert
//! after the other, so a plan that is perfect but moves many is in force only
//! after the demand has moved on. A wave gives each rank at most a few copies,
//! all made at the same time, those first that take most load off the hottest
//! ranks; the next wave starts from what is then in force.

use crate::{ExpertId, RankId};
use smallvec::SmallVec;

/// Which ranks hold each expert of a layer; they share its tokens evenly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvenMap {
    ranks: u16,
    holders: Vec<SmallVec<[RankId; 4]>>,
}

impl EvenMap {
    /// Builds a map from the experts of each rank.
    ///
    /// Returns none if an expert is out of range, twice on a rank or on none.
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
        let whole = holders.iter().all(|holders| !holders.is_empty());
        whole.then_some(Self {
            ranks: u16::try_from(ranks.len()).ok()?,
            holders,
        })
    }

    /// Assigns the experts to the ranks in turn, a block to each rank.
    ///
    /// # Panics
    ///
    /// Panics without ranks or with more ranks than experts.
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

    /// Returns the load of each rank, given the load of each expert.
    #[must_use]
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        let mut ranks = vec![0.0; usize::from(self.ranks)];
        for (holders, load) in self.holders.iter().zip(loads) {
            let part = load / count(holders.len());
            for rank in holders {
                ranks[rank.index()] += part;
            }
        }
        ranks
    }
}

/// Limits of a wave.
#[derive(Clone, Copy, Debug)]
pub struct CopyRoundLimits {
    /// Copies that one rank makes, over all layers.
    pub copies_per_rank: u16,
    /// New experts of one layer on one rank.
    pub copies_per_layer: u16,
    /// Experts of one layer that a rank has room for.
    pub slots_per_rank: u16,
    /// Least part of the mean rank load that a copy must take off the hottest
    /// ranks of its layer.
    pub min_gain: f64,
}

/// Maps to reach with one wave of copies.
#[derive(Clone, Debug, PartialEq)]
pub struct CopyRound {
    /// The map of each layer.
    pub layers: Vec<EvenMap>,
    /// Copies in all.
    pub copies: u32,
    /// Mean over the layers of the largest over the mean rank load, before.
    pub skew_before: f64,
    /// The same with the maps of this wave.
    pub skew_after: f64,
}

/// Returns the mean over the layers of the largest over the mean rank load.
#[must_use]
pub fn mean_skew(layers: &[EvenMap], loads: &[Vec<f64>]) -> f64 {
    let skew = |(map, loads): (&EvenMap, &Vec<f64>)| crate::skew(&map.rank_loads(loads));
    let sum: f64 = layers.iter().zip(loads).map(skew).sum();
    sum / count(layers.len().max(1))
}

/// Plans the copies that take most load off the hottest ranks, if any pays.
///
/// `loads` holds the load of each expert, by layer.
#[must_use]
pub fn plan_copy_round(
    layers: &[EvenMap],
    loads: &[Vec<f64>],
    limits: &CopyRoundLimits,
) -> Option<CopyRound> {
    let mut planning = Planning {
        limits,
        layers: layers
            .iter()
            .zip(loads)
            .map(|(map, loads)| Layer::new(map, loads))
            .collect(),
        made: vec![0; layers.first().map_or(0, |map| usize::from(map.ranks))],
        best: vec![Best::Unknown; layers.len()],
    };
    let mut copies = 0;
    while let Some(copy) = planning.best() {
        planning.make(copy);
        copies += 1;
    }
    if copies == 0 {
        return None;
    }
    let planned: Vec<EvenMap> = planning.layers.into_iter().map(|layer| layer.map).collect();
    Some(CopyRound {
        copies,
        skew_before: mean_skew(layers, loads),
        skew_after: mean_skew(&planned, loads),
        layers: planned,
    })
}

/// A copy that could be made.
#[derive(Clone, Debug)]
struct Copy {
    gain: f64,
    layer: usize,
    expert: ExpertId,
    to: RankId,
    /// The expert that gives up its place.
    drops: Option<ExpertId>,
    rank_loads: Vec<f64>,
}

/// A layer with the copies planned so far.
struct Layer<'a> {
    map: EvenMap,
    loads: &'a [f64],
    rank_loads: Vec<f64>,
    mean: f64,
    held: Vec<u16>,
    added: Vec<(ExpertId, RankId)>,
}

struct Planning<'a> {
    limits: &'a CopyRoundLimits,
    layers: Vec<Layer<'a>>,
    /// Copies planned for each rank.
    made: Vec<u16>,
    /// The best copy of each layer.
    best: Vec<Best>,
}

/// The best copy of a layer, kept while nothing that it depends on changes.
#[derive(Clone, Debug)]
enum Best {
    Unknown,
    Known(Option<Copy>),
}

/// Experts of the hottest rank that are looked at: those with most load.
const CANDIDATES: usize = 2;

impl<'a> Layer<'a> {
    fn new(map: &EvenMap, loads: &'a [f64]) -> Self {
        let rank_loads = map.rank_loads(loads);
        let mean = rank_loads.iter().sum::<f64>() / count(rank_loads.len().max(1));
        let held = map.by_rank();
        let held = held
            .iter()
            .map(|held| u16::try_from(held.len()).unwrap_or(u16::MAX));
        Self {
            held: held.collect(),
            map: map.clone(),
            loads,
            rank_loads,
            mean,
            added: Vec::new(),
        }
    }

    /// Returns the part of an expert's load at each of its ranks.
    fn part(&self, expert: ExpertId) -> f64 {
        self.loads[expert.index()] / count(self.map.holders[expert.index()].len())
    }

    /// Returns the experts of the hottest rank with most load there.
    fn candidates(&self) -> SmallVec<[ExpertId; CANDIDATES]> {
        let idle = self.mean <= 0.0;
        let hottest = (0..self.rank_loads.len())
            .filter(|_| !idle)
            .max_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]));
        let Some(rank) = hottest
            .and_then(|rank| u16::try_from(rank).ok())
            .map(RankId)
        else {
            return SmallVec::new();
        };
        let holders = (0..).map(ExpertId).zip(&self.map.holders);
        let on_rank = holders.filter(|(_, holders)| holders.contains(&rank));
        let mut experts: Vec<ExpertId> = on_rank.map(|(expert, _)| expert).collect();
        experts.sort_by(|a, b| self.part(*b).total_cmp(&self.part(*a)));
        experts.into_iter().take(CANDIDATES).collect()
    }

    /// Returns the copies that are planned for a rank.
    fn made_on(&self, rank: RankId) -> u16 {
        let made = self.added.iter().filter(|(_, to)| *to == rank).count();
        u16::try_from(made).unwrap_or(u16::MAX)
    }

    /// Returns the expert of a rank whose place costs least.
    fn cheapest(&self, rank: RankId) -> Option<ExpertId> {
        let holders = (0..).map(ExpertId).zip(&self.map.holders);
        holders
            .filter(|(expert, holders)| {
                holders.len() > 1
                    && holders.contains(&rank)
                    && !self.added.contains(&(*expert, rank))
            })
            .map(|(expert, holders)| (self.part(expert) / count(holders.len() - 1), expert))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, expert)| expert)
    }

    /// Returns the rank loads with one more copy and one expert dropped.
    fn loads_with(&self, expert: ExpertId, to: RankId, drops: Option<ExpertId>) -> Vec<f64> {
        let mut ranks = self.rank_loads.clone();
        let holders = &self.map.holders[expert.index()];
        let load = self.loads[expert.index()];
        let part = load / count(holders.len() + 1);
        for rank in holders {
            ranks[rank.index()] += part - load / count(holders.len());
        }
        ranks[to.index()] += part;
        if let Some(dropped) = drops {
            let holders = &self.map.holders[dropped.index()];
            let load = self.loads[dropped.index()];
            let before = load / count(holders.len());
            let after = load / count(holders.len() - 1);
            for rank in holders.iter().filter(|rank| **rank != to) {
                ranks[rank.index()] += after - before;
            }
            ranks[to.index()] -= before;
        }
        ranks
    }
}

impl Planning<'_> {
    /// Returns the copy with the largest gain, if one pays.
    fn best(&mut self) -> Option<Copy> {
        for layer in 0..self.layers.len() {
            if matches!(self.best[layer], Best::Unknown) {
                self.best[layer] = Best::Known(self.best_of(layer));
            }
        }
        let known = self.best.iter().filter_map(|best| match best {
            Best::Known(copy) => copy.as_ref(),
            Best::Unknown => None,
        });
        known
            .max_by(|a, b| a.gain.total_cmp(&b.gain))
            .filter(|copy| copy.gain >= self.limits.min_gain)
            .cloned()
    }

    fn best_of(&self, layer: usize) -> Option<Copy> {
        let experts = self.layers[layer].candidates();
        let copies = experts.into_iter().filter_map(|e| self.copy(layer, e));
        copies.max_by(|a, b| a.gain.total_cmp(&b.gain))
    }

    /// Returns the copy of an expert to the coldest rank that may make it.
    fn copy(&self, layer_index: usize, expert: ExpertId) -> Option<Copy> {
        let layer = &self.layers[layer_index];
        let coldest = (0..self.made.len())
            .filter(|rank| self.made[*rank] < self.limits.copies_per_rank)
            .filter_map(|rank| u16::try_from(rank).ok().map(RankId))
            .filter(|rank| !layer.map.holders[expert.index()].contains(rank))
            .filter(|rank| layer.made_on(*rank) < self.limits.copies_per_layer)
            .min_by(|a, b| layer.rank_loads[a.index()].total_cmp(&layer.rank_loads[b.index()]))?;
        let full = layer.held[coldest.index()] >= self.limits.slots_per_rank;
        let drops = if full {
            Some(layer.cheapest(coldest)?)
        } else {
            None
        };
        let rank_loads = layer.loads_with(expert, coldest, drops);
        let gain = (smooth_largest(&layer.rank_loads) - smooth_largest(&rank_loads)) / layer.mean;
        Some(Copy {
            gain,
            layer: layer_index,
            expert,
            to: coldest,
            drops,
            rank_loads,
        })
    }

    fn make(&mut self, copy: Copy) {
        let layer = &mut self.layers[copy.layer];
        layer.map.holders[copy.expert.index()].push(copy.to);
        layer.added.push((copy.expert, copy.to));
        match copy.drops {
            Some(dropped) => {
                layer.map.holders[dropped.index()].retain(|rank| *rank != copy.to);
            }
            None => layer.held[copy.to.index()] += 1,
        }
        layer.rank_loads = copy.rank_loads;
        self.made[copy.to.index()] += 1;
        self.best[copy.layer] = Best::Unknown;
        if self.made[copy.to.index()] >= self.limits.copies_per_rank {
            for best in &mut self.best {
                if matches!(best, Best::Known(Some(other)) if other.to == copy.to) {
                    *best = Best::Unknown;
                }
            }
        }
    }
}

/// Power of the norm that stands for the hottest ranks: high enough that the
/// hottest decide, low enough that a copy counts which leaves two ranks as hot
/// as each other.
const NORM_POWER: i32 = 16;

/// Returns a smooth maximum of the rank loads.
fn smooth_largest(loads: &[f64]) -> f64 {
    let largest = loads.iter().copied().fold(0.0, f64::max);
    if largest <= 0.0 {
        return 0.0;
    }
    let sum: f64 = loads
        .iter()
        .map(|load| (load / largest).powi(NORM_POWER))
        .sum();
    largest * sum.powf(1.0 / f64::from(NORM_POWER))
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn count(n: usize) -> f64 {
    n as f64
}

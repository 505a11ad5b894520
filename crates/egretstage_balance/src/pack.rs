//! Placement of the experts from scratch, without regard to an earlier map.

use crate::{ExpertId, LayerMap, LayerShape, RankId, RawLayerMap, Replica, Share};
use smallvec::SmallVec;
use std::cmp::Reverse;

/// A placement under construction.
struct Packing {
    shape: LayerShape,
    /// The experts on each rank.
    held: Vec<Vec<ExpertId>>,
    rank_loads: Vec<f64>,
}

/// Replicates the hottest experts and packs all replicas from scratch.
///
/// Replicas are placed in descending order of load, each on the least loaded
/// rank. The load of each expert is split evenly among its replicas.
///
/// # Panics
///
/// Panics if the layer has fewer slots than experts, or if the length of
/// `loads` isn't the number of experts.
#[must_use]
pub fn replicate_and_pack(shape: LayerShape, loads: &[f64]) -> LayerMap {
    assert!(shape.slots() >= loads.len(), "each expert needs a slot");
    assert_eq!(
        loads.len(),
        usize::from(shape.experts),
        "each expert needs a load"
    );
    let counts = replica_counts(shape, loads);
    let replica_load = |e: &ExpertId| loads[e.index()] / f64::from(counts[e.index()]);
    let mut order: Vec<ExpertId> = (0..shape.experts).map(ExpertId).collect();
    order.sort_by(|a, b| replica_load(b).total_cmp(&replica_load(a)));
    let mut packing = Packing {
        shape,
        held: vec![Vec::new(); usize::from(shape.ranks)],
        rank_loads: vec![0.0; usize::from(shape.ranks)],
    };
    for expert in order {
        for _ in 0..counts[expert.index()] {
            packing.place(expert, replica_load(&expert));
        }
    }
    packing.into_map()
}

/// Returns the number of replicas of each expert.
///
/// Each spare slot goes to the expert with the largest load per replica, up to
/// one replica per rank.
fn replica_counts(shape: LayerShape, loads: &[f64]) -> Vec<u16> {
    let mut counts = vec![1_u16; loads.len()];
    for _ in loads.len()..shape.slots() {
        let replica_load = |i: &usize| loads[*i] / f64::from(counts[*i]);
        let hottest = (0..loads.len())
            .filter(|i| counts[*i] < shape.ranks)
            .max_by(|a, b| replica_load(a).total_cmp(&replica_load(b)));
        match hottest {
            Some(index) => counts[index] += 1,
            None => break,
        }
    }
    counts
}

impl Packing {
    /// Places a replica on the least loaded rank that has a free slot and
    /// doesn't hold the expert.
    fn place(&mut self, expert: ExpertId, load: f64) {
        let slots = usize::from(self.shape.slots_per_rank);
        let eligible = |r: &usize| self.held[*r].len() < slots && !self.held[*r].contains(&expert);
        let rank = (0..self.held.len())
            .filter(eligible)
            .min_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]));
        if let Some(rank) = rank {
            self.held[rank].push(expert);
            self.rank_loads[rank] += load;
        } else {
            self.place_by_exchange(expert, load);
        }
    }

    /// Places a replica in a slot that is freed by moving another expert's
    /// replica to a rank with a free slot.
    ///
    /// A spare replica for which no such exchange exists is left out.
    fn place_by_exchange(&mut self, expert: ExpertId, load: f64) {
        let slots = usize::from(self.shape.slots_per_rank);
        let Some(free_rank) = (0..self.held.len()).find(|r| self.held[*r].len() < slots) else {
            return;
        };
        let found = (0..self.held.len())
            .filter(|r| !self.held[*r].contains(&expert))
            .find_map(|r| {
                let fits = |e: &ExpertId| !self.held[free_rank].contains(e);
                Some((r, self.held[r].iter().rposition(fits)?))
            });
        if let Some((rank, position)) = found {
            let moved = std::mem::replace(&mut self.held[rank][position], expert);
            self.held[free_rank].push(moved);
            self.rank_loads[free_rank] += load;
        }
    }

    fn into_map(self) -> LayerMap {
        let mut ranks = vec![SmallVec::<[RankId; 4]>::new(); usize::from(self.shape.experts)];
        for (rank, held) in (0..).map(RankId).zip(&self.held) {
            for expert in held {
                ranks[expert.index()].push(rank);
            }
        }
        let raw = RawLayerMap {
            shape: self.shape,
            experts: ranks
                .into_iter()
                .map(|ranks| evenly_shared(&ranks))
                .collect(),
        };
        LayerMap::try_from(raw).expect("packing yields a valid map")
    }
}

/// Returns a replica on each rank, with even shares.
fn evenly_shared(ranks: &[RankId]) -> SmallVec<[Replica; 4]> {
    let count = u16::try_from(ranks.len()).expect("an expert has at most one replica per rank");
    let (share, remainder) = (Share::WHOLE.0 / count, Share::WHOLE.0 % count);
    let mut replicas: SmallVec<[Replica; 4]> = (0..)
        .zip(ranks)
        .map(|(index, rank)| Replica {
            rank: *rank,
            share: Share(share + u16::from(index < remainder)),
        })
        .collect();
    replicas.sort_unstable_by_key(|r| Reverse(r.share));
    replicas
}

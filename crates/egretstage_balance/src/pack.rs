//! Replicates and packs experts from scratch.

use crate::{ExpertId, LayerMap, LayerShape, RankId, RawLayerMap, Replica, Share};
use smallvec::SmallVec;
use std::cmp::Reverse;

/// A placement under construction.
struct Packing {
    shape: LayerShape,
    held: Vec<Vec<ExpertId>>,
    rank_loads: Vec<f64>,
}

/// Replicates the hottest experts and packs all replicas from scratch.
///
/// Each expert's load is split evenly among its replicas.
///
/// # Panics
///
/// Panics if the layer has fewer slots than experts or `loads` has another
/// length than the layer has experts.
#[must_use]
pub fn replicate_and_pack(shape: LayerShape, loads: &[f64]) -> LayerMap {
    assert!(shape.slots() >= loads.len(), "each expert needs a slot");
    assert_eq!(
        loads.len(),
        usize::from(shape.experts),
        "one load an expert"
    );
    let counts = replica_counts(shape, loads);
    let part = |e: &ExpertId| loads[e.index()] / f64::from(counts[e.index()]);
    let mut order: Vec<ExpertId> = (0..shape.experts).map(ExpertId).collect();
    order.sort_by(|a, b| part(b).total_cmp(&part(a)));
    let mut packing = Packing {
        shape,
        held: vec![Vec::new(); usize::from(shape.ranks)],
        rank_loads: vec![0.0; usize::from(shape.ranks)],
    };
    for expert in order {
        for _ in 0..counts[expert.index()] {
            packing.place(expert, part(&expert));
        }
    }
    packing.into_map()
}

/// Gives each spare slot to the expert with the largest load a replica.
fn replica_counts(shape: LayerShape, loads: &[f64]) -> Vec<u16> {
    let mut counts = vec![1_u16; loads.len()];
    for _ in loads.len()..shape.slots() {
        let part = |i: &usize| loads[*i] / f64::from(counts[*i]);
        let hottest = (0..loads.len())
            .filter(|i| counts[*i] < shape.ranks)
            .max_by(|a, b| part(a).total_cmp(&part(b)));
        match hottest {
            Some(index) => counts[index] += 1,
            None => break,
        }
    }
    counts
}

impl Packing {
    /// Puts a replica on the least loaded rank that may take it.
    fn place(&mut self, expert: ExpertId, load: f64) {
        let slots = usize::from(self.shape.slots_per_rank);
        let open = |r: &usize| self.held[*r].len() < slots && !self.held[*r].contains(&expert);
        let rank = (0..self.held.len())
            .filter(open)
            .min_by(|a, b| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]));
        if let Some(rank) = rank {
            self.held[rank].push(expert);
            self.rank_loads[rank] += load;
        } else {
            self.place_by_exchange(expert, load);
        }
    }

    /// Frees a slot on a rank without the expert: one of its replicas goes to
    /// a rank with a free slot.
    ///
    /// A spare replica for which no exchange exists is left out.
    fn place_by_exchange(&mut self, expert: ExpertId, load: f64) {
        let slots = usize::from(self.shape.slots_per_rank);
        let Some(open) = (0..self.held.len()).find(|r| self.held[*r].len() < slots) else {
            return;
        };
        let found = (0..self.held.len())
            .filter(|r| !self.held[*r].contains(&expert))
            .find_map(|r| {
                let fits = |e: &ExpertId| !self.held[open].contains(e);
                Some((r, self.held[r].iter().rposition(fits)?))
            });
        if let Some((rank, position)) = found {
            let moved = std::mem::replace(&mut self.held[rank][position], expert);
            self.held[open].push(moved);
            self.rank_loads[open] += load;
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
            experts: ranks.into_iter().map(|ranks| even(&ranks)).collect(),
        };
        LayerMap::try_from(raw).expect("packing keeps the rules of the map")
    }
}

/// Returns replicas with even shares.
fn even(ranks: &[RankId]) -> SmallVec<[Replica; 4]> {
    let count = u16::try_from(ranks.len()).expect("an expert has at most one replica a rank");
    let (part, rest) = (Share::WHOLE.0 / count, Share::WHOLE.0 % count);
    let mut replicas: SmallVec<[Replica; 4]> = (0..)
        .zip(ranks)
        .map(|(index, rank)| Replica {
            rank: *rank,
            share: Share(part + u16::from(index < rest)),
        })
        .collect();
    replicas.sort_unstable_by_key(|r| Reverse(r.share));
    replicas
}

//! Baseline that swaps experts between the hottest and the coolest rank.

use super::replan::moves_between;
use crate::{ExpertId, LayerMap, Plan, PlanContext, Planner, RankId, RawLayerMap, Replica, skew};

/// Maximum number of swaps in one plan.
const MAX_SWAPS: usize = 16;

/// Swaps an expert of the hottest rank with one of the coolest rank, repeatedly
/// while this lowers the larger of the two loads.
#[derive(Clone, Copy, Debug, Default)]
pub struct GreedySwaps;

/// An exchange of replicas between two ranks.
#[derive(Clone, Copy, Debug)]
struct Swap {
    hot: RankId,
    cool: RankId,
    hot_expert: ExpertId,
    cool_expert: ExpertId,
}

impl Planner for GreedySwaps {
    fn plan(&mut self, cx: &PlanContext<'_>) -> Plan {
        let mut target = cx.map.clone();
        let before = skew(&target.rank_loads(cx.loads));
        for _ in 0..MAX_SWAPS {
            match best_swap(&target, cx.loads) {
                Some(swap) => target = apply(target, swap),
                None => break,
            }
        }
        let after = skew(&target.rank_loads(cx.loads));
        Plan {
            moves: moves_between(cx.map, &target),
            target,
            gain_points: (before - after) * 100.0,
        }
    }
}

fn best_swap(map: &LayerMap, loads: &[f64]) -> Option<Swap> {
    let rank_loads = map.rank_loads(loads);
    let by_load = |a: &RankId, b: &RankId| {
        let (a, b) = (rank_loads[a.index()], rank_loads[b.index()]);
        a.total_cmp(&b)
    };
    let ranks = || (0..map.shape().ranks).map(RankId);
    let hot = ranks().max_by(by_load)?;
    let cool = ranks().min_by(by_load)?;
    let (hot_load, cool_load) = (rank_loads[hot.index()], rank_loads[cool.index()]);
    let mut best = None;
    let mut lowest_max = hot_load;
    for (hot_expert, hot_expert_load) in exclusive_experts(map, loads, hot, cool) {
        for (cool_expert, cool_expert_load) in exclusive_experts(map, loads, cool, hot) {
            let load_moved = hot_expert_load - cool_expert_load;
            let larger = (hot_load - load_moved).max(cool_load + load_moved);
            if larger < lowest_max {
                lowest_max = larger;
                best = Some(Swap {
                    hot,
                    cool,
                    hot_expert,
                    cool_expert,
                });
            }
        }
    }
    best
}

/// Returns the experts that are on one rank and not on another, with their
/// loads on the first.
fn exclusive_experts(
    map: &LayerMap,
    loads: &[f64],
    on: RankId,
    not_on: RankId,
) -> Vec<(ExpertId, f64)> {
    let expert_load = |(expert, replicas): (ExpertId, &[Replica])| {
        let replica = replicas.iter().find(|r| r.rank == on)?;
        (!map.holds(not_on, expert))
            .then(|| (expert, loads[expert.index()] * replica.share.fraction()))
    };
    map.iter().filter_map(expert_load).collect()
}

fn apply(map: LayerMap, swap: Swap) -> LayerMap {
    let mut raw = RawLayerMap::from(map);
    let mut relocate = |expert: ExpertId, from: RankId, to: RankId| {
        for replica in &mut raw.experts[expert.index()] {
            if replica.rank == from {
                replica.rank = to;
            }
        }
    };
    relocate(swap.hot_expert, swap.hot, swap.cool);
    relocate(swap.cool_expert, swap.cool, swap.hot);
    LayerMap::try_from(raw).expect("a swap leaves the map valid")
}

//! The baseline that swaps experts between the hottest and coolest ranks.

use super::replan::moves_between;
use crate::{ExpertId, LayerMap, Plan, PlanContext, Planner, RankId, RawLayerMap, Replica, skew};

/// Most swaps in one plan.
const MAX_SWAPS: usize = 16;

/// Swaps one expert of the hottest rank with one of the coolest while that
/// lowers the larger of the two loads.
#[derive(Clone, Copy, Debug, Default)]
pub struct GreedySwaps;

/// An exchange of two replicas between two ranks.
#[derive(Clone, Copy, Debug)]
struct Swap {
    hot: RankId,
    cool: RankId,
    from_hot: ExpertId,
    from_cool: ExpertId,
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
    let mut lowest = hot_load;
    for (from_hot, heavy) in parts(map, loads, hot, cool) {
        for (from_cool, light) in parts(map, loads, cool, hot) {
            let moved = heavy - light;
            let larger = (hot_load - moved).max(cool_load + moved);
            if larger < lowest {
                lowest = larger;
                best = Some(Swap {
                    hot,
                    cool,
                    from_hot,
                    from_cool,
                });
            }
        }
    }
    best
}

/// Returns the experts on one rank and not on another, with their loads there.
fn parts(map: &LayerMap, loads: &[f64], on: RankId, not_on: RankId) -> Vec<(ExpertId, f64)> {
    let part = |(expert, replicas): (ExpertId, &[Replica])| {
        let replica = replicas.iter().find(|r| r.rank == on)?;
        (!map.holds(not_on, expert))
            .then(|| (expert, loads[expert.index()] * replica.share.fraction()))
    };
    map.iter().filter_map(part).collect()
}

fn apply(map: LayerMap, swap: Swap) -> LayerMap {
    let mut raw = RawLayerMap::from(map);
    let mut shift = |expert: ExpertId, from: RankId, to: RankId| {
        for replica in &mut raw.experts[expert.index()] {
            if replica.rank == from {
                replica.rank = to;
            }
        }
    };
    shift(swap.from_hot, swap.hot, swap.cool);
    shift(swap.from_cool, swap.cool, swap.hot);
    LayerMap::try_from(raw).expect("a swap keeps the rules of the map")
}

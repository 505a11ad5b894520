//! Baseline that plans from scratch.

use crate::{LayerMap, Move, Plan, PlanContext, Planner, RankId, replicate_and_pack, skew};

/// Replicates and packs all experts from scratch, without regard to the byte
/// budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct FullReplan;

impl Planner for FullReplan {
    fn plan(&mut self, cx: &PlanContext<'_>) -> Plan {
        let target = replicate_and_pack(cx.map.shape(), cx.loads);
        let before = skew(&cx.map.rank_loads(cx.loads));
        let after = skew(&target.rank_loads(cx.loads));
        Plan {
            moves: moves_between(cx.map, &target),
            target,
            gain_points: (before - after) * 100.0,
        }
    }
}

/// Returns the moves that lead from one map to another.
///
/// Each move overwrites an expert that the target map no longer has on the
/// rank, as long as there is one.
pub(crate) fn moves_between(from: &LayerMap, to: &LayerMap) -> Vec<Move> {
    let mut moves = Vec::new();
    for rank in (0..from.shape().ranks).map(RankId) {
        let held = |map: &LayerMap| {
            let on_rank = |(expert, _): &(_, &[_])| map.holds(rank, *expert);
            map.iter()
                .filter(on_rank)
                .map(|(e, _)| e)
                .collect::<Vec<_>>()
        };
        let (before, after) = (held(from), held(to));
        let mut overwritable = before.iter().filter(|e| !after.contains(e)).copied();
        for expert in after.iter().filter(|e| !before.contains(e)) {
            let (expert, replaces) = (*expert, overwritable.next());
            moves.push(Move {
                expert,
                rank,
                replaces,
            });
        }
    }
    moves
}

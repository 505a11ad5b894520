//! The planner that moves weights only if the reduced skew is worth the bytes.

use crate::level::ReplicaLoads;
use crate::{BalanceTradeoff, ExpertId, Move, Plan, PlanContext, Planner, RankId, Sharing};
use smallvec::SmallVec;

/// Most loaded experts of the hottest rank that are considered for a copy.
const MAX_HOT_EXPERTS: usize = 4;

/// Coolest ranks that are considered as the destination of each expert.
const MAX_COOL_RANKS: usize = 6;

/// Coolest ranks that are considered if no copy to the first
/// [`MAX_COOL_RANKS`] helps.
const MAX_COOL_RANKS_EXTENDED: usize = 48;

/// Levelling sweeps before the penalty of a candidate copy is computed.
const TRIAL_SWEEPS: usize = 8;

/// Levels the shares in each plan and copies an expert only if that pays off.
///
/// A copy takes an expert of the hottest rank to a cool one, into a free slot
/// or over a replica that its expert doesn't need. Copies are chosen greedily,
/// one at a time; the plan keeps the prefix with the largest skew reduction
/// net of the cost of its bytes.
#[derive(Clone, Copy, Debug)]
pub struct IncrementalPlanner {
    tradeoff: BalanceTradeoff,
    sharing: Sharing,
}

impl IncrementalPlanner {
    /// Creates a planner with the trade-off of a group.
    #[must_use]
    pub fn new(tradeoff: BalanceTradeoff, sharing: Sharing) -> Self {
        Self { tradeoff, sharing }
    }

    /// Returns the copies that pay off and the skew that they remove, in
    /// percentage points.
    fn choose(&self, cx: &PlanContext<'_>) -> (Vec<Move>, f64) {
        let mut replica_loads = ReplicaLoads::new(cx.map, cx.horizon_loads, self.sharing);
        replica_loads.level_all();
        let before = skew_points(&replica_loads);
        let max_moves = cx
            .budget_moves()
            .min(usize::from(self.tradeoff.settings().max_moves));
        let mut moves = Vec::new();
        // Number of moves, net gain and gain of the best prefix.
        let mut best_prefix = (0, 0.0, 0.0);
        while moves.len() < max_moves && self.may_pay_off(cx, &replica_loads) {
            let Some(best) = best_copy(&replica_loads, &moves) else {
                break;
            };
            apply(&mut replica_loads, best);
            replica_loads.level_all();
            moves.push(best);
            let gain = before - skew_points(&replica_loads);
            let bytes = cx.expert_bytes.saturating_mul(moves.len() as u64);
            let net_gain = gain - self.tradeoff.cost_points(bytes);
            if net_gain > best_prefix.1 {
                best_prefix = (moves.len(), net_gain, gain);
            }
        }
        moves.truncate(best_prefix.0);
        (moves, best_prefix.2)
    }

    /// Returns whether a copy that removed all skew would pay off.
    fn may_pay_off(&self, cx: &PlanContext<'_>, replica_loads: &ReplicaLoads) -> bool {
        let points = skew_points(replica_loads);
        let tolerated = self.tradeoff.settings().tolerated_points;
        points > tolerated && points > self.tradeoff.cost_points(cx.expert_bytes)
    }
}

impl Planner for IncrementalPlanner {
    fn plan(&mut self, cx: &PlanContext<'_>) -> Plan {
        let (moves, gain_points) = self.choose(cx);
        let mut replica_loads = ReplicaLoads::new(cx.map, cx.loads, self.sharing);
        for m in &moves {
            apply(&mut replica_loads, *m);
        }
        replica_loads.level_all();
        Plan {
            target: replica_loads
                .to_map()
                .expect("each copy leaves the map valid"),
            moves,
            gain_points,
        }
    }
}

/// Returns the skew above perfect balance, in percentage points.
fn skew_points(replica_loads: &ReplicaLoads) -> f64 {
    (replica_loads.skew() - 1.0) * 100.0
}

fn apply(replica_loads: &mut ReplicaLoads, m: Move) {
    if let Some(overwritten) = m.replaces {
        replica_loads.remove(overwritten, m.rank);
    }
    replica_loads.add(m.expert, m.rank);
}

/// Returns the copy that lowers the penalty most, if any does.
fn best_copy(replica_loads: &ReplicaLoads, earlier_moves: &[Move]) -> Option<Move> {
    [MAX_COOL_RANKS, MAX_COOL_RANKS_EXTENDED]
        .into_iter()
        .find_map(|max_ranks| {
            best_candidate(
                replica_loads,
                candidates(replica_loads, earlier_moves, max_ranks),
            )
        })
}

fn best_candidate(replica_loads: &ReplicaLoads, candidates: Vec<Move>) -> Option<Move> {
    let mut lowest = penalty(replica_loads);
    let mut best = None;
    for candidate in candidates {
        let mut trial = replica_loads.clone();
        apply(&mut trial, candidate);
        trial.run_sweeps(TRIAL_SWEEPS);
        let penalty = penalty(&trial);
        if penalty < lowest {
            lowest = penalty;
            best = Some(candidate);
        }
    }
    best
}

/// Returns the sum over the ranks of the fourth power of the relative load
/// above the mean, which the hottest rank dominates.
fn penalty(replica_loads: &ReplicaLoads) -> f64 {
    let mean = replica_loads.mean();
    let excess = |load: &f64| (load / mean - 1.0).max(0.0).powi(4);
    replica_loads.rank_loads().iter().map(excess).sum()
}

/// Returns the candidate copies of the hottest rank's experts, each to the
/// `max_ranks` coolest ranks that can take it.
fn candidates(replica_loads: &ReplicaLoads, earlier_moves: &[Move], max_ranks: usize) -> Vec<Move> {
    let mut ranks: Vec<RankId> = (0..)
        .map(RankId)
        .take(replica_loads.rank_loads().len())
        .collect();
    let load = |rank: &RankId| replica_loads.rank_loads()[rank.index()];
    ranks.sort_by(|a, b| load(a).total_cmp(&load(b)));
    let Some(hottest) = ranks.last().copied() else {
        return Vec::new();
    };
    let copies = |expert: ExpertId| {
        let to_rank = move |rank: &RankId| copies_to(replica_loads, earlier_moves, expert, *rank);
        let feasible = ranks.iter().map(to_rank).filter(|moves| !moves.is_empty());
        feasible.take(max_ranks).flatten()
    };
    hot_experts(replica_loads, hottest)
        .into_iter()
        .flat_map(copies)
        .collect()
}

/// Returns the possible copies of an expert to a rank, one for each replica
/// that may be overwritten.
///
/// Returns no copy if the rank holds the expert or an earlier move of the plan
/// overwrites it there.
fn copies_to(
    replica_loads: &ReplicaLoads,
    earlier_moves: &[Move],
    expert: ExpertId,
    rank: RankId,
) -> SmallVec<[Move; 4]> {
    let overwrites_expert = |m: &Move| m.rank == rank && m.replaces == Some(expert);
    if replica_loads.experts_on(rank).contains(&expert)
        || earlier_moves.iter().any(overwrites_expert)
    {
        return SmallVec::new();
    }
    let copy = |replaces| Move {
        expert,
        rank,
        replaces,
    };
    if replica_loads.has_free_slot(rank) {
        return SmallVec::from_slice(&[copy(None)]);
    }
    let overwritable = overwritable_experts(replica_loads, rank, earlier_moves);
    overwritable
        .into_iter()
        .map(|overwritten| copy(Some(overwritten)))
        .collect()
}

/// Returns the most loaded experts of a rank, in descending order of load.
fn hot_experts(replica_loads: &ReplicaLoads, rank: RankId) -> SmallVec<[ExpertId; 8]> {
    let load = |expert: &ExpertId| {
        let on_rank = replica_loads
            .of_expert(*expert)
            .iter()
            .find(|r| r.rank == rank);
        on_rank.map_or(0.0, |r| r.load)
    };
    let mut experts: SmallVec<[ExpertId; 8]> = SmallVec::from_slice(replica_loads.experts_on(rank));
    experts.sort_by(|a, b| load(b).total_cmp(&load(a)));
    experts.truncate(MAX_HOT_EXPERTS);
    experts
}

/// Returns the experts of a rank whose replica there may be overwritten.
///
/// An expert must keep another replica. Copies of the same plan don't count,
/// because their weights aren't in place when the slot is overwritten.
fn overwritable_experts(
    replica_loads: &ReplicaLoads,
    rank: RankId,
    earlier_moves: &[Move],
) -> SmallVec<[ExpertId; 8]> {
    let copies_in_plan = |e: ExpertId| earlier_moves.iter().filter(|m| m.expert == e).count();
    let copied_here = |e: ExpertId| {
        earlier_moves
            .iter()
            .any(|m| m.rank == rank && m.expert == e)
    };
    let overwritable = |e: &&ExpertId| {
        replica_loads.of_expert(**e).len() > 1 + copies_in_plan(**e) && !copied_here(**e)
    };
    replica_loads
        .experts_on(rank)
        .iter()
        .filter(overwritable)
        .copied()
        .collect()
}

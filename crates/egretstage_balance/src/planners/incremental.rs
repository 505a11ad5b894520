//! The planner that moves only what pays.

use crate::level::Flows;
use crate::{BalanceTradeoff, ExpertId, Move, Plan, PlanContext, Planner, RankId, Sharing};
use smallvec::SmallVec;

/// Experts of the hottest rank that are tried.
const HOT_EXPERTS: usize = 4;

/// Coolest ranks that are tried as receivers of each expert.
const COOL_RANKS: usize = 6;

/// Coolest ranks that are tried when the first ones don't help.
const MORE_COOL_RANKS: usize = 48;

/// Levelling sweeps with which a candidate is judged.
const TRIAL_SWEEPS: usize = 8;

/// Levels shares at each plan and copies an expert only if that pays.
///
/// A copy goes from the hottest rank to a cool one, over a replica that its
/// expert can spare. Copies are tried one after the other; the plan keeps as
/// many of the first as make the most of skew taken away less the price of
/// the bytes.
#[derive(Clone, Copy, Debug)]
pub struct IncrementalPlanner {
    trade: BalanceTradeoff,
    sharing: Sharing,
}

impl IncrementalPlanner {
    /// Plans by a group's trade.
    #[must_use]
    pub fn new(trade: BalanceTradeoff, sharing: Sharing) -> Self {
        Self { trade, sharing }
    }

    /// Chooses the copies that pay, with the skew points they take away.
    fn choose(&self, cx: &PlanContext<'_>) -> (Vec<Move>, f64) {
        let mut flows = Flows::new(cx.map, cx.horizon_loads, self.sharing);
        flows.settle();
        let before = points(&flows);
        let most = cx
            .budget_moves()
            .min(usize::from(self.trade.settings().max_moves));
        let mut moves = Vec::new();
        let mut kept = (0, 0.0, 0.0);
        while moves.len() < most && self.may_pay(cx, &flows) {
            let Some(best) = best_copy(&flows, &moves) else {
                break;
            };
            apply(&mut flows, best);
            flows.settle();
            moves.push(best);
            let gain = before - points(&flows);
            let bytes = cx.expert_bytes.saturating_mul(moves.len() as u64);
            let net = gain - self.trade.cost_points(bytes);
            if net > kept.1 {
                kept = (moves.len(), net, gain);
            }
        }
        moves.truncate(kept.0);
        (moves, kept.2)
    }

    /// Tells whether a copy could pay even if it removed all skew.
    fn may_pay(&self, cx: &PlanContext<'_>, flows: &Flows) -> bool {
        let points = points(flows);
        let tolerated = self.trade.settings().tolerated_points;
        points > tolerated && points > self.trade.cost_points(cx.expert_bytes)
    }
}

impl Planner for IncrementalPlanner {
    fn plan(&mut self, cx: &PlanContext<'_>) -> Plan {
        let (moves, gain_points) = self.choose(cx);
        let mut flows = Flows::new(cx.map, cx.loads, self.sharing);
        for m in &moves {
            apply(&mut flows, *m);
        }
        flows.settle();
        Plan {
            target: flows
                .to_map()
                .expect("each copy keeps the rules of the map"),
            moves,
            gain_points,
        }
    }
}

/// Returns the skew in percentage points above a perfect balance.
fn points(flows: &Flows) -> f64 {
    (flows.skew() - 1.0) * 100.0
}

fn apply(flows: &mut Flows, m: Move) {
    if let Some(victim) = m.replaces {
        flows.remove(victim, m.rank);
    }
    flows.add(m.expert, m.rank);
}

/// Finds the copy that lowers the penalty most, if one does.
fn best_copy(flows: &Flows, earlier: &[Move]) -> Option<Move> {
    [COOL_RANKS, MORE_COOL_RANKS]
        .into_iter()
        .find_map(|reach| best_of(flows, candidates(flows, earlier, reach)))
}

fn best_of(flows: &Flows, candidates: Vec<Move>) -> Option<Move> {
    let mut lowest = penalty(flows);
    let mut best = None;
    for m in candidates {
        let mut trial = flows.clone();
        apply(&mut trial, m);
        trial.sweeps(TRIAL_SWEEPS);
        let penalty = penalty(&trial);
        if penalty < lowest {
            lowest = penalty;
            best = Some(m);
        }
    }
    best
}

/// Weighs each rank's load above the mean, the largest far more than the rest.
fn penalty(flows: &Flows) -> f64 {
    let mean = flows.mean();
    let excess = |load: &f64| (load / mean - 1.0).max(0.0).powi(4);
    flows.rank_loads().iter().map(excess).sum()
}

/// Returns copies from the hottest rank, each expert to the `reach` coolest
/// ranks that can take it.
fn candidates(flows: &Flows, earlier: &[Move], reach: usize) -> Vec<Move> {
    let mut ranks: Vec<RankId> = (0..).map(RankId).take(flows.rank_loads().len()).collect();
    let load = |rank: &RankId| flows.rank_loads()[rank.index()];
    ranks.sort_by(|a, b| load(a).total_cmp(&load(b)));
    let Some(hottest) = ranks.last().copied() else {
        return Vec::new();
    };
    let copies = |expert: ExpertId| {
        let to_rank = move |rank: &RankId| copies_to(flows, earlier, expert, *rank);
        let open = ranks.iter().map(to_rank).filter(|moves| !moves.is_empty());
        open.take(reach).flatten()
    };
    hot_experts(flows, hottest)
        .into_iter()
        .flat_map(copies)
        .collect()
}

/// Returns the ways to copy an expert to a rank.
fn copies_to(
    flows: &Flows,
    earlier: &[Move],
    expert: ExpertId,
    rank: RankId,
) -> SmallVec<[Move; 4]> {
    let overwritten = |m: &Move| m.rank == rank && m.replaces == Some(expert);
    if flows.held(rank).contains(&expert) || earlier.iter().any(overwritten) {
        return SmallVec::new();
    }
    let copy = |replaces| Move {
        expert,
        rank,
        replaces,
    };
    if flows.has_free_slot(rank) {
        return SmallVec::from_slice(&[copy(None)]);
    }
    let spare = spare_replicas(flows, rank, earlier);
    spare.into_iter().map(|victim| copy(Some(victim))).collect()
}

/// Returns the experts that load a rank most.
fn hot_experts(flows: &Flows, rank: RankId) -> SmallVec<[ExpertId; 8]> {
    let load = |expert: &ExpertId| {
        let on_rank = flows.flows(*expert).iter().find(|f| f.rank == rank);
        on_rank.map_or(0.0, |f| f.load)
    };
    let mut experts: SmallVec<[ExpertId; 8]> = SmallVec::from_slice(flows.held(rank));
    experts.sort_by(|a, b| load(b).total_cmp(&load(a)));
    experts.truncate(HOT_EXPERTS);
    experts
}

/// Returns the experts of a rank that can spare their replica there.
///
/// A copy of the same plan doesn't count as a replica: its weights aren't in
/// place when the slot is given up.
fn spare_replicas(flows: &Flows, rank: RankId, earlier: &[Move]) -> SmallVec<[ExpertId; 8]> {
    let copies = |e: ExpertId| earlier.iter().filter(|m| m.expert == e).count();
    let copied_here = |e: ExpertId| earlier.iter().any(|m| m.rank == rank && m.expert == e);
    let spare = |e: &&ExpertId| flows.flows(**e).len() > 1 + copies(**e) && !copied_here(**e);
    flows.held(rank).iter().filter(spare).copied().collect()
}

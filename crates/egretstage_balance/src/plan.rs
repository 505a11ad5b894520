//! What a planner sees and what it answers.

use crate::level::Flows;
use crate::{ExpertId, InvalidMap, LayerMap, RankId, Sharing};

/// What a planner knows of a layer.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext<'a> {
    /// The map in force.
    pub map: &'a LayerMap,
    /// Forecast load of each expert until the next plan.
    pub loads: &'a [f64],
    /// Forecast load of each expert over the horizon of a move.
    pub horizon_loads: &'a [f64],
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
    /// Most bytes that the plan may move.
    pub budget_bytes: u64,
}

impl PlanContext<'_> {
    /// Returns how many moves the budget allows.
    #[must_use]
    pub fn budget_moves(&self) -> usize {
        let moves = self.budget_bytes / self.expert_bytes.max(1);
        usize::try_from(moves).unwrap_or(usize::MAX)
    }
}

/// A copy of an expert's weights to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Move {
    /// The expert to copy.
    pub expert: ExpertId,
    /// The rank that receives it.
    pub rank: RankId,
    /// The expert that gives up its slot there.
    pub replaces: Option<ExpertId>,
}

/// A map to reach and the moves that lead to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The map when all moves are done.
    pub target: LayerMap,
    /// The moves, most useful first.
    pub moves: Vec<Move>,
    /// Skew that the plan takes away, in percentage points.
    pub gain_points: f64,
}

impl Plan {
    /// Returns a plan that moves no weights.
    #[must_use]
    pub fn without_moves(target: LayerMap) -> Self {
        Self {
            target,
            moves: Vec::new(),
            gain_points: 0.0,
        }
    }
}

/// Decides where the experts of a layer run.
pub trait Planner: Send {
    /// Plans one layer.
    fn plan(&mut self, cx: &PlanContext<'_>) -> Plan;
}

/// Returns the map without the replicas that moves will overwrite.
///
/// The shares are levelled over the replicas that stay.
///
/// # Errors
///
/// Returns [`InvalidMap::NoReplica`] when an expert would lose its last
/// replica.
pub fn without_overwritten_replicas(
    map: &LayerMap,
    moves: &[Move],
    loads: &[f64],
    sharing: Sharing,
) -> Result<LayerMap, InvalidMap> {
    let mut flows = Flows::new(map, loads, sharing);
    for m in moves {
        let Some(victim) = m.replaces.filter(|victim| map.holds(m.rank, *victim)) else {
            continue;
        };
        if flows.flows(victim).len() < 2 {
            return Err(InvalidMap::NoReplica { expert: victim });
        }
        flows.remove(victim, m.rank);
    }
    flows.settle();
    flows.to_map()
}

/// Returns the map with the replicas of finished moves, shares levelled.
///
/// # Errors
///
/// Returns an error when a move breaks a rule of the map.
pub fn with_added_replicas(
    map: &LayerMap,
    done: &[Move],
    loads: &[f64],
    sharing: Sharing,
) -> Result<LayerMap, InvalidMap> {
    let mut flows = Flows::new(map, loads, sharing);
    for m in done {
        flows.add(m.expert, m.rank);
    }
    flows.settle();
    flows.to_map()
}

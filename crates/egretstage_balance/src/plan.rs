//! The input and output of planners.

use crate::level::ReplicaLoads;
use crate::{ExpertId, InvalidMap, LayerMap, RankId, Sharing};

/// Input of a planner for one layer.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext<'a> {
    /// The active map.
    pub map: &'a LayerMap,
    /// Forecast load of each expert until the next plan.
    pub loads: &'a [f64],
    /// Forecast load of each expert over the time in which a move has to pay
    /// off.
    pub horizon_loads: &'a [f64],
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
    /// Maximum number of bytes that the plan may move.
    pub budget_bytes: u64,
}

impl PlanContext<'_> {
    /// Returns the number of moves that the budget allows.
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
    /// The expert whose weights are overwritten; `None` uses a free slot.
    pub replaces: Option<ExpertId>,
}

/// A target map and the moves that lead to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The map after all moves.
    pub target: LayerMap,
    /// The moves in order of execution, the most useful first.
    pub moves: Vec<Move>,
    /// Reduction of the skew, in percentage points.
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

/// Returns the map without the replicas that the moves will overwrite.
///
/// The shares are levelled over the remaining replicas.
///
/// # Errors
///
/// Returns [`InvalidMap::NoReplica`] if an expert would lose its last
/// replica.
pub fn without_overwritten_replicas(
    map: &LayerMap,
    moves: &[Move],
    loads: &[f64],
    sharing: Sharing,
) -> Result<LayerMap, InvalidMap> {
    let mut replica_loads = ReplicaLoads::new(map, loads, sharing);
    for m in moves {
        let Some(overwritten) = m
            .replaces
            .filter(|overwritten| map.holds(m.rank, *overwritten))
        else {
            continue;
        };
        if replica_loads.of_expert(overwritten).len() < 2 {
            return Err(InvalidMap::NoReplica {
                expert: overwritten,
            });
        }
        replica_loads.remove(overwritten, m.rank);
    }
    replica_loads.level_all();
    replica_loads.to_map()
}

/// Returns the map with the replicas of completed moves and levelled shares.
///
/// # Errors
///
/// Returns an error if a move makes the map invalid.
pub fn with_added_replicas(
    map: &LayerMap,
    completed: &[Move],
    loads: &[f64],
    sharing: Sharing,
) -> Result<LayerMap, InvalidMap> {
    let mut replica_loads = ReplicaLoads::new(map, loads, sharing);
    for m in completed {
        replica_loads.add(m.expert, m.rank);
    }
    replica_loads.level_all();
    replica_loads.to_map()
}

//! The policies.

use crate::{Candidate, Choice, Demand, RouteReason};
use egretstage_wire::NotRunReason;
use std::time::Duration;

/// When to come back if no upstream is known.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Chooses one of the candidates, or refuses.
pub trait RoutingPolicy: Send {
    /// Decides on one request.
    fn choose(&mut self, demand: &Demand, candidates: &[Candidate]) -> Choice;
}

/// Prefers the upstream with the fewest calls per slot, its own zone first.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastPredictedWait;

impl LeastPredictedWait {
    fn occupancy(candidate: &Candidate) -> u64 {
        let load = &candidate.load;
        let calls = u64::from(load.running + load.waiting + candidate.sent_since_report);
        let calls = calls.max(u64::from(candidate.own_in_flight));
        calls * 1000 / u64::from(load.slots.max(1))
    }
}

impl RoutingPolicy for LeastPredictedWait {
    fn choose(&mut self, _demand: &Demand, candidates: &[Candidate]) -> Choice {
        let best = candidates
            .iter()
            .enumerate()
            .min_by_key(|(_, c)| (Self::occupancy(c), !c.same_zone));
        match best {
            None => Choice::Refuse {
                reason: NotRunReason::NoUpstream,
                retry_after: NO_UPSTREAM_RETRY_AFTER,
            },
            Some((index, _)) if candidates.len() == 1 => Choice::Send {
                index,
                reason: RouteReason::OnlyCandidate,
            },
            Some((index, _)) => Choice::Send {
                index,
                reason: RouteReason::ShortestWait,
            },
        }
    }
}

//! Well-known routing policies, as baselines for [`PredictedFirstToken`].
//!
//! [`PredictedFirstToken`]: crate::PredictedFirstToken

use crate::{Candidate, Choice, Demand, RouteReason, RoutingPolicy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Chooses the candidates in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoutingPolicy for RoundRobin {
    fn choose(&mut self, _demand: &Demand, candidates: &[Candidate]) -> Choice {
        if candidates.is_empty() {
            return Choice::no_upstream();
        }
        let index = self.next % candidates.len();
        self.next = self.next.wrapping_add(1);
        Choice::Send {
            index,
            reason: RouteReason::NextInTurn,
        }
    }
}

/// Chooses a candidate uniformly at random.
#[derive(Clone, Debug)]
pub struct RandomChoice {
    rng: ChaCha8Rng,
}

impl RandomChoice {
    /// Creates the policy with a seed for its random draws.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { rng }
    }
}

impl RoutingPolicy for RandomChoice {
    fn choose(&mut self, _demand: &Demand, candidates: &[Candidate]) -> Choice {
        if candidates.is_empty() {
            return Choice::no_upstream();
        }
        Choice::Send {
            index: self.rng.random_range(0..candidates.len()),
            reason: RouteReason::Random,
        }
    }
}

/// Chooses the candidate whose last report shows the fewest calls per slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl RoutingPolicy for LeastLoaded {
    fn choose(&mut self, _demand: &Demand, candidates: &[Candidate]) -> Choice {
        let least_loaded =
            (0..candidates.len()).min_by_key(|index| calls_per_thousand_slots(&candidates[*index]));
        least_loaded.map_or_else(Choice::no_upstream, |index| Choice::Send {
            index,
            reason: RouteReason::LeastLoaded,
        })
    }
}

/// Draws two candidates at random and chooses the one whose last report shows
/// fewer calls per slot.
#[derive(Clone, Debug)]
pub struct PowerOfTwo {
    rng: ChaCha8Rng,
}

impl PowerOfTwo {
    /// Creates the policy with a seed for its random draws.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { rng }
    }
}

impl RoutingPolicy for PowerOfTwo {
    fn choose(&mut self, _demand: &Demand, candidates: &[Candidate]) -> Choice {
        if candidates.is_empty() {
            return Choice::no_upstream();
        }
        let first = self.rng.random_range(0..candidates.len());
        let second = self.rng.random_range(0..candidates.len());
        let second_is_less_loaded = calls_per_thousand_slots(&candidates[second])
            < calls_per_thousand_slots(&candidates[first]);
        Choice::Send {
            index: if second_is_less_loaded { second } else { first },
            reason: RouteReason::LeastLoaded,
        }
    }
}

/// Returns the reported calls per thousand slots.
fn calls_per_thousand_slots(candidate: &Candidate) -> u64 {
    let load = &candidate.load;
    u64::from(load.running + load.waiting) * 1000 / u64::from(load.slots.max(1))
}

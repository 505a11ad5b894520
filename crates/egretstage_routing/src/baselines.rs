//! Well-known policies that the product's own is measured against.

use crate::{Candidate, Choice, Demand, RouteReason, RoutingPolicy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Takes the candidates in turn.
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

/// Draws a candidate at random.
#[derive(Clone, Debug)]
pub struct RandomChoice {
    rng: ChaCha8Rng,
}

impl RandomChoice {
    /// Starts the draws at a seed.
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

/// Takes the candidate whose newest report shows the fewest calls a slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl RoutingPolicy for LeastLoaded {
    fn choose(&mut self, _demand: &Demand, candidates: &[Candidate]) -> Choice {
        let least = (0..candidates.len()).min_by_key(|index| reported_load(&candidates[*index]));
        least.map_or_else(Choice::no_upstream, |index| Choice::Send {
            index,
            reason: RouteReason::LeastLoaded,
        })
    }
}

/// Draws two candidates and takes the one whose newest report shows the fewest
/// calls a slot.
#[derive(Clone, Debug)]
pub struct PowerOfTwo {
    rng: ChaCha8Rng,
}

impl PowerOfTwo {
    /// Starts the draws at a seed.
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
        let less = reported_load(&candidates[second]) < reported_load(&candidates[first]);
        Choice::Send {
            index: if less { second } else { first },
            reason: RouteReason::LeastLoaded,
        }
    }
}

/// Returns the reported calls for each thousand slots.
fn reported_load(candidate: &Candidate) -> u64 {
    let load = &candidate.load;
    u64::from(load.running + load.waiting) * 1000 / u64::from(load.slots.max(1))
}

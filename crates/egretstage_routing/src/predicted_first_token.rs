//! The default policy: the earliest predicted first token of a sample.

use crate::{Candidate, Choice, Demand, Prediction, RouteReason, RoutingPolicy};
use egretstage_wire::NotRunReason;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::time::Duration;

/// Parameters of [`PredictedFirstToken`].
#[derive(Clone, Copy, Debug)]
pub struct PredictedFirstTokenParams {
    /// Number of candidates drawn for a request. Entries draw different ones, so
    /// that they don't all follow the same report.
    pub sample_size: usize,
    /// Time by which the first token from another availability zone must be
    /// earlier to be preferred to one from the entry's own.
    pub other_zone_penalty: Duration,
    /// Time by which the first token from a full upstream must be earlier to be
    /// preferred to that of an idle one, which generates tokens faster. A partly
    /// occupied upstream gets a penalty in proportion.
    pub full_load_penalty: Duration,
    /// Minimum retry time of a refused caller.
    pub min_retry_after: Duration,
    /// Maximum retry time of a refused caller.
    pub max_retry_after: Duration,
}

impl Default for PredictedFirstTokenParams {
    fn default() -> Self {
        Self {
            sample_size: 4,
            other_zone_penalty: Duration::from_millis(10),
            full_load_penalty: Duration::from_millis(40),
            min_retry_after: Duration::from_millis(100),
            max_retry_after: Duration::from_secs(30),
        }
    }
}

/// Chooses the candidate with the earliest predicted first token among a random
/// sample and the candidate with the longest cached prefix.
#[derive(Clone, Debug)]
pub struct PredictedFirstToken {
    params: PredictedFirstTokenParams,
    rng: ChaCha8Rng,
}

/// Indexes of candidates.
type Indexes = SmallVec<[usize; 16]>;

impl PredictedFirstToken {
    /// Creates the policy with a seed for its random draws.
    #[must_use]
    pub fn new(params: PredictedFirstTokenParams, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { params, rng }
    }

    /// Returns the candidates that may get the request now.
    ///
    /// Those that refuse the organisation are excluded. Those with an admitted
    /// share below 1 are included with that probability; if none is left, the
    /// share is ignored.
    fn eligible(&mut self, candidates: &[Candidate]) -> Indexes {
        let rng = &mut self.rng;
        let mut admitted = |share: f32| share >= 1.0 || rng.random::<f32>() < share;
        let indexes = 0..candidates.len();
        let unblocked: Indexes = indexes
            .filter(|index| candidates[*index].blocked_ms == 0)
            .collect();
        let eligible: Indexes = unblocked
            .iter()
            .copied()
            .filter(|index| admitted(candidates[*index].admitted_share))
            .collect();
        if eligible.is_empty() {
            unblocked
        } else {
            eligible
        }
    }

    /// Draws a sample of the eligible candidates. The one with the longest cached
    /// prefix is always included.
    fn draw_sample(&mut self, eligible: &Indexes, candidates: &[Candidate]) -> Indexes {
        if eligible.len() <= self.params.sample_size {
            return eligible.clone();
        }
        let mut remaining = eligible.clone();
        let mut sample = Indexes::new();
        for _ in 0..self.params.sample_size {
            let drawn = self.rng.random_range(0..remaining.len());
            sample.push(remaining.swap_remove(drawn));
        }
        let cached = |index: &usize| candidates[*index].cached_tokens;
        sample.extend(
            remaining
                .iter()
                .copied()
                .max_by_key(cached)
                .filter(|i| cached(i) > 0),
        );
        sample
    }

    /// Returns the cost of sending a request to a candidate.
    fn cost(&self, demand: &Demand, candidate: &Candidate) -> Cost {
        let prediction = Prediction::new(demand, candidate);
        let zone_penalty = if candidate.same_zone {
            Duration::ZERO
        } else {
            self.params.other_zone_penalty
        };
        let first_token = Duration::from_micros(u64::from(prediction.first_token_us));
        let load_penalty = self.params.full_load_penalty * prediction.occupancy_milli / 1000;
        Cost {
            lateness: prediction.time_to_finish().saturating_sub(demand.budget),
            first_token: first_token + zone_penalty + load_penalty,
        }
    }

    /// Refuses a request, with a retry time within the limits.
    fn refuse(&self, reason: NotRunReason, after: Duration) -> Choice {
        let retry_after = after.clamp(self.params.min_retry_after, self.params.max_retry_after);
        Choice::Refuse {
            reason,
            retry_after,
        }
    }

    /// Returns the candidate with the lowest cost, and that cost.
    fn lowest_cost(&self, demand: &Demand, indexes: &Indexes, all: &[Candidate]) -> (usize, Cost) {
        let costs = indexes.iter().map(|i| (*i, self.cost(demand, &all[*i])));
        costs
            .min_by(|a, b| a.1.cmp(&b.1))
            .expect("at least one candidate is compared")
    }
}

/// Cost of sending a request to a candidate. Lateness is compared first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// Time by which the predicted answer misses the deadline.
    lateness: Duration,
    /// Predicted time until the first token, plus the penalties for another zone
    /// and for load.
    first_token: Duration,
}

impl RoutingPolicy for PredictedFirstToken {
    fn choose(&mut self, demand: &Demand, candidates: &[Candidate]) -> Choice {
        if candidates.is_empty() {
            return Choice::no_upstream();
        }
        let eligible = self.eligible(candidates);
        if eligible.is_empty() {
            let min_blocked_ms = candidates.iter().map(|c| c.blocked_ms).min().unwrap_or(0);
            let after = Duration::from_millis(u64::from(min_blocked_ms));
            return self.refuse(NotRunReason::Overloaded, after);
        }
        let sample = self.draw_sample(&eligible, candidates);
        let (mut index, cost) = self.lowest_cost(demand, &sample, candidates);
        let mut reason = RouteReason::EarliestFirstToken;
        if !cost.lateness.is_zero() {
            (index, _) = self.lowest_cost(demand, &eligible, candidates);
            reason = RouteReason::InTime;
        }
        let service_time = Prediction::new(demand, &candidates[index]).service_time();
        if service_time > demand.budget {
            let overrun = service_time.saturating_sub(demand.budget);
            return self.refuse(NotRunReason::DeadlineTooClose, overrun);
        }
        if candidates.len() == 1 {
            reason = RouteReason::OnlyCandidate;
        } else if candidates[index].cached_tokens > 0 && reason == RouteReason::EarliestFirstToken {
            reason = RouteReason::CachedPrefix;
        }
        Choice::Send { index, reason }
    }
}

//! The product's policy: the earliest predicted first token of a sample.

use crate::{Candidate, Choice, Demand, Prediction, RouteReason, RoutingPolicy};
use egretstage_wire::NotRunReason;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::time::Duration;

/// Limits of [`PredictedFirstToken`].
#[derive(Clone, Copy, Debug)]
pub struct PredictedFirstTokenParams {
    /// Candidates drawn for a request; entries that draw differently don't all
    /// follow the same report.
    pub sample_size: usize,
    /// Gain of the first token that makes another zone worth it.
    pub other_zone_penalty: Duration,
    /// Gain of the first token that makes a full upstream as good as an idle
    /// one, whose tokens come faster.
    pub full_load_penalty: Duration,
    /// Shortest time to come back after.
    pub min_retry_after: Duration,
    /// Longest time to come back after.
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

/// Takes the candidate with the earliest predicted first token of a few drawn
/// ones and the one with the longest cached prefix.
#[derive(Clone, Debug)]
pub struct PredictedFirstToken {
    limits: PredictedFirstTokenParams,
    rng: ChaCha8Rng,
}

/// Indexes of candidates that are compared.
type Sample = SmallVec<[usize; 16]>;

impl PredictedFirstToken {
    /// Starts the draws at a seed.
    #[must_use]
    pub fn new(limits: PredictedFirstTokenParams, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { limits, rng }
    }

    /// Returns the candidates that may get the request now.
    fn open(&mut self, candidates: &[Candidate]) -> Sample {
        let rng = &mut self.rng;
        let mut admitted = |share: f32| share >= 1.0 || rng.random::<f32>() < share;
        let indexes = 0..candidates.len();
        let unblocked: Sample = indexes
            .filter(|index| candidates[*index].blocked_ms == 0)
            .collect();
        let open: Sample = unblocked
            .iter()
            .copied()
            .filter(|index| admitted(candidates[*index].admitted_share))
            .collect();
        if open.is_empty() { unblocked } else { open }
    }

    /// Draws some of the open candidates; the one with the longest cached
    /// prefix is always among them.
    fn sample(&mut self, open: &Sample, candidates: &[Candidate]) -> Sample {
        if open.len() <= self.limits.sample_size {
            return open.clone();
        }
        let mut rest = open.clone();
        let mut sample = Sample::new();
        for _ in 0..self.limits.sample_size {
            let drawn = self.rng.random_range(0..rest.len());
            sample.push(rest.swap_remove(drawn));
        }
        let cached = |index: &usize| candidates[*index].cached_tokens;
        sample.extend(
            rest.iter()
                .copied()
                .max_by_key(cached)
                .filter(|i| cached(i) > 0),
        );
        sample
    }

    fn cost(&self, demand: &Demand, candidate: &Candidate) -> Cost {
        let prediction = Prediction::new(demand, candidate);
        let zone = if candidate.same_zone {
            Duration::ZERO
        } else {
            self.limits.other_zone_penalty
        };
        let first = Duration::from_micros(u64::from(prediction.first_token_us));
        let crowding = self.limits.full_load_penalty * prediction.occupancy_milli / 1000;
        Cost {
            late: prediction.time_to_finish().saturating_sub(demand.budget),
            first_token: first + zone + crowding,
        }
    }

    fn refuse(&self, reason: NotRunReason, after: Duration) -> Choice {
        let retry_after = after.clamp(self.limits.min_retry_after, self.limits.max_retry_after);
        Choice::Refuse {
            reason,
            retry_after,
        }
    }

    fn best(&self, demand: &Demand, sample: &Sample, all: &[Candidate]) -> (usize, Cost) {
        let costs = sample.iter().map(|i| (*i, self.cost(demand, &all[*i])));
        costs
            .min_by(|a, b| a.1.cmp(&b.1))
            .expect("a sample holds a candidate")
    }
}

/// What a candidate costs a request; smaller is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// Time by which the answer would miss the deadline.
    late: Duration,
    /// Time until the first token, with the penalty for another zone.
    first_token: Duration,
}

impl RoutingPolicy for PredictedFirstToken {
    fn choose(&mut self, demand: &Demand, candidates: &[Candidate]) -> Choice {
        if candidates.is_empty() {
            return Choice::no_upstream();
        }
        let open = self.open(candidates);
        if open.is_empty() {
            let soonest = candidates.iter().map(|c| c.blocked_ms).min().unwrap_or(0);
            let after = Duration::from_millis(u64::from(soonest));
            return self.refuse(NotRunReason::Overloaded, after);
        }
        let sample = self.sample(&open, candidates);
        let (mut index, cost) = self.best(demand, &sample, candidates);
        let mut reason = RouteReason::EarliestFirstToken;
        if !cost.late.is_zero() {
            (index, _) = self.best(demand, &open, candidates);
            reason = RouteReason::InTime;
        }
        let run = Prediction::new(demand, &candidates[index]).service_time();
        if run > demand.budget {
            let short = run.saturating_sub(demand.budget);
            return self.refuse(NotRunReason::DeadlineTooClose, short);
        }
        if candidates.len() == 1 {
            reason = RouteReason::OnlyCandidate;
        } else if candidates[index].cached_tokens > 0 && reason == RouteReason::EarliestFirstToken {
            reason = RouteReason::CachedPrefix;
        }
        Choice::Send { index, reason }
    }
}

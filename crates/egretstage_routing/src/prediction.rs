//! Predicts when an upstream would answer a request.

use crate::estimate::to_f32;
use crate::{Candidate, Demand};
use serde::Serialize;
use std::time::Duration;

/// Age of a report at which half of its prefill work is assumed done, in
/// milliseconds.
const BACKLOG_HALF_LIFE_MS: f32 = 250.0;

/// Predicted times of an answer, in microseconds from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Prediction {
    /// Time until the call has a slot and the prefill work ahead of it is done.
    pub wait_us: u32,
    /// Time to prefill the uncached part of the prompt.
    pub prefill_us: u32,
    /// Time until the first token.
    pub first_token_us: u32,
    /// Time until the answer is complete.
    pub finish_us: u32,
    /// Estimated calls held per thousand slots.
    pub occupancy_milli: u32,
}

impl Prediction {
    /// Predicts a candidate's answer to a request.
    #[must_use]
    pub fn new(demand: &Demand, candidate: &Candidate) -> Self {
        let wait_ms = slot_wait_ms(demand, candidate).max(prefill_backlog_ms(candidate));
        let uncached_tokens = demand.prompt_tokens.saturating_sub(candidate.cached_tokens);
        let prefill_time_ms = prefill_ms(candidate, to_f32(uncached_tokens));
        let interval_ms = candidate.load.token_interval_ms;
        let is_plain_call = demand.output_tokens == 0;
        let first_token_ms = if is_plain_call {
            wait_ms + candidate.load.service_ms
        } else {
            wait_ms + prefill_time_ms + interval_ms
        };
        let remaining_ms = to_f32(demand.output_tokens.saturating_sub(1)) * interval_ms;
        Self {
            wait_us: as_micros(wait_ms),
            prefill_us: as_micros(prefill_time_ms),
            first_token_us: as_micros(first_token_ms),
            finish_us: as_micros(first_token_ms + remaining_ms),
            occupancy_milli: occupancy_milli(candidate),
        }
    }

    /// Returns the time from the end of the wait until the answer is complete: a
    /// lower bound of the time to finish, since the wait differs among
    /// organisations.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(u64::from(self.finish_us.saturating_sub(self.wait_us)))
    }

    /// Returns the time until the answer is complete.
    #[must_use]
    pub fn time_to_finish(&self) -> Duration {
        Duration::from_micros(u64::from(self.finish_us))
    }
}

/// Estimate of the calls that an upstream holds.
#[derive(Clone, Copy, Debug)]
struct Occupancy {
    mean: f32,
    std_deviation: f32,
}

impl Occupancy {
    /// Estimates the calls that an upstream holds now.
    ///
    /// This entry's calls are known. Those of other entries revert from the
    /// reported number to their mean, as calls end and new ones arrive.
    fn estimate(candidate: &Candidate) -> Self {
        let load = &candidate.load;
        let reported = to_f32(load.others());
        let report_weight = if load.service_ms > 0.0 {
            (-REPORT_DECAY_PER_SERVICE_TIME * age_ms(candidate) / load.service_ms).exp()
        } else {
            1.0
        };
        let others_calls =
            candidate.others_mean + (reported - candidate.others_mean) * report_weight;
        let variance = candidate.others_mean * (1.0 - report_weight * report_weight);
        Self {
            mean: others_calls + to_f32(candidate.own_in_flight),
            std_deviation: variance.max(0.0).sqrt(),
        }
    }

    /// Returns the expected number of calls that must end before one more starts.
    ///
    /// It is the mean excess of the calls, the new one included, over the slots. The
    /// number of calls is assumed to follow a logistic distribution.
    fn calls_ahead(self, slots: u32) -> f32 {
        let excess = self.mean + 1.0 - to_f32(slots);
        let scale = self.std_deviation * LOGISTIC_SCALE;
        if scale < f32::EPSILON || excess > MAX_EXCESS_SCALES * scale {
            return excess.max(0.0);
        }
        scale * (excess / scale).exp().ln_1p()
    }
}

/// Rate at which a report loses weight, per service time: it counts 1/e after a
/// third of one. This is faster than calls end, since other entries react to the
/// report too.
const REPORT_DECAY_PER_SERVICE_TIME: f32 = 3.0;

/// Scale of a logistic distribution with a standard deviation of one.
const LOGISTIC_SCALE: f32 = 0.551;

/// Excess, in logistic scales, above which the variance has no noticeable
/// effect.
const MAX_EXCESS_SCALES: f32 = 20.0;

/// Returns the estimated calls held per thousand slots.
fn occupancy_milli(candidate: &Candidate) -> u32 {
    let slots = to_f32(candidate.load.slots.max(1));
    crate::estimate::to_u32(Occupancy::estimate(candidate).mean / slots * 1000.0)
}

/// Returns the age of a candidate's load report, including its age when sent.
fn age_ms(candidate: &Candidate) -> f32 {
    to_f32(
        candidate
            .report_age_ms
            .saturating_add(candidate.load.age_ms),
    )
}

/// Returns the expected time until a slot is free for one more call.
fn slot_wait_ms(demand: &Demand, candidate: &Candidate) -> f32 {
    let load = &candidate.load;
    let slots = load.slots.max(1);
    let service_ms = if load.service_ms > 0.0 {
        load.service_ms
    } else {
        to_f32(demand.output_tokens) * load.token_interval_ms
    };
    Occupancy::estimate(candidate).calls_ahead(slots) * service_ms / to_f32(slots)
}

/// Returns the estimated time to prefill the prompts that wait.
fn prefill_backlog_ms(candidate: &Candidate) -> f32 {
    let load = &candidate.load;
    let reported = to_f32(load.running.saturating_add(load.waiting).max(1));
    let others_share = 1.0 - (to_f32(load.held_from_peer) / reported).min(1.0);
    let half_lives = age_ms(candidate) / BACKLOG_HALF_LIFE_MS;
    let waiting_tokens = u32::try_from(load.waiting_prompt_tokens).unwrap_or(u32::MAX);
    let others_tokens = to_f32(waiting_tokens) * others_share * (-half_lives).exp2();
    prefill_ms(
        candidate,
        others_tokens + to_f32(candidate.own_prefill_tokens),
    )
}

/// Returns the time to prefill tokens, 0 if the rate is unknown.
fn prefill_ms(candidate: &Candidate, tokens: f32) -> f32 {
    let rate = candidate.load.prefill_tokens_per_s;
    if rate > 0.0 {
        tokens / rate * 1000.0
    } else {
        0.0
    }
}

fn as_micros(ms: f32) -> u32 {
    crate::estimate::to_u32(ms * 1000.0)
}

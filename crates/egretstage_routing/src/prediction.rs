//! When an upstream would answer a request.

use crate::estimate::to_f32;
use crate::{Candidate, Demand};
use serde::Serialize;
use std::time::Duration;

/// Time after which half of the prefill work in a report is assumed done.
const BACKLOG_HALF_LIFE_MS: f32 = 250.0;

/// The predicted times of an answer, from now, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Prediction {
    /// Until the call has a slot and the prefill work before it is done.
    pub wait_us: u32,
    /// Prefill of the uncached part of the prompt.
    pub prefill_us: u32,
    /// Until the first token.
    pub first_token_us: u32,
    /// Until the answer is whole.
    pub finish_us: u32,
    /// Calls probably held, for each thousand slots.
    pub occupancy_milli: u32,
}

impl Prediction {
    /// Predicts the answer of a candidate to a request.
    #[must_use]
    pub fn new(demand: &Demand, candidate: &Candidate) -> Self {
        let wait = slot_wait_ms(demand, candidate).max(prefill_backlog_ms(candidate));
        let uncached = demand.prompt_tokens.saturating_sub(candidate.cached_tokens);
        let prefill = prefill_ms(candidate, to_f32(uncached));
        let interval = candidate.load.token_interval_ms;
        let plain = demand.output_tokens == 0;
        let first = if plain {
            wait + candidate.load.service_ms
        } else {
            wait + prefill + interval
        };
        let rest = to_f32(demand.output_tokens.saturating_sub(1)) * interval;
        Self {
            wait_us: as_micros(wait),
            prefill_us: as_micros(prefill),
            first_token_us: as_micros(first),
            finish_us: as_micros(first + rest),
            occupancy_milli: occupancy_milli(candidate),
        }
    }

    /// Returns the time that the answer takes once it has its turn: a lower
    /// bound, since the wait differs among organisations.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(u64::from(self.finish_us.saturating_sub(self.wait_us)))
    }

    /// Returns the time until the answer is whole.
    #[must_use]
    pub fn time_to_finish(&self) -> Duration {
        Duration::from_micros(u64::from(self.finish_us))
    }
}

/// Calls that an upstream probably holds.
#[derive(Clone, Copy, Debug)]
struct Occupancy {
    mean: f32,
    deviation: f32,
}

impl Occupancy {
    /// Estimates the calls that an upstream holds now: this entry's are known;
    /// those of other entries return from the report to their mean as calls
    /// end and others come.
    fn of(candidate: &Candidate) -> Self {
        let load = &candidate.load;
        let reported = to_f32(load.others());
        let kept = if load.service_ms > 0.0 {
            (-REPORT_FADE * age_ms(candidate) / load.service_ms).exp()
        } else {
            1.0
        };
        let others = candidate.others_mean + (reported - candidate.others_mean) * kept;
        let variance = candidate.others_mean * (1.0 - kept * kept);
        Self {
            mean: others + to_f32(candidate.own_in_flight),
            deviation: variance.max(0.0).sqrt(),
        }
    }

    /// Returns how many calls are expected to wait before one more starts.
    fn ahead(self, slots: u32) -> f32 {
        let excess = self.mean + 1.0 - to_f32(slots);
        let width = self.deviation * LOGISTIC_WIDTH;
        if width < f32::EPSILON || excess > MAX_WIDTHS * width {
            return excess.max(0.0);
        }
        width * (excess / width).exp().ln_1p()
    }
}

/// Service times after which a report counts by a factor of e less, inverted:
/// it fades faster than calls end, since other entries react to it too.
const REPORT_FADE: f32 = 3.0;

/// Width of the logistic distribution with a deviation of one.
const LOGISTIC_WIDTH: f32 = 0.551;

/// Widths beyond which the logistic correction vanishes.
const MAX_WIDTHS: f32 = 20.0;

fn occupancy_milli(candidate: &Candidate) -> u32 {
    let slots = to_f32(candidate.load.slots.max(1));
    crate::estimate::to_u32(Occupancy::of(candidate).mean / slots * 1000.0)
}

fn age_ms(candidate: &Candidate) -> f32 {
    to_f32(
        candidate
            .report_age_ms
            .saturating_add(candidate.load.age_ms),
    )
}

fn slot_wait_ms(demand: &Demand, candidate: &Candidate) -> f32 {
    let load = &candidate.load;
    let slots = load.slots.max(1);
    let service = if load.service_ms > 0.0 {
        load.service_ms
    } else {
        to_f32(demand.output_tokens) * load.token_interval_ms
    };
    Occupancy::of(candidate).ahead(slots) * service / to_f32(slots)
}

fn prefill_backlog_ms(candidate: &Candidate) -> f32 {
    let load = &candidate.load;
    let reported = to_f32(load.running.saturating_add(load.waiting).max(1));
    let others_share = 1.0 - (to_f32(load.held_from_peer) / reported).min(1.0);
    let half_lives = age_ms(candidate) / BACKLOG_HALF_LIFE_MS;
    let waiting = u32::try_from(load.waiting_prompt_tokens).unwrap_or(u32::MAX);
    let others = to_f32(waiting) * others_share * (-half_lives).exp2();
    prefill_ms(candidate, others + to_f32(candidate.own_prefill_tokens))
}

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

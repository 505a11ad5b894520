//! How many streams a model group runs at once.
//!
//! Load pattern: more streams arrive than a group can write without pauses.
//! The ranks of a group step together, so each stream more makes every pause
//! of every stream longer; without a bound all of them are late. The cost of
//! a stream changes within seconds as other experts come into demand, so the
//! bound follows the pauses that the entry sees now.

use crate::dear_passes::DearPasses;
use crate::{EngineProfile, PeerSum};
use egretstage_routing::Ewma;
use std::time::{Duration, Instant};

/// Time in which the cost that is expected of a group that nobody has seen
/// fades to a third: its experts are balanced in a few waves of copies.
const FIRST_COST_FADES_IN: Duration = Duration::from_secs(4);

/// Time over which the cost of a stream is averaged: a pass or two, so that one
/// event that was held up on its way doesn't count as a slow group, and the few
/// dear passes after a shift of demand do.
const MEAN_SPAN: Duration = Duration::from_millis(120);

/// Time that a stream is taken to last before any has ended.
const FIRST_LIFE: Duration = Duration::from_secs(2);

/// Weight of the newest stream in the time that streams last: that of the last
/// twenty or so.
const LIFE_WEIGHT: f32 = 0.05;

/// Least streams for each rank by which a pause is divided: with fewer, the
/// reading of prompts makes most of a pause.
const MIN_STREAMS_PER_RANK: u32 = 2;

/// Share of the longest allowed pause for which the bound is made: the rest is
/// for the way to the caller. What prompts and shifts add is in the cost.
const TARGET_SHARE: f32 = 0.92;

/// Multiple of the longest allowed pause above which a single pause tells of a
/// stalled group, not of the cost of its streams.
const STALL_FACTOR: f32 = 2.0;

/// Time by which the events of one pass reach an entry apart from each other:
/// network jitter between availability zones, with a reserve.
const PASS_SPREAD: Duration = Duration::from_millis(40);

/// Largest over mean rank load that is expected before any pause was seen:
/// that of a group whose experts are not balanced yet. A stream's work goes to
/// all ranks, and a step takes as long as that of the most loaded one.
const FIRST_SKEW: f32 = 3.3;

/// Multiple of the cost of streams alone that is expected before any pause was
/// seen: prompts are read meanwhile.
const FIRST_PROMPTS: f32 = 1.15;

/// The same of a group that is balanced better than any: keeps the bound
/// finite when a few streams run without delay.
const LEAST_SKEW: f32 = 0.4;

/// Bounds the streams of a model group by the pauses between their events.
///
/// An entry sees few of the streams and restarts without any knowledge, so the
/// bound is made for the mean of what all entries say that a stream costs: they
/// would otherwise fill the group up to the bound of the most generous one,
/// while the others turn callers away.
///
/// A pause is taken as `base + cost * streams`: `base` is the time of the
/// steps without any stream, `cost` is learnt from each pause with the number
/// of streams at that time. The bound is made for the cost of the passes that
/// streams meet again and again, or for that of the present ones if it is dearer.
///
/// Ranks also stand still while a map is switched, while a rank is silent or
/// while the entry itself doesn't run. One such stall says nothing of the cost
/// and would cut the bound for seconds, so it counts only if the next pass is
/// as long.
///
/// ```
/// # use egretstage_dispatch::{EngineProfile, admission::PauseControl};
/// # use std::time::{Duration, Instant};
/// let engine = EngineProfile {
///     slots: 12,
///     step_ms: 5.0,
///     stream_step_ms: 0.9,
///     steps_per_event: 4,
///     read_per_s: 60e3,
///     experts: None,
/// };
/// let mut now = Instant::now();
/// let mut control = PauseControl::new(engine, Duration::from_millis(120));
/// control.observe(now, Duration::from_millis(110), 40, 12);
/// let dear = control.bound(12);
/// for _ in 0..400 {
///     now += Duration::from_millis(60);
///     control.observe(now, Duration::from_millis(60), 40, 12);
/// }
/// assert!(control.bound(12) > dear);
/// ```
#[derive(Clone, Debug)]
pub struct PauseControl {
    engine: EngineProfile,
    max_pause_ms: f32,
    costs: Option<Costs>,
    /// What streams cost in the dear passes that recur.
    dear: DearPasses,
    /// How long streams last, in seconds.
    life: Ewma,
    /// What the other entries say that a stream costs.
    others: PeerSum,
    /// When the last stall ended.
    stalled: Option<Instant>,
}

/// What was learnt of the cost of a stream, in milliseconds for one event.
#[derive(Clone, Copy, Debug)]
struct Costs {
    mean: f32,
    /// What is left of the cost that was expected at first.
    first: f32,
    /// The cost of the dear passes that recur.
    recurring: f32,
    seen_at: Instant,
}

impl Costs {
    /// Returns the cost for which the bound is made.
    fn planned(&self) -> f32 {
        self.mean.max(self.first).max(self.recurring)
    }
}

impl PauseControl {
    /// Starts without any pause seen.
    #[must_use]
    pub fn new(engine: EngineProfile, max_pause: Duration) -> Self {
        Self {
            engine,
            max_pause_ms: max_pause.as_secs_f32() * 1000.0,
            costs: None,
            dear: DearPasses::default(),
            life: Ewma::new(LIFE_WEIGHT),
            others: PeerSum::default(),
            stalled: None,
        }
    }

    /// Takes over what the operator changed; what was learnt stays.
    pub fn reconfigure(&mut self, engine: EngineProfile, max_pause: Duration) {
        self.engine = engine;
        self.max_pause_ms = max_pause.as_secs_f32() * 1000.0;
    }

    /// Forgets what was learnt: the group was formed anew, without the balanced
    /// map that it had.
    pub fn forget(&mut self) {
        self.costs = None;
        self.dear = DearPasses::default();
        self.stalled = None;
    }

    /// Takes over what the other entries say that a stream costs.
    pub fn hear_others(&mut self, others: PeerSum) {
        self.others = others;
    }

    /// Returns what a stream costs as seen here within a time, in milliseconds
    /// for one event.
    #[must_use]
    pub fn cost(&self, now: Instant, within: Duration) -> Option<f32> {
        let fresh = |costs: &Costs| now.saturating_duration_since(costs.seen_at) <= within;
        self.costs.filter(fresh).map(|costs| costs.planned())
    }

    /// Notes how long a stream lasted that ended whole.
    pub fn stream_lasted(&mut self, time: Duration) {
        self.life.add(time.as_secs_f32());
    }

    /// Notes a pause between two events while so many streams ran on so many
    /// ranks.
    pub fn observe(&mut self, now: Instant, pause: Duration, streams: u32, ranks: u32) {
        if self.is_stall(now, pause) {
            return;
        }
        let pause_ms = pause.as_secs_f32() * 1000.0;
        let pause_ms = pause_ms.min(self.max_pause_ms * STALL_FACTOR);
        let streams = streams.max(ranks * MIN_STREAMS_PER_RANK).max(1);
        let cost = ((pause_ms - self.base_ms()) / to_f32(streams)).max(0.0);
        let bound = self.bound(ranks);
        let first = self.first_cost(ranks);
        let life = self.life.get().map(Duration::from_secs_f32);
        let costs = self.costs.get_or_insert(Costs {
            mean: cost,
            first,
            recurring: 0.0,
            seen_at: now,
        });
        // Weights go by time: all streams of the group see the same passes.
        let passed = now.saturating_duration_since(costs.seen_at);
        costs.seen_at = now;
        costs.mean += faded(passed, MEAN_SPAN) * (cost - costs.mean);
        // Short pauses of a group that is far from full say little of what it
        // costs to fill it.
        let fullness = (to_f32(streams) / to_f32(bound.max(1))).min(1.0);
        let counts_for = passed.mul_f32(fullness * fullness);
        costs.first -= faded(counts_for, FIRST_COST_FADES_IN) * costs.first;
        self.dear
            .note(counts_for, costs.mean, life.unwrap_or(FIRST_LIFE));
        costs.recurring = self.dear.recurring();
    }

    /// Tells whether a pause is a stall: longer than the cost of streams makes
    /// it, and not the second one in a row.
    fn is_stall(&mut self, now: Instant, pause: Duration) -> bool {
        let longest = self.max_pause_ms * STALL_FACTOR;
        if pause.as_secs_f32() * 1000.0 <= longest {
            return false;
        }
        let Some(ended) = self.stalled else {
            self.stalled = Some(now);
            return true;
        };
        // Times since the last stall ended, at both ends of this pause.
        let ends = now.saturating_duration_since(ended);
        let in_a_row = ends + PASS_SPREAD >= pause && ends <= pause + PASS_SPREAD;
        let is_same = ends + PASS_SPREAD < pause;
        if !is_same && !in_a_row {
            self.stalled = Some(now);
        }
        !in_a_row
    }

    /// Returns the most streams that may run on so many ranks together.
    ///
    /// At least one for each rank, at most the slots of all.
    #[must_use]
    pub fn bound(&self, ranks: u32) -> u32 {
        let target = self.max_pause_ms * TARGET_SHARE;
        let streams = (target - self.base_ms()).max(0.0) / self.planned_cost(ranks);
        let slots = self.engine.slots.saturating_mul(ranks);
        to_u32(streams).clamp(ranks.min(slots), slots)
    }

    fn base_ms(&self) -> f32 {
        self.engine.step_ms * self.steps()
    }

    fn planned_cost(&self, ranks: u32) -> f32 {
        let own = self.costs.map(|costs| costs.planned());
        let cost = self.others.mean_with(own);
        let cost = cost.unwrap_or_else(|| self.first_cost(ranks));
        cost.max(self.cost_at(LEAST_SKEW, ranks))
    }

    /// Returns what a stream is expected to cost a group that nobody has seen.
    fn first_cost(&self, ranks: u32) -> f32 {
        self.cost_at(FIRST_SKEW, ranks) * FIRST_PROMPTS
    }

    /// Returns what a stream costs a group of so many ranks at a skew, in
    /// milliseconds for one event.
    fn cost_at(&self, skew: f32, ranks: u32) -> f32 {
        self.engine.stream_step_ms * self.steps() * skew / to_f32(ranks.max(1))
    }

    fn steps(&self) -> f32 {
        to_f32(self.engine.steps_per_event.max(1))
    }
}

/// Returns the share of something that has faded after a time.
fn faded(passed: Duration, span: Duration) -> f32 {
    1.0 - (-passed.as_secs_f32() / span.as_secs_f32()).exp()
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f32(count: u32) -> f32 {
    count as f32
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn to_u32(value: f32) -> u32 {
    value as u32
}

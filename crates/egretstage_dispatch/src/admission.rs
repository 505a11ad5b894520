//! How many streams a model group runs at once.
//!
//! Load pattern: more streams arrive than a group can write without pauses.
//! The ranks of a group step together, so each stream more makes every pause
//! of every stream longer; without a bound all of them are late. The cost of
//! a stream changes within seconds as other experts come into demand, so the
//! bound follows the pauses that the entry sees now.

use crate::EngineProfile;
use egretstage_routing::Ewma;
use std::time::Duration;

/// Weight of the newest pause in the cost of a stream: about half a second of
/// the pauses that one entry sees at the load of a busy group.
const COST_WEIGHT: f32 = 0.02;

/// Weight of the newest pause in the spread of pauses.
const SPREAD_WEIGHT: f32 = 0.02;

/// Spreads of the pauses that are kept free below the longest allowed pause:
/// for normally distributed pauses, 98 in 100 stay below it.
const SPREADS_KEPT_FREE: f32 = 4.0;

/// Least share of the longest allowed pause that the mean pause may take,
/// however wide the pauses spread.
const MIN_MEAN_SHARE: f32 = 0.4;

/// Share of the slots that are used before a stream is refused: below that,
/// callers are better off with longer pauses than with a refusal.
const MIN_SLOTS_SHARE: f32 = 0.08;

/// Cost of a stream before any pause was seen, in milliseconds for one step:
/// a group of unbalanced experts.
const FIRST_COST_MS: f32 = 0.2;

/// Least cost of a stream, in milliseconds for one step: keeps the bound
/// finite when a few streams run without delay.
const MIN_COST_MS: f32 = 0.03;

/// Bounds the streams of a model group by the pauses between their events.
///
/// A pause is taken as `base + cost * streams`: `base` is the time of the
/// steps without any stream, `cost` is learnt from each pause with the number
/// of streams at that time.
///
/// ```
/// # use egretstage_dispatch::{EngineProfile, admission::PauseControl};
/// # use std::time::Duration;
/// let engine = EngineProfile {
///     slots: 12,
///     step_ms: 5.0,
///     steps_per_event: 4,
///     read_per_s: 60e3,
///     experts: None,
/// };
/// let mut control = PauseControl::new(engine, Duration::from_millis(120));
/// for _ in 0..500 {
///     control.observe(Duration::from_millis(100), 40);
/// }
/// let long = control.bound(12);
/// for _ in 0..500 {
///     control.observe(Duration::from_millis(60), 40);
/// }
/// assert!(control.bound(12) > long);
/// ```
#[derive(Clone, Debug)]
pub struct PauseControl {
    engine: EngineProfile,
    max_pause_ms: f32,
    cost_ms: Ewma,
    spread_ms: Ewma,
}

impl PauseControl {
    /// Starts without any pause seen.
    #[must_use]
    pub fn new(engine: EngineProfile, max_pause: Duration) -> Self {
        Self {
            engine,
            max_pause_ms: max_pause.as_secs_f32() * 1000.0,
            cost_ms: Ewma::new(COST_WEIGHT),
            spread_ms: Ewma::new(SPREAD_WEIGHT),
        }
    }

    /// Takes over what the operator changed; what was learnt stays.
    pub fn reconfigure(&mut self, engine: EngineProfile, max_pause: Duration) {
        self.engine = engine;
        self.max_pause_ms = max_pause.as_secs_f32() * 1000.0;
    }

    /// Notes a pause between two events while so many streams ran.
    pub fn observe(&mut self, pause: Duration, streams: u32) {
        let pause_ms = pause.as_secs_f32() * 1000.0;
        let expected = self.expected_pause_ms(streams);
        let cost = (pause_ms - self.base_ms()) / to_f32(streams.max(1));
        self.cost_ms.add(cost.max(0.0));
        self.spread_ms.add((pause_ms - expected).abs());
    }

    /// Returns the pause that so many streams would have, in milliseconds.
    #[must_use]
    pub fn expected_pause_ms(&self, streams: u32) -> f32 {
        self.base_ms() + self.cost() * to_f32(streams)
    }

    /// Returns the most streams that may run on so many ranks together.
    ///
    /// At least about half of the slots of all, at most all of them.
    #[must_use]
    pub fn bound(&self, ranks: u32) -> u32 {
        let spread = self.spread_ms.get().unwrap_or(0.0);
        let target = (self.max_pause_ms - SPREADS_KEPT_FREE * spread)
            .max(self.max_pause_ms * MIN_MEAN_SHARE);
        let streams = (target - self.base_ms()).max(0.0) / self.cost();
        let slots = self.engine.slots.saturating_mul(ranks);
        let least = to_u32((to_f32(slots) * MIN_SLOTS_SHARE).ceil());
        to_u32(streams).clamp(least, slots)
    }

    fn base_ms(&self) -> f32 {
        self.engine.step_ms * to_f32(self.engine.steps_per_event.max(1))
    }

    fn cost(&self) -> f32 {
        let steps = to_f32(self.engine.steps_per_event.max(1));
        let cost = self.cost_ms.get().unwrap_or(FIRST_COST_MS * steps);
        cost.max(MIN_COST_MS * steps)
    }
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

//! Limits how many streams a model group runs at once.
//!
//! Load pattern: more streams arrive than a group can run within the allowed
//! pause between events. The ranks of a group step in lockstep, so each further
//! stream lengthens every pause of every stream; without a bound all of them are
//! late. The cost of a stream changes within seconds as demand moves to other
//! experts, so the bound follows the pauses that the entry currently observes.

use crate::slow_passes::SlowPasses;
use crate::{EngineProfile, PeerSum};
use egretstage_routing::Ewma;
use egretstage_wire::Slowdown;
use std::time::{Duration, Instant};

/// Time constant with which the initial cost estimate of an unobserved group
/// decays (to about a third): its experts are balanced in a few copy rounds.
const INITIAL_COST_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Time constant of the mean cost of a stream: one or two passes, so that a
/// single event delayed in the network doesn't make the group look slow, while
/// the few slow passes after a shift of demand do.
const MEAN_TIME_CONSTANT: Duration = Duration::from_millis(120);

/// Assumed duration of a stream until the first one has ended.
const INITIAL_STREAM_DURATION: Duration = Duration::from_secs(2);

/// Assumed number of events of a stream until the first one has ended.
const INITIAL_EVENTS_PER_STREAM: f32 = 24.0;

/// Worth of a late answer, relative to one in time.
const LATE_ANSWER_WORTH: f32 = 0.5;

/// What a caller loses who gets no answer, besides the answer, relative to one in time:
/// the time of waiting and returning in vain.
const REFUSAL_COST: f32 = 0.3;

/// Share of the slots of a group that is used for streams. The counts of the other
/// entries are as old as a report, so several entries may fill the last free slot of
/// a rank at once, and all but one of their streams would wait there.
const SLOT_SHARE: f32 = 0.85;

/// Number of events, as a multiple of the mean, up to which a late stream still ends
/// before its caller's deadline. The longest streams are several times the mean.
const LONG_STREAM_FACTOR: f32 = 2.0;

/// Weight of the newest stream in the means over streams, which thus cover about the
/// last twenty streams.
const STREAM_DURATION_WEIGHT: f32 = 0.05;

/// Minimum number of streams per rank by which a pause is divided: with fewer,
/// prompt processing accounts for most of a pause.
const MIN_STREAMS_PER_RANK: u32 = 2;

/// Share of the longest allowed pause that the bound targets; the rest covers
/// the network path to the caller. The cost already includes the time that
/// prompts and shifts of demand add.
const TARGET_PAUSE_SHARE: f32 = 0.92;

/// Multiple of the longest allowed pause above which a single pause is
/// considered a stall of the group instead of an effect of its streams' cost.
const STALL_FACTOR: f32 = 2.0;

/// Longest time between the arrivals of events of the same pass at an entry:
/// network jitter between availability zones, with a margin.
const PASS_ARRIVAL_SPREAD: Duration = Duration::from_millis(40);

/// Ratio of the highest to the mean rank load that is assumed before the first
/// pause: that of a group whose experts are not balanced yet. The work of a
/// stream goes to all ranks, and a step takes as long as that of the most
/// loaded rank.
const INITIAL_SKEW: f32 = 3.3;

/// Factor on the cost of streams alone that is assumed before the first pause,
/// since prompts are processed in the same passes.
const INITIAL_PROMPT_FACTOR: f32 = 1.15;

/// Minimum ratio of the highest to the mean rank load that the bound assumes,
/// below that of any balanced group: keeps the bound finite when a few streams run
/// without delay.
const MIN_SKEW: f32 = 0.4;

/// Limits on the streams of a service, by its routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamLimits {
    /// Longest pause between two events for a stream to be in time.
    pub max_pause: Duration,
    /// Longest time from a call's arrival to the end of its stream.
    pub max_stream: Duration,
}

/// Bounds the streams of a model group by the pauses between their events.
///
/// An entry observes only a few of the streams and restarts without any
/// history, so the bound uses the mean of the costs that all entries report.
/// With bounds of their own, they would fill the group up to the highest of
/// these, while the entries with lower ones refuse callers.
///
/// A pause is modelled as `base + cost * streams`: `base` is the time of the
/// steps without any stream, `cost` is estimated from each pause and the number
/// of streams at that time. The bound uses the cost of the slow passes that
/// recur, or that of the current passes if it is higher.
///
/// Ranks also freeze while a map is switched, while a rank is silent or while
/// the entry itself is suspended. One such stall doesn't reflect the cost and
/// would cut the bound for seconds, so it counts only if the next pass is as
/// long.
///
/// ```
/// # use egretstage_dispatch::{EngineProfile, StreamLimits, admission::PauseControl};
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
/// let limits = StreamLimits {
///     max_pause: Duration::from_millis(120),
///     max_stream: Duration::from_secs(8),
/// };
/// let mut control = PauseControl::new(engine, limits);
/// control.observe(now, Duration::from_millis(110), 40, 12);
/// let slow = control.bound(12);
/// for _ in 0..400 {
///     now += Duration::from_millis(60);
///     control.observe(now, Duration::from_millis(60), 40, 12);
/// }
/// assert!(control.bound(12) > slow);
/// ```
#[derive(Clone, Debug)]
pub struct PauseControl {
    engine: EngineProfile,
    max_pause_ms: f32,
    /// How much slower than usual the slowest rank is.
    slowdown: Slowdown,
    /// Whether the other ranks take over the work of the slow ones.
    is_relieved: bool,
    /// Estimates at the ranks' usual speed.
    usual: Estimates,
    /// Estimates since a rank has become slow.
    slow: Estimates,
    /// Mean duration of streams, in seconds.
    stream_duration_s: Ewma,
    /// Mean number of events of streams.
    events_per_stream: Ewma,
    /// Longest duration of a stream, in milliseconds.
    max_stream_ms: f32,
    /// Cost of a stream as the other entries report it, in milliseconds for one
    /// event.
    peer_cost: PeerSum,
    /// When the last stall ended.
    last_stall_end: Option<Instant>,
}

/// What an entry has learnt of a group's passes.
#[derive(Clone, Debug, Default)]
struct Estimates {
    costs: Option<Costs>,
    /// Costs of a stream in slow passes that recur.
    slow_passes: SlowPasses,
}

/// Estimates of the cost of a stream, in milliseconds for one event.
#[derive(Clone, Copy, Debug)]
struct Costs {
    mean: f32,
    /// Remainder of the initial estimate, which decays.
    initial: f32,
    /// Cost in the slow passes that recur.
    recurring: f32,
    observed_at: Instant,
}

impl Costs {
    /// Returns the highest of the estimates, which the bound uses.
    fn highest(&self) -> f32 {
        self.mean.max(self.initial).max(self.recurring)
    }
}

impl PauseControl {
    /// Creates a control that has observed no pause.
    #[must_use]
    pub fn new(engine: EngineProfile, limits: StreamLimits) -> Self {
        Self {
            engine,
            max_pause_ms: limits.max_pause.as_secs_f32() * 1000.0,
            slowdown: Slowdown::NONE,
            is_relieved: false,
            usual: Estimates::default(),
            slow: Estimates::default(),
            stream_duration_s: Ewma::new(STREAM_DURATION_WEIGHT),
            events_per_stream: Ewma::new(STREAM_DURATION_WEIGHT),
            max_stream_ms: limits.max_stream.as_secs_f32() * 1000.0,
            peer_cost: PeerSum::default(),
            last_stall_end: None,
        }
    }

    /// Applies changed settings and keeps the estimates.
    pub fn reconfigure(&mut self, engine: EngineProfile, limits: StreamLimits) {
        self.engine = engine;
        self.max_pause_ms = limits.max_pause.as_secs_f32() * 1000.0;
        self.max_stream_ms = limits.max_stream.as_secs_f32() * 1000.0;
    }

    /// Drops the cost estimates: the group has re-formed without its balanced
    /// map.
    pub fn reset(&mut self) {
        self.usual = Estimates::default();
        self.slow = Estimates::default();
        self.last_stall_end = None;
    }

    /// Sets how much slower than usual the slowest rank is, and whether the other ranks
    /// take over the work of the slow ones; returns whether the slowdown has changed.
    ///
    /// What the passes of a slow rank taught is used while it is slow, and dropped
    /// with its recovery: the estimates at the usual speed then apply again.
    pub fn set_slowdown(&mut self, slowdown: Slowdown, is_relieved: bool) -> bool {
        self.is_relieved = is_relieved;
        if slowdown == self.slowdown {
            return false;
        }
        if !self.slowdown.is_slow() {
            self.slow = Estimates {
                costs: self.usual.costs.map(|costs| Costs {
                    initial: 0.0,
                    recurring: 0.0,
                    ..costs
                }),
                slow_passes: SlowPasses::default(),
            };
        }
        self.slowdown = slowdown;
        self.last_stall_end = None;
        true
    }

    /// Returns whether a rank is slow and the other ranks take over its work.
    #[must_use]
    pub fn is_relieved(&self) -> bool {
        self.slowdown.is_slow() && self.is_relieved
    }

    /// Returns whether all ranks wait for a slow one in each pass.
    #[must_use]
    pub fn waits_for_slow_ranks(&self) -> bool {
        self.slowdown.is_slow() && !self.is_relieved
    }

    /// Returns the estimates at the present speed of the ranks.
    fn estimates(&self) -> &Estimates {
        if self.slowdown.is_slow() {
            &self.slow
        } else {
            &self.usual
        }
    }

    /// Sets the cost of a stream that the other entries report.
    pub fn set_peer_cost(&mut self, peer_cost: PeerSum) {
        self.peer_cost = peer_cost;
    }

    /// Returns the cost of a stream in milliseconds for one event, if this entry
    /// has observed a pause within `max_age`.
    #[must_use]
    pub fn recent_cost(&self, now: Instant, max_age: Duration) -> Option<f32> {
        let is_recent = |costs: &Costs| now.saturating_duration_since(costs.observed_at) <= max_age;
        let costs = self.estimates().costs.filter(is_recent);
        costs.map(|costs| costs.highest())
    }

    /// Records the duration of a stream that completed, and its number of events.
    ///
    /// While a rank is slow, only short streams end in time, so these don't count.
    pub fn record_stream(&mut self, duration: Duration, events: u32) {
        if !self.slowdown.is_slow() {
            self.stream_duration_s.add(duration.as_secs_f32());
            self.events_per_stream.add(to_f32(events));
        }
    }

    /// Updates the cost estimates with a pause between two events of a stream,
    /// during which the group ran `streams` streams on `ranks` ranks.
    pub fn observe(&mut self, now: Instant, pause: Duration, streams: u32, ranks: u32) {
        if self.check_stall(now, pause) {
            return;
        }
        let pause_ms = pause.as_secs_f32() * 1000.0;
        let pause_ms = pause_ms.min(self.stall_threshold_ms());
        let streams = streams.max(ranks * MIN_STREAMS_PER_RANK).max(1);
        let cost = ((pause_ms - self.base_ms()) / to_f32(streams)).max(0.0);
        let bound = self.bound(ranks);
        let initial = self.initial_cost(ranks);
        let stream_duration = self.stream_duration_s.get().map(Duration::from_secs_f32);
        let estimates = if self.slowdown.is_slow() {
            &mut self.slow
        } else {
            &mut self.usual
        };
        let costs = estimates.costs.get_or_insert(Costs {
            mean: cost,
            initial,
            recurring: 0.0,
            observed_at: now,
        });
        // Samples are weighted by elapsed time: all streams of the group observe
        // the same passes.
        let elapsed = now.saturating_duration_since(costs.observed_at);
        costs.observed_at = now;
        costs.mean += decayed_share(elapsed, MEAN_TIME_CONSTANT) * (cost - costs.mean);
        // Short pauses of a group that is far from full are a poor estimate of the
        // cost when it is full.
        let utilization = (to_f32(streams) / to_f32(bound.max(1))).min(1.0);
        let weighted_time = elapsed.mul_f32(utilization * utilization);
        costs.initial -= decayed_share(weighted_time, INITIAL_COST_TIME_CONSTANT) * costs.initial;
        estimates.slow_passes.record(
            weighted_time,
            costs.mean,
            stream_duration.unwrap_or(INITIAL_STREAM_DURATION),
        );
        costs.recurring = estimates.slow_passes.recurring_cost();
    }

    /// Returns whether a pause is a stall: longer than the cost of streams
    /// explains, and not the second one in a row. Records the end of a new stall.
    fn check_stall(&mut self, now: Instant, pause: Duration) -> bool {
        if pause.as_secs_f32() * 1000.0 <= self.stall_threshold_ms() {
            return false;
        }
        let Some(last_stall_end) = self.last_stall_end else {
            self.last_stall_end = Some(now);
            return true;
        };
        // Streams of the group report the same stall one after the other, within
        // the arrival spread. A pause that began before the last stall ended is
        // that stall; one that began as it ended is the second in a row.
        let since_last = now.saturating_duration_since(last_stall_end);
        let in_a_row =
            since_last + PASS_ARRIVAL_SPREAD >= pause && since_last <= pause + PASS_ARRIVAL_SPREAD;
        let is_same_stall = since_last + PASS_ARRIVAL_SPREAD < pause;
        if !is_same_stall && !in_a_row {
            self.last_stall_end = Some(now);
        }
        !in_a_row
    }

    /// Returns the maximum number of streams of a group with `ranks` ranks.
    ///
    /// It is at least one per rank, and at most a share of the slots of all ranks.
    /// While the ranks wait for a slow one, it is the number with which callers get most:
    /// few streams in time, or more of them that are late and still end before their
    /// callers' deadlines.
    #[must_use]
    pub fn bound(&self, ranks: u32) -> u32 {
        let in_time = self.streams_within(self.max_pause_ms * TARGET_PAUSE_SHARE, ranks);
        if !self.waits_for_slow_ranks() {
            return in_time;
        }
        let late = self.streams_within(self.max_late_pause_ms(), ranks);
        let is_in_time = self.expected_pause_ms(in_time, ranks) <= self.max_pause_ms;
        let in_time_worth = if is_in_time { 1.0 } else { LATE_ANSWER_WORTH };
        let value = |streams, worth| (worth + REFUSAL_COST) * self.stream_rate(streams, ranks);
        if value(late, LATE_ANSWER_WORTH) > value(in_time, in_time_worth) {
            late
        } else {
            in_time
        }
    }

    /// Returns the number of streams with which pauses are of a given length, within
    /// the limits of the bound.
    fn streams_within(&self, pause_ms: f32, ranks: u32) -> u32 {
        let streams = (pause_ms - self.base_ms()).max(0.0) / self.effective_cost(ranks);
        let slots = usable_slots(self.engine.slots, ranks);
        to_u32(streams).clamp(ranks.min(slots), slots)
    }

    /// Returns the expected pause between two events of a group that runs `streams`
    /// streams, in milliseconds.
    #[must_use]
    pub fn expected_pause_ms(&self, streams: u32, ranks: u32) -> f32 {
        self.base_ms() + self.effective_cost(ranks) * to_f32(streams)
    }

    /// Returns the events of all streams per millisecond.
    fn stream_rate(&self, streams: u32, ranks: u32) -> f32 {
        to_f32(streams) / self.expected_pause_ms(streams, ranks).max(1.0)
    }

    /// Returns the longest pause with which a stream of twice the usual number of
    /// events ends before its caller's deadline, in milliseconds.
    fn max_late_pause_ms(&self) -> f32 {
        let events = self.events_per_stream();
        self.max_stream_ms / (events * LONG_STREAM_FACTOR).max(1.0)
    }

    /// Returns the mean number of events of the streams that have ended.
    #[must_use]
    pub fn events_per_stream(&self) -> f32 {
        let mean = self.events_per_stream.get();
        mean.unwrap_or(INITIAL_EVENTS_PER_STREAM)
    }

    /// Returns the length above which a pause is considered a stall, in milliseconds.
    fn stall_threshold_ms(&self) -> f32 {
        self.max_pause_ms.max(self.base_ms()) * STALL_FACTOR
    }

    /// Returns the part of a pause that doesn't depend on the streams, in
    /// milliseconds: all ranks wait for the steps of the slowest one that has work.
    fn base_ms(&self) -> f32 {
        let factor = if self.waits_for_slow_ranks() {
            self.slowdown.factor()
        } else {
            1.0
        };
        self.engine.step_ms * self.steps() * factor
    }

    /// Returns the cost of a stream that the bound uses, in milliseconds for one
    /// event.
    fn effective_cost(&self, ranks: u32) -> f32 {
        let own = self.estimates().costs.map(|costs| costs.highest());
        let cost = self.peer_cost.mean_with(own);
        let cost = cost.unwrap_or_else(|| self.initial_cost(ranks));
        cost.max(self.cost_at(MIN_SKEW, ranks))
    }

    /// Returns the assumed cost of a stream in a group that no entry has observed.
    fn initial_cost(&self, ranks: u32) -> f32 {
        self.cost_at(INITIAL_SKEW, ranks) * INITIAL_PROMPT_FACTOR
    }

    /// Returns the cost of a stream in a group of `ranks` ranks with a given skew,
    /// in milliseconds for one event.
    fn cost_at(&self, skew: f32, ranks: u32) -> f32 {
        self.engine.stream_step_ms * self.steps() * skew / to_f32(ranks.max(1))
    }

    /// Returns the number of token steps between two events of a stream.
    fn steps(&self) -> f32 {
        to_f32(self.engine.steps_per_event.max(1))
    }
}

/// Returns the number of slots of ranks with `slots` each that streams use.
pub(crate) fn usable_slots(slots: u32, ranks: u32) -> u32 {
    to_u32(to_f32(slots.saturating_mul(ranks)) * SLOT_SHARE).max(1)
}

/// Returns the share that exponential decay removes within `elapsed`.
fn decayed_share(elapsed: Duration, time_constant: Duration) -> f32 {
    1.0 - (-elapsed.as_secs_f32() / time_constant.as_secs_f32()).exp()
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

//! What a member tells the decider of its rank, and how often.
//!
//! Load pattern: 64 ranks that tell their whole state and all counts twenty
//! times a second send two megabytes a second to one companion, on a link of
//! 6 Mbit/s. A state that still holds is told by its number, the more ranks a
//! group has the more seldom; counts take a fixed share of the link.

use super::{MemberEffect, PassMember};
use crate::{EngineReport, GroupShape, LayerSlice, PassMessage, RankState};
use std::time::{Duration, Instant};

/// Share of the decider's link that the counts of all ranks take.
const COUNTS_LINK_SHARE: f64 = 0.25;

/// Longest time between two times that a rank tells counts: a fraction of the
/// time for which a demand lasts.
const COUNTS_ROUND: Duration = Duration::from_millis(250);

/// Bytes of a datagram with counts beside them, its headers included.
const COUNTS_HEAD_BYTES: u32 = 90;

/// Time between two states of a rank that nothing happens to, for each rank of
/// the group: such a state takes some 90 bytes.
const STATE_TIME_PER_RANK: Duration = Duration::from_micros(1_500);

/// Whole states after a change: a datagram may be lost.
const WHOLE_AT_FIRST: u64 = 3;

/// One in so many later states is whole.
const WHOLE_EVERY: u64 = 8;

/// Returns the time between two states of each rank while nothing changes.
pub(crate) fn state_interval(ranks: u16) -> Duration {
    STATE_TIME_PER_RANK * u32::from(ranks)
}

/// What was told, and when the next is due.
#[derive(Clone, Debug)]
pub(super) struct Telling {
    /// States of this start.
    states: u64,
    /// Number of the last whole state, and what it told.
    whole: Option<(u64, Told)>,
    /// Whole states are told up to this number.
    whole_until: u64,
    /// They hold the rank's experts up to this number: a new decider has to
    /// learn the map in use, and knows the maps that it changes to itself.
    lists_until: u64,
    state_at: Instant,
    counts_at: Instant,
    /// Times that counts were told.
    rounds: u16,
}

/// What a whole state tells that matters to the decider.
#[derive(Clone, Debug, PartialEq)]
struct Told {
    /// The engine's report, without the pass.
    report: EngineReport,
    follows: u64,
    /// The map whose experts are known.
    lists: Option<u64>,
    /// The fencing number of the decider that is told.
    to: Option<u64>,
}

impl Telling {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            states: 0,
            whole: None,
            whole_until: 0,
            lists_until: 0,
            state_at: now,
            counts_at: now,
            rounds: 0,
        }
    }
}

impl Telling {
    /// Returns how many states were told.
    pub(super) fn states(&self) -> u64 {
        self.states
    }
}

impl PassMember {
    /// Returns the whole state of the rank, with the next number.
    pub(super) fn state(&mut self) -> Option<RankState> {
        let report = self.report.clone()?;
        let told = self.told(&report);
        let telling = &mut self.telling;
        telling.states += 1;
        let number = telling.states;
        if telling
            .whole
            .as_ref()
            .is_none_or(|(_, whole)| *whole != told)
        {
            telling.whole_until = number + WHOLE_AT_FIRST;
        }
        if telling
            .whole
            .as_ref()
            .is_none_or(|(_, whole)| whole.to != told.to)
        {
            telling.lists_until = number + WHOLE_AT_FIRST;
        }
        let tells_lists = number <= telling.lists_until || number.is_multiple_of(WHOLE_EVERY);
        telling.whole = Some((number, told));
        let in_use = |(version, _): &(u64, _)| tells_lists && *version == report.map;
        Some(RankState {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            number,
            address: self.settings.address,
            engine: self.settings.engine,
            lists: self.lists.clone().filter(in_use),
            follows: self.follows,
            may_be_armed: self.arming.may_come(),
            report,
        })
    }

    fn told(&self, report: &EngineReport) -> Told {
        Told {
            report: EngineReport {
                pass: 0,
                ..report.clone()
            },
            follows: self.follows,
            lists: self.lists.as_ref().map(|(version, _)| *version),
            to: self.holder.as_ref().map(|(_, fence)| *fence),
        }
    }

    /// Tells the decider the state of the rank, when it is due or has changed.
    pub(super) fn tell(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let Some(report) = &self.report else {
            return;
        };
        let told = self.told(report);
        let (rank, pass) = (report.rank, report.pass);
        let interval = state_interval(report.ranks);
        let telling = &mut self.telling;
        let still = telling.whole.as_ref().filter(|(_, whole)| *whole == told);
        let state = still.map(|(number, _)| *number);
        if state.is_some() && now < telling.state_at {
            return;
        }
        let Some(state) = state else {
            return self.tell_change(now, fx);
        };
        // Ranks that tell at different moments go on doing so.
        telling.state_at = now.max(telling.state_at + interval);
        let next = telling.states + 1;
        let whole = next <= telling.whole_until || next.is_multiple_of(WHOLE_EVERY);
        if whole || self.decider.is_some() {
            return self.tell_whole(now, fx);
        }
        telling.states = next;
        let message = PassMessage::Still {
            rank,
            incarnation: self.settings.incarnation,
            number: next,
            state,
            pass,
        };
        if let Some((holder, _)) = &self.holder {
            fx.push(MemberEffect::Send(holder.address, Box::new(message)));
        }
    }

    /// Tells the decider what has changed.
    ///
    /// What changes at all ranks at once is told at once, and overflows the
    /// decider's link if they are many: the repeats come one after the other.
    pub(super) fn tell_change(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let rank = self.report.as_ref().map_or(0, |report| report.rank);
        self.telling.state_at = now + STATE_TIME_PER_RANK * (u32::from(rank) + 1);
        self.tell_whole(now, fx);
    }

    /// Tells the decider the whole state of the rank.
    pub(super) fn tell_whole(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let Some(state) = self.state() else {
            return;
        };
        if let Some(decider) = &mut self.decider {
            decider.receive_state(now, state);
        } else if let Some((holder, _)) = &self.holder {
            let message = PassMessage::State(Box::new(state));
            fx.push(MemberEffect::Send(holder.address, Box::new(message)));
        }
    }

    /// Tells the decider what was chosen of late, when it is due: all ranks
    /// together stay within a share of its link.
    pub(super) fn tell_counts(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let (Some(report), Some(shape)) = (&self.report, self.shape) else {
            return;
        };
        if now < self.telling.counts_at {
            return;
        }
        let rank = report.rank;
        let pace = CountsPace::new(report.ranks, shape, self.settings.limits.link_bytes_per_s);
        let slice = LayerSlice {
            // At each moment other ranks tell other layers.
            first: self.telling.rounds.wrapping_add(rank) % pace.stride,
            stride: pace.stride,
        };
        let Some(loads) = self.counts.recent(shape.experts, slice) else {
            return;
        };
        let due = if self.telling.rounds == 0 {
            now + pace.interval * u32::from(rank) / u32::from(report.ranks.max(1))
        } else {
            self.telling.counts_at
        };
        self.telling.rounds = self.telling.rounds.wrapping_add(1).max(1);
        self.telling.counts_at = now.max(due + pace.interval);
        if let Some(decider) = &mut self.decider {
            decider.receive_counts(now, rank, &loads);
        } else if let Some((holder, _)) = &self.holder {
            let message = PassMessage::Counts { rank, loads };
            fx.push(MemberEffect::Send(holder.address, Box::new(message)));
        }
    }
}

/// How much of the counts a rank tells at once, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CountsPace {
    stride: u16,
    interval: Duration,
}

impl CountsPace {
    fn new(ranks: u16, shape: GroupShape, link_bytes_per_s: u32) -> Self {
        let budget = f64::from(link_bytes_per_s.max(1)) * COUNTS_LINK_SHARE;
        let time = |layers: u16| {
            let experts = u32::from(layers) * u32::from(shape.experts);
            let bytes = (experts.div_ceil(2) + COUNTS_HEAD_BYTES) * u32::from(ranks);
            Duration::from_secs_f64(f64::from(bytes) / budget)
        };
        let fits = |stride: &u16| time(shape.layers.div_ceil(*stride)) <= COUNTS_ROUND;
        let stride = (1..shape.layers).find(fits).unwrap_or(shape.layers).max(1);
        Self {
            stride,
            interval: time(shape.layers.div_ceil(stride)),
        }
    }
}

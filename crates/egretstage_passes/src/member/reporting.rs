//! Schedules a member's reports to the decider.
//!
//! Load pattern: 64 ranks that send their full state and all counts twenty
//! times a second send two megabytes a second to one companion, over a link of
//! 6 Mbit/s. So a state that is still current is repeated by its number only,
//! less often the more ranks the group has, and counts get a fixed share of the
//! link.

use super::{MemberEffect, PassMember};
use crate::{EngineReport, GroupShape, LayerSlice, PassMessage, RankState};
use std::time::{Duration, Instant};

/// Share of the decider's link for the counts of all ranks.
const COUNTS_LINK_SHARE: f64 = 0.25;

/// Longest time between two reports of counts by a rank: a fraction of the time
/// for which demand stays the same.
const MAX_COUNTS_INTERVAL: Duration = Duration::from_millis(250);

/// Bytes of a datagram in addition to the counts, including headers.
const COUNTS_OVERHEAD_BYTES: u32 = 90;

/// Time between two states of a rank while nothing changes, for each rank of
/// the group. Such a state takes about 90 bytes.
const STATE_INTERVAL_PER_RANK: Duration = Duration::from_micros(1_500);

/// Full states that repeat a change, because datagrams may be lost.
const FULL_STATES_AFTER_CHANGE: u64 = 3;

/// After those, every state whose number is a multiple of this is full.
const FULL_STATE_EVERY: u64 = 8;

/// Returns the time between two states of a rank while nothing changes.
pub(crate) fn state_interval(ranks: u16) -> Duration {
    STATE_INTERVAL_PER_RANK * u32::from(ranks)
}

/// What was reported, and when the next report is due.
#[derive(Clone, Debug)]
pub(super) struct ReportSchedule {
    /// States sent since the companion's start.
    states_sent: u64,
    /// Number and content of the last full state.
    last_full: Option<(u64, ReportedState)>,
    /// States up to this number are sent in full.
    full_until: u64,
    /// Full states up to this number include the rank's experts. A new decider
    /// needs them to learn the map in use; it knows the maps that it switches
    /// to itself.
    lists_until: u64,
    next_state: Instant,
    next_counts: Instant,
    /// Reports of counts sent.
    counts_sent: u16,
}

/// The parts of a full state that matter to the decider.
#[derive(Clone, Debug, PartialEq)]
struct ReportedState {
    /// The engine's report, with its pass set to 0.
    report: EngineReport,
    follows: u64,
    /// Version of the map whose experts are known.
    lists: Option<u64>,
    /// Fencing number of the decider that receives the state.
    to: Option<u64>,
}

impl ReportSchedule {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            states_sent: 0,
            last_full: None,
            full_until: 0,
            lists_until: 0,
            next_state: now,
            next_counts: now,
            counts_sent: 0,
        }
    }
}

impl ReportSchedule {
    /// Returns the number of states sent.
    pub(super) fn states_sent(&self) -> u64 {
        self.states_sent
    }
}

impl PassMember {
    /// Returns the full state of the rank, under the next number.
    pub(super) fn next_full_state(&mut self) -> Option<RankState> {
        let report = self.report.clone()?;
        let reported = self.reported_state(&report);
        let reporting = &mut self.reporting;
        reporting.states_sent += 1;
        let number = reporting.states_sent;
        if reporting
            .last_full
            .as_ref()
            .is_none_or(|(_, last)| *last != reported)
        {
            reporting.full_until = number + FULL_STATES_AFTER_CHANGE;
        }
        if reporting
            .last_full
            .as_ref()
            .is_none_or(|(_, last)| last.to != reported.to)
        {
            reporting.lists_until = number + FULL_STATES_AFTER_CHANGE;
        }
        let with_lists = number <= reporting.lists_until || number.is_multiple_of(FULL_STATE_EVERY);
        reporting.last_full = Some((number, reported));
        let in_use = |(version, _): &(u64, _)| with_lists && *version == report.map;
        Some(RankState {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            number,
            address: self.settings.address,
            engine: self.settings.engine,
            lists: self.lists.clone().filter(in_use),
            follows: self.follows,
            may_be_armed: self.pending_arming.is_pending(),
            report,
        })
    }

    fn reported_state(&self, report: &EngineReport) -> ReportedState {
        ReportedState {
            report: EngineReport {
                pass: 0,
                ..report.clone()
            },
            follows: self.follows,
            lists: self.lists.as_ref().map(|(version, _)| *version),
            to: self.followed_claim.as_ref().map(|(_, fence)| *fence),
        }
    }

    /// Sends the state of the rank to the decider if it is due or has changed.
    pub(super) fn send_state_if_due(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let Some(report) = &self.report else {
            return;
        };
        let reported = self.reported_state(report);
        let (rank, pass) = (report.rank, report.pass);
        let interval = state_interval(report.ranks);
        let reporting = &mut self.reporting;
        let unchanged = reporting
            .last_full
            .as_ref()
            .filter(|(_, last)| *last == reported);
        let state = unchanged.map(|(number, _)| *number);
        if state.is_some() && now < reporting.next_state {
            return;
        }
        let Some(state) = state else {
            return self.send_changed_state(now, fx);
        };
        // Counts from the last due time, so that ranks that report at different
        // times continue to do so.
        reporting.next_state = now.max(reporting.next_state + interval);
        let next = reporting.states_sent + 1;
        let full = next <= reporting.full_until || next.is_multiple_of(FULL_STATE_EVERY);
        if full || self.decider.is_some() {
            return self.send_full_state(now, fx);
        }
        reporting.states_sent = next;
        let message = PassMessage::Still {
            rank,
            incarnation: self.settings.incarnation,
            number: next,
            state,
            pass,
        };
        if let Some((claim, _)) = &self.followed_claim {
            fx.push(MemberEffect::Send(claim.address, Box::new(message)));
        }
    }

    /// Sends a changed state to the decider.
    ///
    /// In a large group, all ranks send the same change at once, which overflows
    /// the decider's link. So they send their repeats one after the other.
    pub(super) fn send_changed_state(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let rank = self.report.as_ref().map_or(0, |report| report.rank);
        self.reporting.next_state = now + STATE_INTERVAL_PER_RANK * (u32::from(rank) + 1);
        self.send_full_state(now, fx);
    }

    /// Sends the full state of the rank to the decider.
    pub(super) fn send_full_state(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let Some(state) = self.next_full_state() else {
            return;
        };
        if let Some(decider) = &mut self.decider {
            decider.receive_state(now, state);
        } else if let Some((claim, _)) = &self.followed_claim {
            let message = PassMessage::State(Box::new(state));
            fx.push(MemberEffect::Send(claim.address, Box::new(message)));
        }
    }

    /// Sends recent counts to the decider if they are due. All ranks together
    /// use at most a share of its link.
    pub(super) fn send_counts_if_due(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let (Some(report), Some(shape)) = (&self.report, self.shape) else {
            return;
        };
        if now < self.reporting.next_counts {
            return;
        }
        let rank = report.rank;
        let pace = CountsPace::new(report.ranks, shape, self.settings.limits.link_bytes_per_s);
        let slice = LayerSlice {
            // At any time, different ranks report different layers.
            first: self.reporting.counts_sent.wrapping_add(rank) % pace.stride,
            stride: pace.stride,
        };
        let Some(loads) = self.counts.recent(shape.experts, slice) else {
            return;
        };
        let due = if self.reporting.counts_sent == 0 {
            now + pace.interval * u32::from(rank) / u32::from(report.ranks.max(1))
        } else {
            self.reporting.next_counts
        };
        self.reporting.counts_sent = self.reporting.counts_sent.wrapping_add(1).max(1);
        self.reporting.next_counts = now.max(due + pace.interval);
        if let Some(decider) = &mut self.decider {
            decider.receive_counts(now, rank, &loads);
        } else if let Some((claim, _)) = &self.followed_claim {
            let message = PassMessage::Counts { rank, loads };
            fx.push(MemberEffect::Send(claim.address, Box::new(message)));
        }
    }
}

/// How many layers' counts a rank reports at once, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CountsPace {
    /// Distance from one reported layer to the next.
    stride: u16,
    /// Time between two reports of the rank.
    interval: Duration,
}

impl CountsPace {
    fn new(ranks: u16, shape: GroupShape, link_bytes_per_s: u32) -> Self {
        let budget = f64::from(link_bytes_per_s.max(1)) * COUNTS_LINK_SHARE;
        let transfer_time = |layers: u16| {
            let experts = u32::from(layers) * u32::from(shape.experts);
            let bytes = (experts.div_ceil(2) + COUNTS_OVERHEAD_BYTES) * u32::from(ranks);
            Duration::from_secs_f64(f64::from(bytes) / budget)
        };
        let fits =
            |stride: &u16| transfer_time(shape.layers.div_ceil(*stride)) <= MAX_COUNTS_INTERVAL;
        let stride = (1..shape.layers).find(fits).unwrap_or(shape.layers).max(1);
        Self {
            stride,
            interval: transfer_time(shape.layers.div_ceil(stride)),
        }
    }
}

//! A companion's membership in its group: claims, reports and orders.

mod arming;
mod claims;
mod event;
mod liveness;
mod reporting;
mod slow_ranks;

use arming::PendingArming;
pub(crate) use reporting::state_interval;

pub use event::{MemberEffect, MemberEvent, PassLogEntry};
use reporting::ReportSchedule;
use slow_ranks::SlowRankReports;

use crate::decider::OrderRoute;
use crate::{
    CountWindow, DeciderClaim, DeciderEffect, DeciderLimits, EngineReport, ExpertLists,
    FencedOrder, GroupShape, KnownMaps, MapDecider, OrderEnd, PassMessage, PassOrder, RankAddress,
    SilenceLimit, UnchangedState,
};
use egretstage_runtime::Reducer;
use egretstage_wire::InstanceId;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Intervals and timeouts of a member.
#[derive(Clone, Copy, Debug)]
pub struct MemberLimits {
    /// Time between two reads of the local engine's report.
    pub report_interval: Duration,
    /// Time between two reads of the local engine's counts.
    pub counts_interval: Duration,
    /// Capacity of the instance's link.
    pub link_bytes_per_s: u32,
    /// Span of the counts from which maps are planned.
    pub counts_window: Duration,
    /// Time between two heartbeats of a decider.
    pub heartbeat_interval: Duration,
    /// Silence of the decider after which another companion claims to decide.
    /// Raised while heartbeats are generally late.
    pub suspect_after: Duration,
    /// Time before the suspicion at which others are asked whether the decider
    /// reaches them.
    pub query_lead: Duration,
    /// Additional time that a new decider has before it is suspected.
    pub new_decider_grace: Duration,
    /// Time without a report of another companion after which a decider steps
    /// down.
    pub isolated_after: Duration,
    /// Additional time that each rank waits compared with the rank before it,
    /// before it claims to decide.
    pub stagger: Duration,
    /// Limit of the additional time that the last rank waits compared with the
    /// first.
    pub max_stagger: Duration,
    /// Time between two reads of the claims while there is no decider.
    pub claim_read_interval: Duration,
    /// Time without reports of all ranks after which a decider reads the
    /// claims: the other ranks may follow another decider that has no route to
    /// this one.
    pub claim_check_after: Duration,
    /// Limits of a decider.
    pub decider: DeciderLimits,
}

impl Default for MemberLimits {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(50),
            counts_interval: Duration::from_millis(50),
            counts_window: Duration::from_millis(200),
            link_bytes_per_s: 1_000_000,
            heartbeat_interval: Duration::from_millis(100),
            suspect_after: Duration::from_millis(600),
            query_lead: Duration::from_millis(150),
            new_decider_grace: Duration::from_millis(300),
            isolated_after: Duration::from_millis(1_500),
            stagger: Duration::from_millis(60),
            max_stagger: Duration::from_millis(800),
            claim_read_interval: Duration::from_millis(400),
            claim_check_after: Duration::from_secs(2),
            decider: DeciderLimits::default(),
        }
    }
}

/// Identity, addresses and limits of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The companion.
    pub instance: InstanceId,
    /// Random for each start of the companion.
    pub incarnation: u64,
    /// Address at which the other companions reach it.
    pub address: SocketAddr,
    /// Address of its engine.
    pub engine: SocketAddr,
    /// Intervals and timeouts.
    pub limits: MemberLimits,
}

/// A companion as a member of its group.
///
/// It reports its rank to the decider that it follows, passes orders to its
/// engine, and takes over as decider if need be.
#[derive(Debug)]
pub struct PassMember {
    settings: MemberSettings,
    shape: Option<GroupShape>,
    report: Option<EngineReport>,
    /// Fencing number of the decider that was followed when the report was
    /// requested.
    follows: u64,
    /// The experts that the rank holds, with the map's version.
    lists: Option<(u64, ExpertLists)>,
    /// The maps that the decider has sent, and those that the group may start
    /// with.
    maps: KnownMaps,
    counts: CountWindow,
    pending_arming: PendingArming,
    reporting: ReportSchedule,
    /// The newest claim, with its fencing number.
    followed_claim: Option<(DeciderClaim, u64)>,
    /// When the decider was last known to be alive.
    last_contact: Instant,
    silence: SilenceLimit,
    /// Whether peers were asked about the silent decider.
    peers_asked: bool,
    last_poll: Instant,
    addresses: Vec<Option<RankAddress>>,
    reading_claim: bool,
    decider: Option<MapDecider>,
    slow_rank_reports: SlowRankReports,
    /// The highest fencing number known so far.
    highest_fence: u64,
    /// Fencing number of a claim that this member abandoned.
    abandoned_fence: Option<u64>,
    next_report_read: Instant,
    next_counts_read: Instant,
    next_claim_read: Instant,
    next_heartbeat: Instant,
    /// Index of the ranks that receive the next heartbeats.
    heartbeat_slice: usize,
}

impl PassMember {
    /// Starts without any knowledge of the group.
    #[must_use]
    pub fn new(now: Instant, settings: MemberSettings) -> Self {
        Self {
            counts: CountWindow::new(settings.limits.counts_window),
            silence: SilenceLimit::new(settings.limits.suspect_after),
            settings,
            shape: None,
            report: None,
            follows: 0,
            lists: None,
            maps: KnownMaps::default(),
            pending_arming: PendingArming::default(),
            reporting: ReportSchedule::new(now),
            followed_claim: None,
            last_contact: now,
            peers_asked: false,
            last_poll: now,
            addresses: Vec::new(),
            reading_claim: false,
            decider: None,
            slow_rank_reports: SlowRankReports::new(now),
            highest_fence: 0,
            abandoned_fence: None,
            next_report_read: now,
            next_counts_read: now,
            next_claim_read: now,
            next_heartbeat: now,
            heartbeat_slice: 0,
        }
    }

    /// Returns whether this member decides for its group.
    #[must_use]
    pub fn is_decider(&self) -> bool {
        self.decider.is_some()
    }

    /// Handles the local engine's report and sends the state if it is due.
    fn report_read(
        &mut self,
        now: Instant,
        report: EngineReport,
        follows: u64,
        fx: &mut Vec<MemberEffect>,
    ) {
        let listed_version = self.lists.as_ref().map(|(version, _)| *version);
        if listed_version != Some(report.map) {
            fx.push(MemberEffect::ReadLists);
        }
        let other_group = self
            .report
            .as_ref()
            .is_some_and(|r| r.group != report.group);
        if other_group {
            self.unfollow(fx);
        }
        let ranks = report.ranks;
        let known_ranks = self.report.as_ref().map(|report| report.ranks);
        self.pending_arming.update(now, &report);
        self.report = Some(report);
        self.follows = follows;
        if known_ranks != Some(ranks) {
            self.set_initial_maps();
        }
        self.send_state_if_due(now, fx);
    }

    /// Computes the maps that the group may start with.
    fn set_initial_maps(&mut self) {
        if let (Some(shape), Some(report)) = (self.shape, &self.report) {
            let maps = &mut self.maps;
            maps.set_initial_maps(report.ranks, shape.layers, shape.experts);
        }
    }

    /// Returns the fencing number of the followed decider, or 0.
    fn followed_fence(&self) -> u64 {
        self.followed_claim.as_ref().map_or(0, |(_, fence)| *fence)
    }

    fn receive_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: PassMessage,
        fx: &mut Vec<MemberEffect>,
    ) {
        match message {
            PassMessage::State(state) => {
                if let Some(decider) = &mut self.decider {
                    decider.receive_state(now, *state);
                }
            }
            PassMessage::Still {
                rank,
                incarnation,
                number,
                state,
                pass,
            } => {
                let unchanged = UnchangedState {
                    incarnation,
                    number,
                    state,
                    pass,
                };
                if let Some(decider) = &mut self.decider {
                    decider.receive_unchanged(now, rank, unchanged);
                }
            }
            PassMessage::Counts { rank, loads } => {
                if let Some(decider) = &mut self.decider {
                    decider.receive_counts(now, rank, &loads);
                }
            }
            PassMessage::Heartbeat {
                claim,
                fence,
                addresses,
            } => self.receive_heartbeat(now, *claim, fence, &addresses, fx),
            PassMessage::Alive { fence, addresses } => self.receive_alive(now, fence, &addresses),
            PassMessage::AskState => self.send_full_state(now, fx),
            PassMessage::Hear { fence } => self.answer_query(now, from, fence, fx),
            PassMessage::Heard { fence, age_ms } => self.receive_heard(now, fence, age_ms),
            PassMessage::Order { number, order } => {
                self.receive_order(now, from, number, order, fx);
            }
            PassMessage::Changes { number, order } => {
                let Some(layers) = self.maps.apply(&order.changes) else {
                    let end = OrderEnd::UnknownMap;
                    fx.push(reject_order(from, number, end));
                    return;
                };
                let full_order = FencedOrder {
                    fence: order.fence,
                    epoch: order.epoch,
                    accepted: order.accepted,
                    order: PassOrder::Prepare {
                        version: order.version,
                        layers,
                    },
                };
                self.receive_order(now, from, number, Box::new(full_order), fx);
            }
            PassMessage::OrderDone {
                number,
                end,
                states,
                state,
            } => {
                if let Some(decider) = &mut self.decider {
                    decider.order_answered(now, number, end, states);
                    if let Some(state) = state {
                        decider.receive_state(now, *state);
                    }
                }
            }
        }
    }

    /// Passes an order of the decider to the local engine.
    fn receive_order(
        &mut self,
        now: Instant,
        issuer: SocketAddr,
        number: u64,
        order: Box<FencedOrder>,
        fx: &mut Vec<MemberEffect>,
    ) {
        if order.fence < self.followed_fence() {
            fx.push(reject_order(issuer, number, OrderEnd::Fenced));
            return;
        }
        self.record_contact(now);
        if let PassOrder::Prepare { layers, .. } = &order.order {
            self.maps.insert(layers.clone());
        }
        self.pending_arming
            .record_order(now, (issuer, number), &order);
        fx.push(MemberEffect::Order {
            engine: self.settings.engine,
            issuer: Some(issuer),
            number,
            order,
        });
    }

    /// Reports the end of an order to the companion that issued it, or to this
    /// member's own decider.
    fn order_ended(
        &mut self,
        now: Instant,
        issuer: Option<SocketAddr>,
        number: u64,
        end: OrderEnd,
        report: Option<EngineReport>,
        fx: &mut Vec<MemberEffect>,
    ) {
        let Some(issuer) = issuer else {
            if let Some(decider) = &mut self.decider {
                decider.order_done(now, number, end, report);
            }
            return;
        };
        self.pending_arming.record_end(issuer, number, end);
        if let Some(report) = report {
            self.pending_arming.update(now, &report);
            self.report = Some(report);
        }
        let states = self.reporting.states_sent();
        let accepted = end == OrderEnd::Accepted;
        let state = if accepted {
            None
        } else {
            self.next_full_state()
        };
        let done = PassMessage::OrderDone {
            number,
            end,
            states,
            state: state.map(Box::new),
        };
        fx.push(MemberEffect::Send(issuer, Box::new(done)));
    }

    fn poll(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let limits = self.settings.limits;
        self.detect_own_stall(now);
        if now >= self.next_report_read {
            self.next_report_read = now + limits.report_interval;
            fx.push(MemberEffect::ReadReport(self.followed_fence()));
        }
        if now >= self.next_counts_read {
            self.next_counts_read = now + limits.counts_interval;
            fx.push(MemberEffect::ReadCounts);
        }
        self.ask_peers(now, fx);
        if let Some(report) = &self.report
            && self.claim_read_due().is_some_and(|at| at <= now)
        {
            self.reading_claim = true;
            fx.push(MemberEffect::ReadClaim(report.group.clone()));
        }
    }

    fn run_decider(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let Some(decider) = &mut self.decider else {
            return;
        };
        let mut out = Vec::new();
        decider.wake(now, &mut out);
        let superseded = decider.is_superseded();
        if now >= self.next_heartbeat {
            self.send_heartbeats(now, fx);
        }
        for output in out {
            fx.push(self.to_effect(output));
        }
        if superseded {
            // The store may return this member's claim as the newest if it has
            // lost the one that an engine has seen.
            self.abandoned_fence = Some(self.followed_fence());
            self.unfollow(fx);
            self.next_claim_read = now;
        } else {
            self.report_slow_ranks(now, fx);
            self.step_down_if_isolated(now, fx);
        }
    }

    fn to_effect(&self, output: DeciderEffect) -> MemberEffect {
        match output {
            DeciderEffect::Log(entry) => MemberEffect::Log(entry),
            DeciderEffect::RequestState(to) => {
                MemberEffect::Send(to, Box::new(PassMessage::AskState))
            }
            DeciderEffect::ReadReport(engine) => MemberEffect::ReadRemoteReport(engine),
            DeciderEffect::Changes { to, number, order } => {
                let message = PassMessage::Changes { number, order };
                MemberEffect::Send(to, Box::new(message))
            }
            DeciderEffect::Order {
                route,
                number,
                order,
            } => match route {
                OrderRoute::Companion(to) if to != self.settings.address => {
                    let message = PassMessage::Order { number, order };
                    MemberEffect::Send(to, Box::new(message))
                }
                OrderRoute::Companion(_) => MemberEffect::Order {
                    engine: self.settings.engine,
                    issuer: None,
                    number,
                    order,
                },
                OrderRoute::Engine(engine) => MemberEffect::Order {
                    engine,
                    issuer: None,
                    number,
                    order,
                },
            },
        }
    }
}

/// Answers that an order wasn't passed to the engine.
fn reject_order(issuer: SocketAddr, number: u64, end: OrderEnd) -> MemberEffect {
    let done = PassMessage::OrderDone {
        number,
        end,
        states: 0,
        state: None,
    };
    MemberEffect::Send(issuer, Box::new(done))
}

impl Reducer for PassMember {
    type Event = MemberEvent;
    type Effect = MemberEffect;

    fn reduce(&mut self, now: Instant, event: MemberEvent, fx: &mut Vec<MemberEffect>) {
        match event {
            MemberEvent::GroupConfigured(shape) => {
                self.shape = Some(shape);
                self.set_initial_maps();
            }
            MemberEvent::ReportRead(report, follows) => self.report_read(now, *report, follows, fx),
            MemberEvent::ListsRead(version, lists) => {
                self.lists = Some((version, lists));
                self.send_state_if_due(now, fx);
            }
            MemberEvent::CountsRead(counts) => {
                self.counts.add(now, counts);
                self.send_counts_if_due(now, fx);
            }
            MemberEvent::OrderEnded {
                issuer,
                number,
                end,
                report,
            } => self.order_ended(now, issuer, number, end, report.map(|r| *r), fx),
            MemberEvent::RemoteReportRead(engine, report) => {
                if let Some(decider) = &mut self.decider {
                    decider.receive_remote_report(now, engine, *report);
                }
            }
            MemberEvent::Received(from, message) => self.receive_message(now, from, *message, fx),
            MemberEvent::ClaimRead {
                claim,
                end,
                least_fence,
            } => self.claim_read(now, claim, (end, least_fence), fx),
            MemberEvent::ClaimFailed => {
                self.reading_claim = false;
                self.next_claim_read = now + self.settings.limits.claim_read_interval;
            }
            MemberEvent::EntriesRead(entries) => self.entries_read(now, entries),
            MemberEvent::Suspended => {
                self.unfollow(fx);
                self.next_claim_read = now;
            }
        }
        self.run_decider(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        self.poll(now, fx);
        self.run_decider(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let claim = self.claim_read_due();
        let heartbeat = self.decider.as_ref().map(|_| self.next_heartbeat);
        [
            Some(self.next_report_read),
            Some(self.next_counts_read),
            claim,
            heartbeat,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

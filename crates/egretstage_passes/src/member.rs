//! The companion's part in its group: claims, reports, orders.

mod arming;
mod claims;
mod event;
mod liveness;
mod telling;

use arming::PendingArming;
pub(crate) use telling::state_interval;

pub use event::{MemberEffect, MemberEvent, PassLogEntry};
use telling::Telling;

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

/// Times of a member.
#[derive(Clone, Copy, Debug)]
pub struct MemberLimits {
    /// Time between two looks at the own engine's report.
    pub report_interval: Duration,
    /// Time between two looks at the own engine's counts.
    pub counts_interval: Duration,
    /// What the instance's link carries.
    pub link_bytes_per_s: u32,
    /// Span of the counts from which maps are planned.
    pub counts_window: Duration,
    /// Time between two heartbeats of a decider.
    pub heartbeat_interval: Duration,
    /// Silence of the decider after which another claims to decide, unless
    /// its heartbeats are late anyway.
    pub suspect_after: Duration,
    /// Time before that at which others are asked whether they hear it.
    pub query_lead: Duration,
    /// Time that a new decider has beyond the others' before it is suspected.
    pub new_decider_grace: Duration,
    /// Time after which a decider that hears no other companion stands down.
    pub isolated_after: Duration,
    /// Most time that each rank waits longer than the one before it.
    pub stagger: Duration,
    /// Most time that the last rank waits longer than the first.
    pub max_stagger: Duration,
    /// Time between two reads of the claims while there is no decider.
    pub claim_read_interval: Duration,
    /// Time for which a decider misses some rank before it reads the claims: the
    /// others may follow another one, which knows no way to this one.
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

/// Who a member is.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The companion.
    pub instance: InstanceId,
    /// Random for each start of the companion.
    pub incarnation: u64,
    /// Where the other companions reach it.
    pub address: SocketAddr,
    /// Where its engine is reached.
    pub engine: SocketAddr,
    /// Times.
    pub limits: MemberLimits,
}

/// The companion's part in its group.
#[derive(Debug)]
pub struct PassMember {
    settings: MemberSettings,
    shape: Option<GroupShape>,
    report: Option<EngineReport>,
    /// Fencing number of the decider followed when the report was asked for.
    follows: u64,
    lists: Option<(u64, ExpertLists)>,
    /// Maps that the decider told.
    maps: KnownMaps,
    counts: CountWindow,
    arming: PendingArming,
    telling: Telling,
    /// The newest claim with its fencing number.
    holder: Option<(DeciderClaim, u64)>,
    heard: Instant,
    silence: SilenceLimit,
    /// Whether others were asked if they hear the decider.
    asked: bool,
    polled: Instant,
    addresses: Vec<Option<RankAddress>>,
    reading_claim: bool,
    decider: Option<MapDecider>,
    /// The highest fencing number that was ever known.
    highest_fence: u64,
    /// Fencing number of an own claim that was given up.
    retired: Option<u64>,
    report_at: Instant,
    counts_at: Instant,
    claim_at: Instant,
    heartbeat_at: Instant,
    /// The ranks that the next heartbeats go to.
    beats: usize,
}

impl PassMember {
    /// Starts before anything is known.
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
            arming: PendingArming::default(),
            telling: Telling::new(now),
            holder: None,
            heard: now,
            asked: false,
            polled: now,
            addresses: Vec::new(),
            reading_claim: false,
            decider: None,
            highest_fence: 0,
            retired: None,
            report_at: now,
            counts_at: now,
            claim_at: now,
            heartbeat_at: now,
            beats: 0,
        }
    }

    /// Tells whether this member decides for its group.
    #[must_use]
    pub fn is_decider(&self) -> bool {
        self.decider.is_some()
    }

    fn reported(
        &mut self,
        now: Instant,
        report: EngineReport,
        follows: u64,
        fx: &mut Vec<MemberEffect>,
    ) {
        let listed = self.lists.as_ref().map(|(version, _)| *version);
        if listed != Some(report.map) {
            fx.push(MemberEffect::ReadLists);
        }
        let other_group = self
            .report
            .as_ref()
            .is_some_and(|r| r.group != report.group);
        if other_group {
            self.forget_holder(fx);
        }
        let ranks = report.ranks;
        let known = self.report.as_ref().map(|report| report.ranks);
        self.arming.reported(now, &report);
        self.report = Some(report);
        self.follows = follows;
        if known != Some(ranks) {
            self.set_initial_maps();
        }
        self.tell(now, fx);
    }

    /// Works out the maps that the group may start with.
    fn set_initial_maps(&mut self) {
        if let (Some(shape), Some(report)) = (self.shape, &self.report) {
            let maps = &mut self.maps;
            maps.set_initial_maps(report.ranks, shape.layers, shape.experts);
        }
    }

    /// Returns the fencing number of the decider that is followed.
    fn fence(&self) -> u64 {
        self.holder.as_ref().map_or(0, |(_, fence)| *fence)
    }

    fn received(
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
                let still = UnchangedState {
                    incarnation,
                    number,
                    state,
                    pass,
                };
                if let Some(decider) = &mut self.decider {
                    decider.receive_unchanged(now, rank, still);
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
            } => self.heartbeat(now, *claim, fence, &addresses, fx),
            PassMessage::Alive { fence, addresses } => self.alive(now, fence, &addresses),
            PassMessage::AskState => self.tell_whole(now, fx),
            PassMessage::Hear { fence } => self.asked_for(now, from, fence, fx),
            PassMessage::Heard { fence, age_ms } => self.heard_elsewhere(now, fence, age_ms),
            PassMessage::Order { number, order } => {
                self.ordered(now, from, number, order, fx);
            }
            PassMessage::Changes { number, order } => {
                let Some(layers) = self.maps.apply(&order.changes) else {
                    let end = OrderEnd::UnknownMap;
                    fx.push(not_carried_out(from, number, end));
                    return;
                };
                let whole = FencedOrder {
                    fence: order.fence,
                    epoch: order.epoch,
                    accepted: order.accepted,
                    order: PassOrder::Prepare {
                        version: order.version,
                        layers,
                    },
                };
                self.ordered(now, from, number, Box::new(whole), fx);
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

    /// Passes the decider's order to the own engine.
    fn ordered(
        &mut self,
        now: Instant,
        issuer: SocketAddr,
        number: u64,
        order: Box<FencedOrder>,
        fx: &mut Vec<MemberEffect>,
    ) {
        if order.fence < self.fence() {
            fx.push(not_carried_out(issuer, number, OrderEnd::Fenced));
            return;
        }
        self.hear(now);
        if let PassOrder::Prepare { layers, .. } = &order.order {
            self.maps.insert(layers.clone());
        }
        self.arming.ordered(now, (issuer, number), &order);
        fx.push(MemberEffect::Order {
            engine: self.settings.engine,
            issuer: Some(issuer),
            number,
            order,
        });
    }

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
        self.arming.ended(issuer, number, end);
        if let Some(report) = report {
            self.arming.reported(now, &report);
            self.report = Some(report);
        }
        let states = self.telling.states();
        let accepted = end == OrderEnd::Accepted;
        let state = if accepted { None } else { self.state() };
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
        self.notice_own_stall(now);
        if now >= self.report_at {
            self.report_at = now + limits.report_interval;
            fx.push(MemberEffect::ReadReport(self.fence()));
        }
        if now >= self.counts_at {
            self.counts_at = now + limits.counts_interval;
            fx.push(MemberEffect::ReadCounts);
        }
        self.ask_others(now, fx);
        if let Some(report) = &self.report
            && self.claim_due_at().is_some_and(|at| at <= now)
        {
            self.reading_claim = true;
            fx.push(MemberEffect::ReadClaim(report.group.clone()));
        }
    }

    fn decide(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let Some(decider) = &mut self.decider else {
            return;
        };
        let mut out = Vec::new();
        decider.wake(now, &mut out);
        let superseded = decider.is_superseded();
        if now >= self.heartbeat_at {
            self.beat(now, fx);
        }
        for output in out {
            fx.push(self.carry_out(output));
        }
        if superseded {
            // The store may show the own claim as the newest, if it has lost
            // the one that an engine knows of.
            self.retired = Some(self.fence());
            self.forget_holder(fx);
            self.claim_at = now;
        } else {
            self.stand_down_if_deaf(now, fx);
        }
    }

    fn carry_out(&self, output: DeciderEffect) -> MemberEffect {
        match output {
            DeciderEffect::Log(line) => MemberEffect::Log(line),
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

/// Tells the decider that an order wasn't passed to the engine.
fn not_carried_out(issuer: SocketAddr, number: u64, end: OrderEnd) -> MemberEffect {
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
            MemberEvent::ReportRead(report, follows) => self.reported(now, *report, follows, fx),
            MemberEvent::ListsRead(version, lists) => {
                self.lists = Some((version, lists));
                self.tell(now, fx);
            }
            MemberEvent::CountsRead(counts) => {
                self.counts.add(now, counts);
                self.tell_counts(now, fx);
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
            MemberEvent::Received(from, message) => self.received(now, from, *message, fx),
            MemberEvent::ClaimRead {
                claim,
                end,
                least_fence,
            } => self.claim_read(now, claim, (end, least_fence), fx),
            MemberEvent::ClaimFailed => {
                self.reading_claim = false;
                self.claim_at = now + self.settings.limits.claim_read_interval;
            }
            MemberEvent::Suspended => {
                self.forget_holder(fx);
                self.claim_at = now;
            }
        }
        self.decide(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        self.poll(now, fx);
        self.decide(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let claim = self.claim_due_at();
        let heartbeat = self.decider.as_ref().map(|_| self.heartbeat_at);
        [Some(self.report_at), Some(self.counts_at), claim, heartbeat]
            .into_iter()
            .flatten()
            .min()
    }
}

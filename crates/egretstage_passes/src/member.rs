//! The companion's part in its group: claims, reports, orders.

mod claims;
mod event;

pub use event::{MemberEffect, MemberEvent, PassLine};

use crate::decider::Way;
use crate::{
    CountWindow, DeciderClaim, DeciderLimits, EngineReport, ExpertLists, FencedOrder, GroupShape,
    KnownMaps, MapDecider, OrderEnd, PassMessage, PassOrder, RankAddress, RankOutput, RankState,
    RecentLoads,
};
use egretstage_runtime::Reducer;
use egretstage_wire::InstanceId;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// States that tell the rank's experts after they have changed: a datagram may
/// be lost.
const LISTS_AT_FIRST: u64 = 4;

/// One in so many later states tells them again.
const LISTS_EVERY: u64 = 10;

/// Time that a byte of the ranks' counts takes of the decider's link: a small
/// part of the slowest links, of one megabyte a second.
const COUNTS_TIME_PER_BYTE: Duration = Duration::from_micros(6);

/// Times of a member.
#[derive(Clone, Copy, Debug)]
pub struct MemberLimits {
    /// Time between two looks at the own engine's report.
    pub report_interval: Duration,
    /// Time between two looks at the own engine's counts.
    pub counts_interval: Duration,
    /// Span of the counts from which maps are planned.
    pub counts_window: Duration,
    /// Time between two heartbeats of a decider.
    pub heartbeat: Duration,
    /// Silence of the decider after which another claims to decide.
    pub suspect_after: Duration,
    /// Time that each rank waits longer than the one before it.
    pub stagger: Duration,
    /// Time between two reads of the claims while there is no decider.
    pub claims_interval: Duration,
    /// Limits of a decider.
    pub decider: DeciderLimits,
}

impl Default for MemberLimits {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(50),
            counts_interval: Duration::from_millis(50),
            counts_window: Duration::from_millis(200),
            heartbeat: Duration::from_millis(100),
            suspect_after: Duration::from_millis(600),
            stagger: Duration::from_millis(60),
            claims_interval: Duration::from_millis(400),
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
    /// States that were told.
    states: u64,
    /// Fencing number of the decider followed when the report was asked for.
    follows: u64,
    lists: Option<(u64, ExpertLists)>,
    /// Maps that the decider told.
    maps: KnownMaps,
    /// States that tell the lists, since they have changed.
    lists_until: u64,
    counts: CountWindow,
    /// When the recent counts are told next.
    recent_at: Instant,
    /// The newest claim with its fencing number.
    holder: Option<(DeciderClaim, u64)>,
    heard: Instant,
    seats: Vec<Option<RankAddress>>,
    reading_claim: bool,
    decider: Option<MapDecider>,
    report_at: Instant,
    counts_at: Instant,
    claim_at: Instant,
    heartbeat_at: Instant,
}

impl PassMember {
    /// Starts before anything is known.
    #[must_use]
    pub fn new(now: Instant, settings: MemberSettings) -> Self {
        Self {
            counts: CountWindow::new(settings.limits.counts_window),
            settings,
            shape: None,
            report: None,
            states: 0,
            follows: 0,
            lists: None,
            maps: KnownMaps::default(),
            lists_until: 0,
            recent_at: now,
            holder: None,
            heard: now,
            seats: Vec::new(),
            reading_claim: false,
            decider: None,
            report_at: now,
            counts_at: now,
            claim_at: now,
            heartbeat_at: now,
        }
    }

    /// Tells whether this member decides for its group.
    #[must_use]
    pub fn decides(&self) -> bool {
        self.decider.is_some()
    }

    fn state(&mut self, now: Instant) -> Option<RankState> {
        let report = self.report.clone()?;
        self.states += 1;
        let tells_lists = self.states < self.lists_until || self.states.is_multiple_of(LISTS_EVERY);
        let lists = self.lists.clone().filter(|_| tells_lists);
        let recent = self.recent(now, report.ranks);
        Some(RankState {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            number: self.states,
            address: self.settings.address,
            engine: self.settings.engine,
            lists: lists.filter(|(version, _)| *version == report.map),
            recent,
            follows: self.follows,
            report,
        })
    }

    /// Returns the recent counts when they are due: those of all ranks together
    /// stay within what the decider's link carries.
    fn recent(&mut self, now: Instant, ranks: u16) -> Option<RecentLoads> {
        if now < self.recent_at {
            return None;
        }
        let recent = self.counts.recent()?;
        let bytes = u32::try_from(recent.scaled.len()).unwrap_or(u32::MAX);
        let interval = COUNTS_TIME_PER_BYTE * bytes.saturating_mul(u32::from(ranks));
        self.recent_at = now + interval;
        Some(recent)
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
        self.report = Some(report);
        self.follows = follows;
        self.tell_state(now, fx);
    }

    /// Returns the fencing number of the decider that is followed.
    fn fence(&self) -> u64 {
        self.holder.as_ref().map_or(0, |(_, fence)| *fence)
    }

    /// Tells the decider the state of the rank.
    fn tell_state(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let Some(state) = self.state(now) else {
            return;
        };
        if let Some(decider) = &mut self.decider {
            decider.state(now, state);
        } else if let Some((holder, _)) = &self.holder {
            let message = PassMessage::State(Box::new(state));
            fx.push(MemberEffect::Send(holder.address, Box::new(message)));
        }
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
                    decider.state(now, *state);
                }
            }
            PassMessage::Heartbeat {
                claim,
                fence,
                seats,
            } => self.heartbeat(now, *claim, fence, seats, fx),
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
            PassMessage::OrderDone { number, end, state } => {
                if let Some(decider) = &mut self.decider {
                    decider.order_done(now, number, end, None);
                    if let Some(state) = state {
                        decider.state(now, *state);
                    }
                }
            }
        }
    }

    /// Passes the decider's order to the own engine.
    fn ordered(
        &mut self,
        now: Instant,
        giver: SocketAddr,
        number: u64,
        order: Box<FencedOrder>,
        fx: &mut Vec<MemberEffect>,
    ) {
        if order.fence < self.fence() {
            fx.push(not_carried_out(giver, number, OrderEnd::Fenced));
            return;
        }
        self.heard = now;
        if let PassOrder::Prepare { layers, .. } = &order.order {
            self.maps.remember(layers.clone());
        }
        fx.push(MemberEffect::Order {
            engine: self.settings.engine,
            giver: Some(giver),
            number,
            order,
        });
    }

    /// Hears of the decider, perhaps of a new one before its claim is read.
    fn heartbeat(
        &mut self,
        now: Instant,
        claim: DeciderClaim,
        fence: u64,
        seats: Vec<Option<RankAddress>>,
        fx: &mut Vec<MemberEffect>,
    ) {
        let known = self.fence();
        let own_group = self.report.as_ref().is_some_and(|r| r.group == claim.group);
        if fence < known || !own_group {
            return;
        }
        self.heard = now;
        self.seats = seats;
        if fence > known {
            self.follow(now, claim, fence, fx);
        }
    }

    fn order_ended(
        &mut self,
        now: Instant,
        giver: Option<SocketAddr>,
        number: u64,
        end: OrderEnd,
        report: Option<EngineReport>,
        fx: &mut Vec<MemberEffect>,
    ) {
        let Some(giver) = giver else {
            if let Some(decider) = &mut self.decider {
                decider.order_done(now, number, end, report);
            }
            return;
        };
        if let Some(report) = report {
            self.report = Some(report);
        }
        let done = PassMessage::OrderDone {
            number,
            end,
            state: self.state(now).map(Box::new),
        };
        fx.push(MemberEffect::Send(giver, Box::new(done)));
    }

    fn poll(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let limits = self.settings.limits;
        if now >= self.report_at {
            self.report_at = now + limits.report_interval;
            fx.push(MemberEffect::ReadReport(self.fence()));
        }
        if now >= self.counts_at {
            self.counts_at = now + limits.counts_interval;
            fx.push(MemberEffect::ReadCounts);
        }
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
            self.heartbeat_at = now + self.settings.limits.heartbeat;
            self.heard = now;
            let claim = self.holder.as_ref().map(|(claim, _)| claim.clone());
            let heartbeat = claim.map(|claim| PassMessage::Heartbeat {
                claim: Box::new(claim),
                fence: decider.fence(),
                seats: decider.seats().to_vec(),
            });
            let own = self.settings.address;
            let others = decider.companions().filter(|address| *address != own);
            for (to, heartbeat) in others.zip(std::iter::repeat(heartbeat).flatten()) {
                fx.push(MemberEffect::Send(to, Box::new(heartbeat)));
            }
        }
        for output in out {
            fx.push(self.carry_out(output));
        }
        if superseded {
            self.forget_holder(fx);
            self.claim_at = now;
        }
    }

    fn carry_out(&self, output: RankOutput) -> MemberEffect {
        match output {
            RankOutput::Line(line) => MemberEffect::Log(line),
            RankOutput::Look(engine) => MemberEffect::Look(engine),
            RankOutput::Changes { to, number, order } => {
                let message = PassMessage::Changes { number, order };
                MemberEffect::Send(to, Box::new(message))
            }
            RankOutput::Order { way, number, order } => match way {
                Way::Companion(to) if to != self.settings.address => {
                    let message = PassMessage::Order { number, order };
                    MemberEffect::Send(to, Box::new(message))
                }
                Way::Companion(_) => MemberEffect::Order {
                    engine: self.settings.engine,
                    giver: None,
                    number,
                    order,
                },
                Way::Engine(engine) => MemberEffect::Order {
                    engine,
                    giver: None,
                    number,
                    order,
                },
            },
        }
    }
}

/// Tells the decider that an order wasn't passed to the engine.
fn not_carried_out(giver: SocketAddr, number: u64, end: OrderEnd) -> MemberEffect {
    let state = None;
    let done = PassMessage::OrderDone { number, end, state };
    MemberEffect::Send(giver, Box::new(done))
}

impl Reducer for PassMember {
    type Event = MemberEvent;
    type Effect = MemberEffect;

    fn reduce(&mut self, now: Instant, event: MemberEvent, fx: &mut Vec<MemberEffect>) {
        match event {
            MemberEvent::Shaped(shape) => self.shape = Some(shape),
            MemberEvent::Reported(report, follows) => self.reported(now, *report, follows, fx),
            MemberEvent::Listed(version, lists) => {
                self.lists = Some((version, lists));
                self.lists_until = self.states + LISTS_AT_FIRST;
                self.tell_state(now, fx);
            }
            MemberEvent::Counted(counts) => self.counts.add(now, counts),
            MemberEvent::OrderEnded {
                giver,
                number,
                end,
                report,
            } => self.order_ended(now, giver, number, end, report.map(|r| *r), fx),
            MemberEvent::Looked(engine, report) => {
                if let Some(decider) = &mut self.decider {
                    decider.looked(now, engine, *report);
                }
            }
            MemberEvent::Received(from, message) => self.received(now, from, *message, fx),
            MemberEvent::ClaimRead { claim, end } => self.claim_read(now, claim, end, fx),
            MemberEvent::ClaimFailed => {
                self.reading_claim = false;
                self.claim_at = now + self.settings.limits.claims_interval;
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

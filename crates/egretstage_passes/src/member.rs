//! The companion's part in its group: claims, reports, orders.

use crate::decider::Way;
use crate::{
    CountWindow, DeciderClaim, DeciderLimits, EngineCounts, EngineReport, ExpertLists, FencedOrder,
    GroupShape, MapDecider, OrderEnd, PassMessage, RankAddress, RankOutput, RankState, RecentLoads,
};
use compact_str::CompactString;
use egretstage_runtime::Reducer;
use egretstage_wire::InstanceId;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;

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

/// What can happen to a member.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// The operator has described the group.
    Shaped(GroupShape),
    /// The own engine has reported, to a read that was asked for while the
    /// decider with that fencing number was followed.
    Reported(Box<EngineReport>, u64),
    /// The own engine has told what experts the rank holds in a map.
    Listed(u64, ExpertLists),
    /// The own engine has told its counts.
    Counted(EngineCounts),
    /// An order that went straight to an engine has ended.
    OrderEnded {
        /// Who gave the order; none for this member's own decider.
        giver: Option<SocketAddr>,
        /// The giver's count of orders.
        number: u64,
        /// How it ended.
        end: OrderEnd,
        /// The engine's report afterwards.
        report: Option<Box<EngineReport>>,
    },
    /// An engine whose companion is silent has reported.
    Looked(SocketAddr, Box<EngineReport>),
    /// A datagram has arrived.
    Received(SocketAddr, Box<PassMessage>),
    /// The newest claim of the group was read, if there is one, and where the
    /// claims end.
    ClaimRead {
        /// The claim and its fencing number.
        claim: Option<(DeciderClaim, u64)>,
        /// End of the claims.
        end: u64,
    },
    /// The claims can't be read or written.
    ClaimFailed,
    /// The process stood still without its clock noticing.
    Suspended,
}

/// What a member does.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    /// Reads the own engine's report, after the orders given before; the number
    /// comes back with it.
    ReadReport(u64),
    /// Reads the experts that the rank holds.
    ReadLists,
    /// Reads the own engine's counts.
    ReadCounts,
    /// Gives an order to an engine, and reads its report afterwards.
    Order {
        /// The engine.
        engine: SocketAddr,
        /// Who gave the order; none for this member's own decider.
        giver: Option<SocketAddr>,
        /// The giver's count of orders.
        number: u64,
        /// The order.
        order: Box<FencedOrder>,
    },
    /// Reads the report of another rank's engine.
    Look(SocketAddr),
    /// Sends a datagram.
    Send(SocketAddr, Box<PassMessage>),
    /// Reads the newest claim of a group.
    ReadClaim(CompactString),
    /// Writes a claim if the claims still end there.
    WriteClaim(Box<DeciderClaim>, u64),
    /// Writes a log line.
    Log(PassLine),
}

/// The log lines of a member.
#[derive(Clone, Debug, PartialEq, Serialize, IntoStaticStr)]
#[serde(rename_all = "kebab-case", tag = "what")]
#[strum(serialize_all = "kebab-case")]
pub enum PassLine {
    /// Another companion decides from now on.
    Decider {
        /// The companion.
        instance: InstanceId,
        /// Its fencing number.
        fence: u64,
    },
    /// This companion claims to decide.
    Claim {
        /// The group.
        group: CompactString,
    },
    /// This companion decides no longer.
    StandDown {
        /// Its fencing number.
        fence: u64,
    },
    /// A change of the map has come to a phase.
    Phase {
        /// The decider's fencing number.
        fence: u64,
        /// The phase.
        phase: &'static str,
    },
    /// A map with few copies pays.
    Plan {
        /// The decider's fencing number.
        fence: u64,
        /// The map's version.
        version: u64,
        /// Copies.
        copies: u32,
        /// Largest over mean rank load with the map in use.
        skew_before: f64,
        /// The same with the new map, if the demand stays.
        skew_after: f64,
    },
    /// A change of the map has ended.
    InUse {
        /// The decider's fencing number.
        fence: u64,
        /// Version of the map in use.
        version: u64,
    },
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
                if order.fence < self.fence() {
                    let done = PassMessage::OrderDone {
                        number,
                        end: OrderEnd::Fenced,
                        state: None,
                    };
                    fx.push(MemberEffect::Send(from, Box::new(done)));
                    return;
                }
                self.heard = now;
                fx.push(MemberEffect::Order {
                    engine: self.settings.engine,
                    giver: Some(from),
                    number,
                    order,
                });
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

    fn claim_read(
        &mut self,
        now: Instant,
        claim: Option<(DeciderClaim, u64)>,
        end: u64,
        fx: &mut Vec<MemberEffect>,
    ) {
        self.reading_claim = false;
        self.claim_at = now + self.settings.limits.claims_interval;
        let known = self.holder.as_ref().map(|(_, fence)| *fence);
        if let Some((claim, fence)) = claim
            && known.is_none_or(|known| fence > known)
        {
            return self.follow(now, claim, fence, fx);
        }
        if self.decider.is_some() || !self.suspects(now) {
            return;
        }
        let Some(report) = self.report.as_ref().filter(|_| self.shape.is_some()) else {
            return;
        };
        let group = report.group.clone();
        fx.push(MemberEffect::Log(PassLine::Claim {
            group: group.clone(),
        }));
        self.reading_claim = true;
        let claim = DeciderClaim {
            group,
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            address: self.settings.address,
        };
        fx.push(MemberEffect::WriteClaim(Box::new(claim), end));
    }

    /// Follows the newest claim.
    fn follow(
        &mut self,
        now: Instant,
        claim: DeciderClaim,
        fence: u64,
        fx: &mut Vec<MemberEffect>,
    ) {
        self.stand_down(fx);
        fx.push(MemberEffect::Log(PassLine::Decider {
            instance: claim.instance.clone(),
            fence,
        }));
        let own = claim.incarnation == self.settings.incarnation;
        self.heard = now;
        self.holder = Some((claim, fence));
        if let (true, Some(report), Some(shape)) = (own, &self.report, self.shape) {
            let instance = self.settings.instance.clone();
            let limits = self.settings.limits.decider;
            let seats = &self.seats;
            let decider = MapDecider::new(now, fence, instance, report, seats, shape, limits);
            self.decider = Some(decider);
            self.heartbeat_at = now;
        }
        self.tell_state(now, fx);
    }

    fn stand_down(&mut self, fx: &mut Vec<MemberEffect>) {
        if let Some(decider) = self.decider.take() {
            let fence = decider.fence();
            fx.push(MemberEffect::Log(PassLine::StandDown { fence }));
        }
    }

    fn forget_holder(&mut self, fx: &mut Vec<MemberEffect>) {
        self.stand_down(fx);
        self.holder = None;
    }

    /// Returns when the decider has been silent for too long.
    fn suspect_at(&self) -> Instant {
        let rank = self.report.as_ref().map_or(0, |report| report.rank);
        let limits = &self.settings.limits;
        let silence = if self.holder.is_some() {
            limits.suspect_after
        } else {
            Duration::ZERO
        };
        self.heard + silence + limits.stagger * u32::from(rank)
    }

    fn suspects(&self, now: Instant) -> bool {
        now >= self.suspect_at()
    }

    /// Returns when the claims are read, if nothing is heard until then.
    fn claim_due_at(&self) -> Option<Instant> {
        let follows = self.decider.is_some() || self.reading_claim || self.report.is_none();
        let suspect_at = if self.holder.is_some() {
            self.suspect_at()
        } else {
            self.claim_at
        };
        (!follows).then(|| self.claim_at.max(suspect_at))
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

//! One companion as a member of its group.

use crate::output::{Output, Peer, PeerLink};
use crate::{
    ClaimEntry, ClaimLimits, ClaimReason, ClaimRecord, ClaimVerdict, Claimant, Claims, Decider,
    DeciderLimits, GroupDecision, MapSource, MemberEffect, MemberEvent, RankGate,
};
use compact_str::CompactString;
use egretstage_runtime::Reducer;
use egretstage_wire::{Fence, GroupFrame, Incarnation, InstanceId, OrderAction, RankIndex};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// Pause before another attempt to open a link.
const DIAL_RETRY: Duration = Duration::from_millis(200);

/// Time between two reads of the claims while the holder is heard.
const CALM_READ: Duration = Duration::from_mins(5);

/// Time between two reads of the claims by the holder.
const HOLDER_READ: Duration = Duration::from_secs(2);

/// Time between two reads of the claims while the holder isn't heard.
const UNEASY_READ: Duration = Duration::from_millis(250);

/// Makes the source of maps of a decider.
pub type MakeMapSource = Box<dyn Fn() -> Box<dyn MapSource> + Send>;

/// Who a member is, and its limits.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The member's instance.
    pub instance: InstanceId,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// Address of the member's links.
    pub address: SocketAddr,
    /// The rank of the engine beside it.
    pub rank: RankIndex,
    /// When it claims the group.
    pub claims: ClaimLimits,
    /// Its limits as decider.
    pub decider: DeciderLimits,
    /// What it orders all engines to load when it becomes decider.
    pub loads_on_takeover: Vec<CompactString>,
}

/// Makes all decisions of a companion about its group.
pub struct GroupMember {
    settings: MemberSettings,
    make_source: MakeMapSource,
    claims: Claims,
    claimant: Claimant,
    caught_up: bool,
    reading: bool,
    read_at: Instant,
    gate: RankGate,
    decider: Option<Decider>,
    /// Fencing number of the claim that this member acts on.
    follows: Option<Fence>,
    holder_link: Option<PeerLink>,
    dialing: bool,
    dial_at: Instant,
    tick_at: Instant,
    out: Vec<Output>,
}

impl std::fmt::Debug for GroupMember {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GroupMember")
            .field("claims", &self.claims)
            .field("gate", &self.gate)
            .field("decider", &self.decider)
            .finish_non_exhaustive()
    }
}

impl GroupMember {
    /// Starts a member that knows nothing of its group.
    #[must_use]
    pub fn new(now: Instant, settings: MemberSettings, make_source: MakeMapSource) -> Self {
        let claimant = Claimant::new(
            now,
            settings.claims,
            settings.rank,
            settings.instance.clone(),
            settings.incarnation,
        );
        Self {
            gate: RankGate::new(settings.rank, settings.claims.suspect_after / 2),
            settings,
            make_source,
            claims: Claims::default(),
            claimant,
            caught_up: false,
            reading: false,
            read_at: now,
            decider: None,
            follows: None,
            holder_link: None,
            dialing: false,
            dial_at: now,
            tick_at: now,
            out: Vec::new(),
        }
    }

    /// Returns the decider, on the member that decides.
    #[must_use]
    pub fn decider(&self) -> Option<&Decider> {
        self.decider.as_ref()
    }

    /// Returns the rank's gate.
    #[must_use]
    pub fn gate(&self) -> &RankGate {
        &self.gate
    }

    fn is_holder(&self) -> bool {
        let claim = self.claims.current();
        claim.is_some_and(|claim| claim.incarnation == self.settings.incarnation)
    }

    fn read(
        &mut self,
        now: Instant,
        first: u64,
        entries: Vec<ClaimEntry>,
        fx: &mut Vec<MemberEffect>,
    ) {
        self.reading = false;
        self.caught_up = true;
        for ClaimEntry { offset, record } in entries {
            let Some(record) = record else {
                self.claims.skip(offset);
                continue;
            };
            if self.claims.apply(offset, first, record) == ClaimVerdict::Accepted {
                self.claimant.accepted(now);
            }
        }
        self.follow(now, fx);
        self.schedule_read(now);
    }

    /// Acts on the claim that holds, if it is another than before.
    fn follow(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let Some(claim) = self.claims.current() else {
            return;
        };
        let fence = claim.fence;
        if self.follows == Some(fence) {
            return;
        }
        let instance = claim.instance.clone();
        fx.push(MemberEffect::Log(GroupDecision::Holder { fence, instance }));
        self.follows = Some(fence);
        self.stand_down(now, fx);
        if let Some(link) = self.holder_link.take() {
            fx.push(MemberEffect::Close(link));
        }
        if self.is_holder() {
            self.decide(now, fence);
        } else {
            self.dial_at = now;
        }
    }

    fn decide(&mut self, now: Instant, fence: Fence) {
        let source = (self.make_source)();
        let limits = self.settings.decider;
        let active = self.gate.active_map();
        let mut decider = Decider::new(now, fence, limits, source, active, &mut self.out);
        for load in &self.settings.loads_on_takeover {
            for rank in (0..limits.ranks).map(RankIndex) {
                decider.order(rank, OrderAction::Load(load.clone()), &mut self.out);
            }
        }
        self.decider = Some(decider);
        self.gate.set_decider(now, Some(Peer::Local), &mut self.out);
    }

    fn stand_down(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        if let Some(decider) = self.decider.take() {
            let fence = decider.fence();
            fx.push(MemberEffect::Log(GroupDecision::StandDown { fence }));
        }
        self.gate.set_decider(now, None, &mut self.out);
    }

    fn schedule_read(&mut self, now: Instant) {
        let pause = if self.is_holder() {
            HOLDER_READ
        } else if !self.caught_up || self.claimant.is_uneasy(now) || self.claims.current().is_none()
        {
            UNEASY_READ
        } else {
            CALM_READ
        };
        self.read_at = now + pause;
    }

    /// Takes a link that this member opened, if it leads to the holder.
    fn dialed(
        &mut self,
        now: Instant,
        link: PeerLink,
        incarnation: Incarnation,
        fx: &mut Vec<MemberEffect>,
    ) {
        let holder = self.claims.current().filter(|_| !self.is_holder());
        if holder.is_some_and(|holder| holder.incarnation == incarnation) {
            self.holder_link = Some(link);
            let peer = Some(Peer::Link(link));
            self.gate.set_decider(now, peer, &mut self.out);
        } else {
            fx.push(MemberEffect::Close(link));
            self.read_at = now;
        }
    }

    fn link_down(&mut self, now: Instant, link: PeerLink) {
        if self.holder_link == Some(link) {
            self.holder_link = None;
            self.read_at = now;
            self.gate.set_decider(now, None, &mut self.out);
        }
        if let Some(decider) = &mut self.decider {
            decider.link_down(link);
        }
    }

    fn frame(&mut self, now: Instant, peer: Peer, frame: GroupFrame, fx: &mut Vec<MemberEffect>) {
        if is_from_decider(&frame) {
            if self.holder_link.map(Peer::Link) == Some(peer) {
                self.claimant.hear(now);
            }
            self.gate.frame(now, peer, frame, &mut self.out);
        } else if let Some(decider) = &mut self.decider
            && !decider.frame(now, peer, frame, &mut self.out)
        {
            self.stand_down(now, fx);
            self.read_at = now;
        }
    }

    /// Carries out what the gate and the decider asked for.
    fn settle(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let mut waiting = VecDeque::from(std::mem::take(&mut self.out));
        while let Some(output) = waiting.pop_front() {
            match output {
                Output::ToRank(Peer::Link(link), frame)
                | Output::ToDecider(Peer::Link(link), frame) => {
                    fx.push(MemberEffect::Send { link, frame });
                }
                Output::ToRank(Peer::Local, frame) | Output::ToDecider(Peer::Local, frame) => {
                    self.frame(now, Peer::Local, frame, fx);
                    waiting.extend(self.out.drain(..));
                }
                Output::CallEngine(call) => fx.push(MemberEffect::CallEngine(call)),
                Output::Log(line) => fx.push(MemberEffect::Log(line)),
            }
        }
    }

    fn claim(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        if !self.caught_up {
            return;
        }
        let Some(reason) = self.claimant.reason(now, &self.claims) else {
            return;
        };
        let base = self.claims.current().map_or(0, |claim| claim.offset);
        let renews = self.follows.filter(|_| reason == ClaimReason::Renewal);
        self.claimant.appended(now);
        fx.push(MemberEffect::Log(GroupDecision::Claim { base, reason }));
        fx.push(MemberEffect::AppendClaim(ClaimRecord {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            address: self.settings.address,
            base,
            renews,
        }));
    }

    fn dial(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        if self.is_holder() || self.holder_link.is_some() || self.dialing || self.dial_at > now {
            return;
        }
        if let Some(claim) = self.claims.current() {
            self.dialing = true;
            fx.push(MemberEffect::Dial(claim.address));
        }
    }

    fn due(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        self.claimant.look(now);
        let soon = now + UNEASY_READ;
        if self.read_at > soon && !self.is_holder() && self.claimant.is_uneasy(now) {
            self.read_at = soon;
        }
        if self.read_at <= now && !self.reading {
            self.reading = true;
            fx.push(MemberEffect::ReadClaims(self.claims.next_offset()));
        }
        self.claim(now, fx);
        self.dial(now, fx);
        self.gate.wake(now, &mut self.out);
        if let Some(decider) = &mut self.decider {
            decider.wake(now, &mut self.out);
        }
        self.settle(now, fx);
        if self.tick_at <= now {
            self.tick_at = now + TICK;
        }
    }
}

/// Tells whether a frame is meant for a rank.
fn is_from_decider(frame: &GroupFrame) -> bool {
    match frame {
        GroupFrame::Join { .. }
        | GroupFrame::Stage { .. }
        | GroupFrame::Grant(_)
        | GroupFrame::Heartbeat
        | GroupFrame::Order(_) => true,
        GroupFrame::Attach { .. }
        | GroupFrame::Detach { .. }
        | GroupFrame::Joined { .. }
        | GroupFrame::Staged { .. }
        | GroupFrame::Progress { .. }
        | GroupFrame::Refused { .. }
        | GroupFrame::OrderDone { .. } => false,
    }
}

impl Reducer for GroupMember {
    type Event = MemberEvent;
    type Effect = MemberEffect;

    fn reduce(&mut self, now: Instant, event: MemberEvent, fx: &mut Vec<MemberEffect>) {
        match event {
            MemberEvent::LinkUp {
                link,
                dialed: true,
                incarnation,
            } => self.dialed(now, link, incarnation, fx),
            MemberEvent::LinkUp { dialed: false, .. } => {}
            MemberEvent::LinkDown(link) => self.link_down(now, link),
            MemberEvent::DialEnded => {
                self.dialing = false;
                self.dial_at = now + DIAL_RETRY;
            }
            MemberEvent::Frame { link, frame } => self.frame(now, Peer::Link(link), frame, fx),
            MemberEvent::ClaimsRead { first, entries } => self.read(now, first, entries, fx),
            MemberEvent::ClaimsReadFailed => {
                self.reading = false;
                self.read_at = now + UNEASY_READ;
            }
            MemberEvent::AppendEnded => self.read_at = now,
            MemberEvent::EngineCallEnded(result) => {
                self.gate.engine_done(now, result, &mut self.out)
            }
            MemberEvent::Order { rank, action } => {
                if let Some(decider) = &mut self.decider {
                    decider.order(rank, action, &mut self.out);
                }
            }
        }
        self.settle(now, fx);
        self.due(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        self.due(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let decider = self.decider.as_ref().map(Decider::next_wake);
        [Some(self.tick_at), decider, self.gate.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}

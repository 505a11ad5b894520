//! A companion's membership in its group: combines decider, gate and claims.

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

/// Time between two checks for due work.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before the holder is dialed again.
const DIAL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time between two reads of the claims while the holder is considered alive.
const SLOW_READ_INTERVAL: Duration = Duration::from_mins(5);

/// Time between two reads of the claims by the holder.
const HOLDER_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two reads of the claims while the holder is overdue or unknown.
const FAST_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Creates the map source of a new decider.
pub type MakeMapSource = Box<dyn Fn() -> Box<dyn MapSource> + Send>;

/// Identity and limits of a group member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The member's instance.
    pub instance: InstanceId,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// Address at which the member accepts links.
    pub address: SocketAddr,
    /// Rank of the member's engine.
    pub rank: RankIndex,
    /// Timeouts that decide when the member claims the group.
    pub claims: ClaimLimits,
    /// Limits that apply while the member is the decider.
    pub decider: DeciderLimits,
    /// Models, adapters or versions of them that the member orders all engines to
    /// load when it becomes the decider.
    pub loads_on_takeover: Vec<CompactString>,
}

/// A companion as a member of its group.
///
/// It follows the claims, connects the gate of its rank to the decider, and
/// takes over as decider if need be.
pub struct GroupMember {
    settings: MemberSettings,
    make_source: MakeMapSource,
    claims: Claims,
    claimant: Claimant,
    /// Whether the claims stream has been read to its end at least once.
    caught_up: bool,
    /// Whether a read of the claims stream is in flight.
    reading: bool,
    /// When the claims stream is read next.
    read_at: Instant,
    gate: RankGate,
    decider: Option<Decider>,
    /// Fencing number of the claim that this member acts on, which may lag behind
    /// the log.
    active_fence: Option<Fence>,
    /// The link to the holder that this member opened.
    holder_link: Option<PeerLink>,
    dialing: bool,
    dial_at: Instant,
    check_at: Instant,
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
    /// Creates a member that has no information about its group yet.
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
            active_fence: None,
            holder_link: None,
            dialing: false,
            dial_at: now,
            check_at: now,
            out: Vec::new(),
        }
    }

    /// Returns the decider, if this member is it.
    #[must_use]
    pub fn decider(&self) -> Option<&Decider> {
        self.decider.as_ref()
    }

    /// Returns the gate of the member's rank.
    #[must_use]
    pub fn gate(&self) -> &RankGate {
        &self.gate
    }

    /// Returns whether this member holds the current claim.
    fn is_holder(&self) -> bool {
        let claim = self.claims.current();
        claim.is_some_and(|claim| claim.incarnation == self.settings.incarnation)
    }

    fn handle_claims_read(
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
                self.claimant.record_accepted_claim(now);
            }
        }
        self.follow_claim(now, fx);
        self.schedule_read(now);
    }

    /// Follows the current claim if its fencing number has changed: becomes the
    /// decider, or lets the new holder be dialed.
    fn follow_claim(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let Some(claim) = self.claims.current() else {
            return;
        };
        let fence = claim.fence;
        if self.active_fence == Some(fence) {
            return;
        }
        let instance = claim.instance.clone();
        fx.push(MemberEffect::Log(GroupDecision::Holder { fence, instance }));
        self.active_fence = Some(fence);
        self.step_down(now, fx);
        if let Some(link) = self.holder_link.take() {
            fx.push(MemberEffect::Close(link));
        }
        if self.is_holder() {
            self.become_decider(now, fence);
        } else {
            self.dial_at = now;
        }
    }

    /// Becomes the decider and issues the orders to load.
    fn become_decider(&mut self, now: Instant, fence: Fence) {
        let source = (self.make_source)();
        let limits = self.settings.decider;
        let active = self.gate.active_map();
        let mut decider = Decider::new(now, fence, limits, source, active, &mut self.out);
        for load in &self.settings.loads_on_takeover {
            for rank in (0..limits.ranks).map(RankIndex) {
                decider.issue_order(rank, OrderAction::Load(load.clone()), &mut self.out);
            }
        }
        self.decider = Some(decider);
        self.gate.set_decider(now, Some(Peer::Local), &mut self.out);
    }

    /// Steps down if this member is the decider, and clears the gate's decider.
    fn step_down(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        if let Some(decider) = self.decider.take() {
            let fence = decider.fence();
            fx.push(MemberEffect::Log(GroupDecision::StandDown { fence }));
        }
        self.gate.set_decider(now, None, &mut self.out);
    }

    /// Schedules the next read of the claims stream.
    fn schedule_read(&mut self, now: Instant) {
        let interval = if self.is_holder() {
            HOLDER_READ_INTERVAL
        } else if !self.caught_up
            || self.claimant.is_holder_overdue(now)
            || self.claims.current().is_none()
        {
            FAST_READ_INTERVAL
        } else {
            SLOW_READ_INTERVAL
        };
        self.read_at = now + interval;
    }

    /// Connects the gate over a link that this member opened if it leads to the
    /// holder, and closes the link otherwise.
    fn handle_dialed_link(
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

    fn handle_link_down(&mut self, now: Instant, link: PeerLink) {
        if self.holder_link == Some(link) {
            self.holder_link = None;
            self.read_at = now;
            self.gate.set_decider(now, None, &mut self.out);
        }
        if let Some(decider) = &mut self.decider {
            decider.handle_link_down(link);
        }
    }

    fn handle_frame(
        &mut self,
        now: Instant,
        peer: Peer,
        frame: GroupFrame,
        fx: &mut Vec<MemberEffect>,
    ) {
        if is_from_decider(&frame) {
            if self.holder_link.map(Peer::Link) == Some(peer) {
                self.claimant.record_holder_activity(now);
            }
            self.gate.handle_frame(now, peer, frame, &mut self.out);
        } else if let Some(decider) = &mut self.decider
            && !decider.handle_frame(now, peer, frame, &mut self.out)
        {
            self.step_down(now, fx);
            self.read_at = now;
        }
    }

    /// Carries out the outputs of the gate and the decider, including those that
    /// local frames cause.
    fn process_outputs(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let mut pending = VecDeque::from(std::mem::take(&mut self.out));
        while let Some(output) = pending.pop_front() {
            match output {
                Output::ToRank(Peer::Link(link), frame)
                | Output::ToDecider(Peer::Link(link), frame) => {
                    fx.push(MemberEffect::Send { link, frame });
                }
                Output::ToRank(Peer::Local, frame) | Output::ToDecider(Peer::Local, frame) => {
                    self.handle_frame(now, Peer::Local, frame, fx);
                    pending.extend(self.out.drain(..));
                }
                Output::CallEngine(call) => fx.push(MemberEffect::CallEngine(call)),
                Output::Log(decision) => fx.push(MemberEffect::Log(decision)),
            }
        }
    }

    /// Appends a claim if there is a reason to.
    fn claim_if_due(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        if !self.caught_up {
            return;
        }
        let Some(reason) = self.claimant.claim_reason(now, &self.claims) else {
            return;
        };
        let base = self.claims.current().map_or(0, |claim| claim.offset);
        let renews = self.active_fence.filter(|_| reason == ClaimReason::Renewal);
        self.claimant.record_append(now);
        fx.push(MemberEffect::Log(GroupDecision::Claim { base, reason }));
        fx.push(MemberEffect::AppendClaim(ClaimRecord {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            address: self.settings.address,
            base,
            renews,
        }));
    }

    /// Opens a link to the holder if none is open or being opened.
    fn dial_holder_if_due(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        if self.is_holder() || self.holder_link.is_some() || self.dialing || self.dial_at > now {
            return;
        }
        if let Some(claim) = self.claims.current() {
            self.dialing = true;
            fx.push(MemberEffect::Dial(claim.address));
        }
    }

    /// Does everything that is due at `now`.
    fn run_due_work(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        self.claimant.detect_process_pause(now);
        let soon = now + FAST_READ_INTERVAL;
        if self.read_at > soon && !self.is_holder() && self.claimant.is_holder_overdue(now) {
            self.read_at = soon;
        }
        if self.read_at <= now && !self.reading {
            self.reading = true;
            fx.push(MemberEffect::ReadClaims(self.claims.next_offset()));
        }
        self.claim_if_due(now, fx);
        self.dial_holder_if_due(now, fx);
        self.gate.wake(now, &mut self.out);
        if let Some(decider) = &mut self.decider {
            decider.wake(now, &mut self.out);
        }
        self.process_outputs(now, fx);
        if self.check_at <= now {
            self.check_at = now + CHECK_INTERVAL;
        }
    }
}

/// Returns whether a frame goes from a decider to a rank.
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
            } => self.handle_dialed_link(now, link, incarnation, fx),
            MemberEvent::LinkUp { dialed: false, .. } => {}
            MemberEvent::LinkDown(link) => self.handle_link_down(now, link),
            MemberEvent::DialEnded => {
                self.dialing = false;
                self.dial_at = now + DIAL_RETRY_DELAY;
            }
            MemberEvent::Frame { link, frame } => {
                self.handle_frame(now, Peer::Link(link), frame, fx);
            }
            MemberEvent::ClaimsRead { first, entries } => {
                self.handle_claims_read(now, first, entries, fx);
            }
            MemberEvent::ClaimsReadFailed => {
                self.reading = false;
                self.read_at = now + FAST_READ_INTERVAL;
            }
            MemberEvent::AppendEnded => self.read_at = now,
            MemberEvent::EngineCallEnded(result) => {
                self.gate.handle_call_result(now, result, &mut self.out);
            }
            MemberEvent::Order { rank, action } => {
                if let Some(decider) = &mut self.decider {
                    decider.issue_order(rank, action, &mut self.out);
                }
            }
        }
        self.process_outputs(now, fx);
        self.run_due_work(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        self.run_due_work(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let decider = self.decider.as_ref().map(Decider::next_wake);
        [Some(self.check_at), decider, self.gate.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}

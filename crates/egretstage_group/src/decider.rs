//! The decider of a group: forms generations, grants steps, switches maps.
//!
//! A decider lives as long as its claim holds. In each of its generations it
//! alone says which steps run with which map, so a step has one map: the
//! generation starts above every step that any rank began earlier, after all
//! ranks have left the earlier generations.

mod dispatch;
mod formation;

use crate::seat::Seat;
use crate::{FormReason, GroupDecision, MapSource, Output, Peer, PeerLink, Schedule};
use egretstage_wire::{
    EngineOrder, Fence, Generation, GroupFrame, MapVersion, OrderAction, RankIndex, Step,
    VersionedMap,
};
use std::time::{Duration, Instant};

/// Limits of a decider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeciderLimits {
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Steps granted beyond the last one known to have begun.
    pub horizon_steps: u64,
    /// Time between two grants.
    pub heartbeat: Duration,
}

/// How far a generation is.
#[derive(Debug)]
enum Phase {
    /// Not all ranks have taken their places and joined.
    Joining,
    /// All ranks have joined; not all hold the first map.
    Staging { from: Step },
    /// Steps are granted.
    Running(Schedule),
}

/// Decides for a group under one fencing number.
pub struct Decider {
    fence: Fence,
    limits: DeciderLimits,
    source: Box<dyn MapSource>,
    seats: Vec<Seat>,
    generation: Generation,
    phase: Phase,
    /// Map of the last granted steps.
    active: Option<VersionedMap>,
    /// Map on its way to all ranks.
    next: Option<VersionedMap>,
    /// Whether the source waits to hear that its last map is in use.
    switching: bool,
    maps: u32,
    orders: u32,
    entered: Step,
    tick_at: Instant,
}

impl std::fmt::Debug for Decider {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Decider")
            .field("generation", &self.generation)
            .field("phase", &self.phase)
            .finish_non_exhaustive()
    }
}

impl Decider {
    /// Takes over a group and starts its first generation.
    ///
    /// `active` is a map that the group has run with, as far as is known.
    #[must_use]
    pub fn new(
        now: Instant,
        fence: Fence,
        limits: DeciderLimits,
        source: Box<dyn MapSource>,
        active: Option<VersionedMap>,
        out: &mut Vec<Output>,
    ) -> Self {
        let mut decider = Self {
            fence,
            limits,
            source,
            seats: vec![Seat::default(); usize::from(limits.ranks)],
            generation: Generation { fence, number: 0 },
            phase: Phase::Joining,
            active,
            next: None,
            switching: false,
            maps: 0,
            orders: 0,
            entered: Step::default(),
            tick_at: now + limits.heartbeat,
        };
        decider.form(FormReason::Takeover, out);
        decider
    }

    /// Returns the fencing number.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the present generation.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the map of the last granted step, while steps are granted.
    #[must_use]
    pub fn running_map(&self) -> Option<MapVersion> {
        match &self.phase {
            Phase::Running(schedule) => Some(schedule.map()),
            Phase::Joining | Phase::Staging { .. } => None,
        }
    }

    /// Gives an order to the engine of a rank.
    pub fn order(&mut self, rank: RankIndex, action: OrderAction, out: &mut Vec<Output>) {
        self.orders += 1;
        let order = EngineOrder {
            fence: self.fence,
            number: self.orders,
            action,
        };
        if let Some(seat) = self.seats.get_mut(usize::from(rank.0)) {
            seat.orders.push_back(order);
            dispatch::send_order(seat, out);
        }
    }

    /// Handles the end of a link.
    pub fn link_down(&mut self, link: PeerLink) {
        for seat in &mut self.seats {
            if seat.peer == Some(Peer::Link(link)) {
                seat.peer = None;
            }
        }
    }

    /// Handles a frame of a rank; returns whether the claim still stands.
    pub fn frame(
        &mut self,
        now: Instant,
        peer: Peer,
        frame: GroupFrame,
        out: &mut Vec<Output>,
    ) -> bool {
        match frame {
            GroupFrame::Attach { rank, state } => self.attach(peer, rank, &state, out),
            GroupFrame::Detach { rank } => self.detach(peer, rank),
            GroupFrame::Joined {
                generation,
                state,
                map,
            } if generation == self.generation => self.joined(peer, state, map, out),
            GroupFrame::Staged {
                generation,
                version,
            } if generation == self.generation => self.staged(now, peer, version, out),
            GroupFrame::Progress {
                generation,
                entered,
            } if generation == self.generation => self.entered = self.entered.max(entered),
            GroupFrame::OrderDone {
                fence,
                number,
                effective,
            } if fence == self.fence => self.order_done(peer, number, effective, out),
            GroupFrame::Refused { promised } => return promised.fence <= self.fence,
            _ => {}
        }
        true
    }

    fn version(&mut self, bytes: Vec<u8>) -> VersionedMap {
        self.maps += 1;
        let version = MapVersion {
            fence: self.fence,
            number: self.maps,
        };
        VersionedMap { version, bytes }
    }

    fn staged(&mut self, now: Instant, peer: Peer, version: MapVersion, out: &mut Vec<Output>) {
        let Some(seat) = self.seats.iter_mut().find(|seat| seat.peer == Some(peer)) else {
            return;
        };
        if !seat.held.contains(&version) {
            seat.held.push(version);
        }
        self.run_if_staged(out);
        self.switch_if_staged(now, out);
    }

    fn all_hold(&self, version: MapVersion) -> bool {
        self.seats.iter().all(|seat| seat.held.contains(&version))
    }

    /// Decides a switch once all ranks hold the next map.
    fn switch_if_staged(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(version) = self.next.as_ref().map(|map| map.version) else {
            return;
        };
        let ready = self.all_hold(version);
        let Phase::Running(schedule) = &mut self.phase else {
            return;
        };
        if !ready || !schedule.switch_is_past() {
            return;
        }
        let from = schedule.switch(version, self.limits.horizon_steps);
        self.active = self.next.take();
        self.switching = true;
        self.tick_at = now + self.limits.heartbeat;
        out.push(Output::Log(GroupDecision::Switch { map: version, from }));
        self.resend(out);
    }

    fn order_done(&mut self, peer: Peer, number: u32, effective: bool, out: &mut Vec<Output>) {
        let seats = self.seats.iter_mut().zip(0..);
        for (seat, rank) in seats.filter(|(seat, _)| seat.peer == Some(peer)) {
            if seat
                .orders
                .front()
                .is_some_and(|order| order.number == number)
            {
                seat.orders.pop_front();
                let rank = RankIndex(rank);
                out.push(Output::Log(GroupDecision::OrderDone {
                    rank,
                    number,
                    effective,
                }));
                dispatch::send_order(seat, out);
            }
        }
    }

    /// Handles the passing of time.
    pub fn wake(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + self.limits.heartbeat;
        if let Phase::Running(schedule) = &mut self.phase {
            schedule.extend(self.entered, self.limits.horizon_steps);
            if schedule.switch_is_past() {
                self.plan(now, out);
            }
        }
        self.resend(out);
        self.switch_if_staged(now, out);
    }

    /// Tells the source what is in use and asks it for a better map.
    fn plan(&mut self, now: Instant, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.switching) {
            self.source.map_activated(now);
        }
        if self.next.is_none()
            && let Some(bytes) = self.source.poll(now)
        {
            let map = self.version(bytes);
            let (bytes, version) = (map.bytes.len(), map.version);
            out.push(Output::Log(GroupDecision::Stage {
                map: version,
                bytes,
            }));
            self.next = Some(map);
        }
    }

    /// Returns the next instant at which [`wake`](Self::wake) has work.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        self.tick_at
    }
}

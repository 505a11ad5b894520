//! The decider of a group: starts generations, grants steps and switches maps.
//!
//! A decider exists as long as its claim is current. In each of its generations
//! it alone assigns maps to steps. A generation starts after the last step that
//! any rank has begun, and only once all ranks have left the earlier
//! generations. So every step has exactly one map.

mod dispatch;
mod formation;

use crate::rank_view::RankView;
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
    /// Number of steps granted beyond the last one known to have begun.
    pub horizon_steps: u64,
    /// Time between two grants, which also serve as heartbeats.
    pub heartbeat: Duration,
}

/// Progress of a generation.
#[derive(Debug)]
enum Phase {
    /// Not all ranks have attached and joined.
    Joining,
    /// All ranks have joined, but not all hold the first map.
    Staging { from: Step },
    /// All ranks hold the first map; steps are granted.
    Running(Schedule),
}

/// Makes the decisions for a group under one fencing number.
pub struct Decider {
    fence: Fence,
    limits: DeciderLimits,
    source: Box<dyn MapSource>,
    rank_views: Vec<RankView>,
    generation: Generation,
    phase: Phase,
    /// Map of the last granted step, or the map that the generation starts with.
    active_map: Option<VersionedMap>,
    /// New map that is being sent to all ranks.
    pending_map: Option<VersionedMap>,
    /// Whether [`MapSource::map_activated`] is still to be called for the last
    /// switch.
    activation_unreported: bool,
    last_map_number: u32,
    last_order_number: u32,
    /// Last step that any rank is known to have begun.
    last_begun_step: Step,
    /// When the next grants or heartbeats are due.
    heartbeat_at: Instant,
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
    /// Takes over a group and starts the decider's first generation.
    ///
    /// `active_map` is a map that the group has run with, if one is known.
    #[must_use]
    pub fn new(
        now: Instant,
        fence: Fence,
        limits: DeciderLimits,
        source: Box<dyn MapSource>,
        active_map: Option<VersionedMap>,
        out: &mut Vec<Output>,
    ) -> Self {
        let mut decider = Self {
            fence,
            limits,
            source,
            rank_views: vec![RankView::default(); usize::from(limits.ranks)],
            generation: Generation { fence, number: 0 },
            phase: Phase::Joining,
            active_map,
            pending_map: None,
            activation_unreported: false,
            last_map_number: 0,
            last_order_number: 0,
            last_begun_step: Step::default(),
            heartbeat_at: now + limits.heartbeat,
        };
        decider.start_generation(FormReason::Takeover, out);
        decider
    }

    /// Returns the fencing number.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the current generation.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the map of the last granted step, or `None` while no steps are
    /// granted.
    #[must_use]
    pub fn running_map(&self) -> Option<MapVersion> {
        match &self.phase {
            Phase::Running(schedule) => Some(schedule.map()),
            Phase::Joining | Phase::Staging { .. } => None,
        }
    }

    /// Issues an order to the engine of a rank.
    pub fn issue_order(&mut self, rank: RankIndex, action: OrderAction, out: &mut Vec<Output>) {
        self.last_order_number += 1;
        let order = EngineOrder {
            fence: self.fence,
            number: self.last_order_number,
            action,
        };
        if let Some(view) = self.rank_views.get_mut(usize::from(rank.0)) {
            view.pending_orders.push_back(order);
            dispatch::send_order(view, out);
        }
    }

    /// Detaches the ranks that were attached over a link that has ended.
    pub fn handle_link_down(&mut self, link: PeerLink) {
        for view in &mut self.rank_views {
            if view.peer == Some(Peer::Link(link)) {
                view.peer = None;
            }
        }
    }

    /// Handles a frame from a rank and returns whether the claim is still current
    /// as far as the rank knows.
    pub fn handle_frame(
        &mut self,
        now: Instant,
        peer: Peer,
        frame: GroupFrame,
        out: &mut Vec<Output>,
    ) -> bool {
        match frame {
            GroupFrame::Attach { rank, state } => self.handle_attach(peer, rank, &state, out),
            GroupFrame::Detach { rank } => self.handle_detach(peer, rank),
            GroupFrame::Joined {
                generation,
                state,
                map,
            } if generation == self.generation => self.handle_joined(peer, state, map, out),
            GroupFrame::Staged {
                generation,
                version,
            } if generation == self.generation => self.handle_staged(now, peer, version, out),
            GroupFrame::Progress {
                generation,
                entered,
            } if generation == self.generation => {
                self.last_begun_step = self.last_begun_step.max(entered);
            }
            GroupFrame::OrderDone {
                fence,
                number,
                effective,
            } if fence == self.fence => self.handle_order_done(peer, number, effective, out),
            GroupFrame::Refused { promised } => return promised.fence <= self.fence,
            _ => {}
        }
        true
    }

    /// Assigns the next version to an encoded map.
    fn assign_version(&mut self, bytes: Vec<u8>) -> VersionedMap {
        self.last_map_number += 1;
        let version = MapVersion {
            fence: self.fence,
            number: self.last_map_number,
        };
        VersionedMap { version, bytes }
    }

    /// Records that a rank holds a map, and continues what waited for that.
    fn handle_staged(
        &mut self,
        now: Instant,
        peer: Peer,
        version: MapVersion,
        out: &mut Vec<Output>,
    ) {
        let Some(view) = self
            .rank_views
            .iter_mut()
            .find(|view| view.peer == Some(peer))
        else {
            return;
        };
        if !view.held_maps.contains(&version) {
            view.held_maps.push(version);
        }
        self.run_if_staged(out);
        self.switch_if_staged(now, out);
    }

    fn all_ranks_hold(&self, version: MapVersion) -> bool {
        self.rank_views
            .iter()
            .all(|view| view.held_maps.contains(&version))
    }

    /// Switches to the pending map once all ranks hold it and have passed the
    /// latest switch.
    fn switch_if_staged(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(version) = self.pending_map.as_ref().map(|map| map.version) else {
            return;
        };
        let ready = self.all_ranks_hold(version);
        let Phase::Running(schedule) = &mut self.phase else {
            return;
        };
        if !ready || !schedule.is_switch_complete() {
            return;
        }
        let from = schedule.switch(version, self.limits.horizon_steps);
        self.active_map = self.pending_map.take();
        self.activation_unreported = true;
        self.heartbeat_at = now + self.limits.heartbeat;
        out.push(Output::Log(GroupDecision::Switch { map: version, from }));
        self.resend(out);
    }

    /// Removes a completed order and sends the rank's next one.
    fn handle_order_done(
        &mut self,
        peer: Peer,
        number: u32,
        effective: bool,
        out: &mut Vec<Output>,
    ) {
        let views = self.rank_views.iter_mut().zip(0..);
        for (view, rank) in views.filter(|(view, _)| view.peer == Some(peer)) {
            if view
                .pending_orders
                .front()
                .is_some_and(|order| order.number == number)
            {
                view.pending_orders.pop_front();
                let rank = RankIndex(rank);
                out.push(Output::Log(GroupDecision::OrderDone {
                    rank,
                    number,
                    effective,
                }));
                dispatch::send_order(view, out);
            }
        }
    }

    /// Sends the grants and heartbeats that are due.
    pub fn wake(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now + self.limits.heartbeat;
        if let Phase::Running(schedule) = &mut self.phase {
            schedule.extend(self.last_begun_step, self.limits.horizon_steps);
            if schedule.is_switch_complete() {
                self.poll_source(now, out);
            }
        }
        self.resend(out);
        self.switch_if_staged(now, out);
    }

    /// Reports a completed switch to the source and polls it for a better map.
    fn poll_source(&mut self, now: Instant, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.activation_unreported) {
            self.source.map_activated(now);
        }
        if self.pending_map.is_none()
            && let Some(bytes) = self.source.poll(now)
        {
            let map = self.assign_version(bytes);
            let (bytes, version) = (map.bytes.len(), map.version);
            out.push(Output::Log(GroupDecision::Stage {
                map: version,
                bytes,
            }));
            self.pending_map = Some(map);
        }
    }

    /// Returns the next instant at which [`wake`](Self::wake) has work to do.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        self.heartbeat_at
    }
}

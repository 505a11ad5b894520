//! How a decider forms a generation: all ranks attach, join and hold the map.

use super::{Decider, Phase};
use crate::seat::Seat;
use crate::{FormReason, GroupDecision, Output, Peer, Schedule};
use egretstage_wire::{GroupFrame, RankIndex, RankState, Step, VersionedMap};

impl Decider {
    /// Starts a generation: no step is granted until all ranks have joined.
    pub(super) fn form(&mut self, reason: FormReason, out: &mut Vec<Output>) {
        self.generation.number += 1;
        self.phase = Phase::Joining;
        self.seats.iter_mut().for_each(Seat::reset);
        let generation = self.generation;
        out.push(Output::Log(GroupDecision::Form { generation, reason }));
        self.resend(out);
    }

    pub(super) fn attach(
        &mut self,
        peer: Peer,
        rank: RankIndex,
        state: &RankState,
        out: &mut Vec<Output>,
    ) {
        let Some(seat) = self.seats.get_mut(usize::from(rank.0)) else {
            return;
        };
        let other_peer = seat.peer.is_some_and(|holder| holder != peer);
        if other_peer && seat.joined.is_some() && !seat.is_boot(state.boot) {
            out.push(Output::Log(GroupDecision::RankOccupied { rank }));
            out.push(Output::ToRank(peer, GroupFrame::Heartbeat));
            return;
        }
        seat.peer = Some(peer);
        let continues = seat.is_boot(state.boot) && state.generation == Some(self.generation);
        let joining = matches!(self.phase, Phase::Joining);
        if !continues && (seat.joined.is_some() || !joining) {
            self.form(FormReason::RankReplaced, out);
        } else if joining && self.all_attached() {
            self.resend(out);
        } else {
            self.resend_to(usize::from(rank.0), out);
        }
    }

    pub(super) fn detach(&mut self, peer: Peer, rank: RankIndex) {
        let seat = self.seats.get_mut(usize::from(rank.0));
        if let Some(seat) = seat.filter(|seat| seat.peer == Some(peer)) {
            seat.peer = None;
        }
    }

    /// Tells whether all ranks have taken their places.
    ///
    /// Until then no rank is asked to leave the generation that it is in, so
    /// that the group runs on with what an earlier decider granted.
    pub(super) fn all_attached(&self) -> bool {
        self.seats.iter().all(|seat| seat.peer.is_some())
    }

    pub(super) fn joined(
        &mut self,
        peer: Peer,
        state: RankState,
        map: Option<VersionedMap>,
        out: &mut Vec<Output>,
    ) {
        if !matches!(self.phase, Phase::Joining) {
            return;
        }
        let Some(seat) = self.seats.iter_mut().find(|seat| seat.peer == Some(peer)) else {
            return;
        };
        self.entered = self.entered.max(state.entered);
        if let Some(map) = map
            && self
                .active
                .as_ref()
                .is_none_or(|active| active.version < map.version)
        {
            self.active = Some(map);
        }
        seat.join(state);
        if self.seats.iter().all(|seat| seat.joined.is_some()) {
            self.choose_map(out);
        }
    }

    /// Chooses the map that the generation starts with.
    fn choose_map(&mut self, out: &mut Vec<Output>) {
        if self.active.is_none() {
            let bytes = self.source.initial_map();
            self.active = Some(self.version(bytes));
        }
        let from = Step(self.entered.0 + 1);
        self.phase = Phase::Staging { from };
        self.resend(out);
        self.run_if_staged(out);
    }

    /// Grants the first steps of a generation once all ranks hold the map.
    pub(super) fn run_if_staged(&mut self, out: &mut Vec<Output>) {
        let (Phase::Staging { from }, Some(active)) = (&self.phase, &self.active) else {
            return;
        };
        let (from, map) = (*from, active.version);
        if !self.all_hold(map) {
            return;
        }
        self.source.generation_started(&active.bytes);
        let generation = self.generation;
        let schedule = Schedule::new(generation, map, from, self.limits.horizon_steps);
        self.phase = Phase::Running(schedule);
        out.push(Output::Log(GroupDecision::Run {
            generation,
            from,
            map,
        }));
        self.resend(out);
    }
}

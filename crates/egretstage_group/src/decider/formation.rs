//! Formation of a generation: all ranks attach, join and load the map.

use super::{Decider, Phase};
use crate::rank_view::RankView;
use crate::{FormReason, GroupDecision, Output, Peer, Schedule};
use egretstage_wire::{GroupFrame, RankIndex, RankState, Step, VersionedMap};

impl Decider {
    /// Starts a generation, in which no step is granted until all ranks have
    /// joined and hold the map.
    pub(super) fn start_generation(&mut self, reason: FormReason, out: &mut Vec<Output>) {
        self.generation.number += 1;
        self.phase = Phase::Joining;
        self.rank_views.iter_mut().for_each(RankView::reset);
        let generation = self.generation;
        out.push(Output::Log(GroupDecision::Form { generation, reason }));
        self.resend(out);
    }

    /// Attaches a rank, unless another engine has joined as that rank through
    /// another peer.
    ///
    /// Starts a new generation if the rank's engine was replaced or has left the
    /// current one.
    pub(super) fn handle_attach(
        &mut self,
        peer: Peer,
        rank: RankIndex,
        state: &RankState,
        out: &mut Vec<Output>,
    ) {
        let Some(view) = self.rank_views.get_mut(usize::from(rank.0)) else {
            return;
        };
        let has_other_peer = view.peer.is_some_and(|holder| holder != peer);
        if has_other_peer && view.joined_state.is_some() && !view.has_joined_boot(state.boot) {
            out.push(Output::Log(GroupDecision::RankOccupied { rank }));
            out.push(Output::ToRank(peer, GroupFrame::Heartbeat));
            return;
        }
        view.peer = Some(peer);
        let continues =
            view.has_joined_boot(state.boot) && state.generation == Some(self.generation);
        let joining = matches!(self.phase, Phase::Joining);
        if !continues && (view.joined_state.is_some() || !joining) {
            self.start_generation(FormReason::RankReplaced, out);
        } else if joining && self.all_attached() {
            self.resend(out);
        } else {
            self.resend_to(usize::from(rank.0), out);
        }
    }

    /// Detaches a rank if it is attached through this peer.
    pub(super) fn handle_detach(&mut self, peer: Peer, rank: RankIndex) {
        let view = self.rank_views.get_mut(usize::from(rank.0));
        if let Some(view) = view.filter(|view| view.peer == Some(peer)) {
            view.peer = None;
        }
    }

    /// Returns whether all ranks are attached.
    ///
    /// Until then no rank is asked to leave its generation, so that the group
    /// keeps running on the steps that an earlier decider granted.
    pub(super) fn all_attached(&self) -> bool {
        self.rank_views.iter().all(|view| view.peer.is_some())
    }

    /// Records that a rank has joined, and chooses the map once all ranks have.
    pub(super) fn handle_joined(
        &mut self,
        peer: Peer,
        state: RankState,
        map: Option<VersionedMap>,
        out: &mut Vec<Output>,
    ) {
        if !matches!(self.phase, Phase::Joining) {
            return;
        }
        let Some(view) = self
            .rank_views
            .iter_mut()
            .find(|view| view.peer == Some(peer))
        else {
            return;
        };
        self.last_begun_step = self.last_begun_step.max(state.entered);
        if let Some(map) = map
            && self
                .active_map
                .as_ref()
                .is_none_or(|active| active.version < map.version)
        {
            self.active_map = Some(map);
        }
        view.record_joined(state);
        if self
            .rank_views
            .iter()
            .all(|view| view.joined_state.is_some())
        {
            self.choose_map(out);
        }
    }

    /// Chooses the map and the first step of the generation.
    fn choose_map(&mut self, out: &mut Vec<Output>) {
        if self.active_map.is_none() {
            let bytes = self.source.initial_map();
            self.active_map = Some(self.assign_version(bytes));
        }
        let from = Step(self.last_begun_step.0 + 1);
        self.phase = Phase::Staging { from };
        self.resend(out);
        self.run_if_staged(out);
    }

    /// Grants the first steps of a generation once all ranks hold the map.
    pub(super) fn run_if_staged(&mut self, out: &mut Vec<Output>) {
        let (Phase::Staging { from }, Some(active)) = (&self.phase, &self.active_map) else {
            return;
        };
        let (from, map) = (*from, active.version);
        if !self.all_ranks_hold(map) {
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

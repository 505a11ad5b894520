//! What a decider learns: states, counts, and the ends of orders.

use super::rank_view::RankView;
use super::{DeciderEffect, MapDecider, UnchangedState};
use crate::{EngineReport, OrderEnd, RankAddress, RankState, RecentLoads};
use std::net::SocketAddr;
use std::time::Instant;

impl MapDecider {
    /// Takes in the state that a companion tells of its rank.
    pub fn receive_state(&mut self, now: Instant, state: RankState) {
        let rank = usize::from(state.report.rank);
        let known = self.ranks.get(rank).and_then(Option::as_ref);
        let told = known.map(|view| (view.state.incarnation, view.state.number));
        if told.is_some_and(|told| told.0 == state.incarnation && told.1 >= state.number) {
            return;
        }
        if let Some(address) = self.addresses.get_mut(rank) {
            *address = Some(RankAddress {
                companion: state.address,
                engine: state.engine,
            });
        }
        let number = state.number;
        self.take(now, state, false);
        if let Some(Some(view)) = self.ranks.get_mut(rank) {
            view.told = (view.state.number == number).then_some(number);
        }
        self.heard(now, rank);
    }

    /// Notes that a companion tells that an earlier state of its rank holds.
    pub fn receive_unchanged(&mut self, now: Instant, rank: u16, still: UnchangedState) {
        let rank = usize::from(rank);
        let Some(Some(view)) = self.ranks.get_mut(rank) else {
            return;
        };
        if view.state.incarnation != still.incarnation || view.state.number >= still.number {
            return;
        }
        if view.told == Some(still.state) {
            view.state.number = still.number;
            view.state.report.pass = view.state.report.pass.max(still.pass);
            view.received = now;
        } else {
            view.lacks_state = true;
        }
        self.heard(now, rank);
    }

    /// Asks the companions for states that were lost.
    pub(super) fn ask_for_states(&mut self, out: &mut Vec<DeciderEffect>) {
        for view in self.ranks.iter_mut().flatten() {
            if std::mem::take(&mut view.lacks_state) {
                out.push(DeciderEffect::RequestState(view.state.address));
            }
        }
    }

    /// Takes in what the requests of a rank chose of late.
    pub fn receive_counts(&mut self, now: Instant, rank: u16, loads: &RecentLoads) {
        self.demand.update(now, rank, loads);
    }

    fn heard(&mut self, now: Instant, rank: usize) {
        if let Some(Some(view)) = self.ranks.get_mut(rank) {
            view.companion_heard = Some(now);
        }
        if rank != usize::from(self.own_rank) {
            self.last_contact = now;
        }
    }

    /// Takes in the report of an engine whose companion is silent.
    pub fn receive_remote_report(
        &mut self,
        now: Instant,
        engine: SocketAddr,
        report: EngineReport,
    ) {
        let known = self.ranks.get(usize::from(report.rank));
        let known = known.and_then(Option::as_ref);
        // A companion at an unknown address is never sent anything.
        let (instance, address, told) = match known {
            Some(RankView { state, .. }) => {
                let told = (state.incarnation, state.number);
                (state.instance.clone(), state.address, told)
            }
            None => (self.instance.clone(), engine, (0, 0)),
        };
        let state = RankState {
            instance,
            incarnation: told.0,
            number: told.1,
            address,
            engine,
            report,
            follows: 0,
            may_be_armed: true,
            lists: None,
        };
        let rank = usize::from(state.report.rank);
        self.take(now, state, true);
        if let Some(Some(view)) = self.ranks.get_mut(rank) {
            // What the companion told no longer is what is known.
            view.told = None;
        }
    }

    /// Takes in a report; from another instance it lags behind the engine.
    fn take(&mut self, now: Instant, state: RankState, lags: bool) {
        let settled = state.follows == self.fence || (lags && now >= self.settled_at);
        let Some(slot) = self.ranks.get_mut(usize::from(state.report.rank)) else {
            return;
        };
        match slot {
            Some(view) if view.is_outdated(now, &state.report, lags) => {}
            // Read before the companion followed this decider: perhaps before it
            // stood still, long before what is known.
            Some(view) if view.settled && !settled && !lags => {}
            Some(view) => {
                if view.state.report.epoch < state.report.epoch {
                    view.in_flight = None;
                    view.copying = None;
                    view.refused = 0;
                }
                let lists = state.lists.clone().or_else(|| view.state.lists.take());
                view.state = RankState { lists, ..state };
                view.received = now;
                view.settled |= settled;
            }
            None => {
                *slot = Some(RankView {
                    state,
                    received: now,
                    settled,
                    outdated_until: now,
                    companion_heard: None,
                    in_flight: None,
                    copying: None,
                    refused: 0,
                    lacks_base: false,
                    told: None,
                    lacks_state: false,
                    map_sent: None,
                });
            }
        }
    }

    /// Takes in a companion's answer to an order, given after so many states:
    /// those are older than the order's effect, whenever they arrive.
    pub fn order_answered(&mut self, now: Instant, number: u64, end: OrderEnd, states: u64) {
        let ended = |view: &&mut RankView| view.in_flight.is_some_and(|o| o.number == number);
        if let Some(view) = self.ranks.iter_mut().flatten().find(ended) {
            view.state.number = view.state.number.max(states);
        }
        self.order_done(now, number, end, None);
    }

    /// Takes in the end of an order, with the engine's report afterwards.
    pub fn order_done(
        &mut self,
        now: Instant,
        number: u64,
        end: OrderEnd,
        report: Option<EngineReport>,
    ) {
        self.superseded |= end == OrderEnd::Fenced;
        let ended = |view: &&mut RankView| view.in_flight.is_some_and(|o| o.number == number);
        let Some(view) = self.ranks.iter_mut().flatten().find(ended) else {
            return;
        };
        let Some(order) = view.in_flight.take() else {
            return;
        };
        view.ended(now, &order, end);
        if let Some(report) = report.filter(|r| !view.is_outdated(now, r, order.direct)) {
            view.state.report = report;
            view.received = now;
        }
    }
}

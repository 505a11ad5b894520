//! Inputs of a decider: states, counts, and the ends of orders.

use super::rank_view::RankView;
use super::{DeciderEffect, MapDecider, UnchangedState};
use crate::{EngineReport, OrderEnd, RankAddress, RankState, RecentLoads};
use std::net::SocketAddr;
use std::time::Instant;

impl MapDecider {
    /// Receives the state of a rank from its companion.
    pub fn receive_state(&mut self, now: Instant, state: RankState) {
        let rank = usize::from(state.report.rank);
        let known = self.ranks.get(rank).and_then(Option::as_ref);
        let last = known.map(|view| (view.state.incarnation, view.state.number));
        if last.is_some_and(|last| last.0 == state.incarnation && last.1 >= state.number) {
            return;
        }
        if let Some(address) = self.addresses.get_mut(rank) {
            *address = Some(RankAddress {
                companion: state.address,
                engine: state.engine,
            });
        }
        let number = state.number;
        self.update_view(now, state, false);
        if let Some(Some(view)) = self.ranks.get_mut(rank) {
            view.last_reported = (view.state.number == number).then_some(number);
        }
        self.record_contact(now, rank);
    }

    /// Receives a companion's report that an earlier state of its rank is still
    /// current.
    pub fn receive_unchanged(&mut self, now: Instant, rank: u16, unchanged: UnchangedState) {
        let rank = usize::from(rank);
        let Some(Some(view)) = self.ranks.get_mut(rank) else {
            return;
        };
        if view.state.incarnation != unchanged.incarnation || view.state.number >= unchanged.number
        {
            return;
        }
        if view.last_reported == Some(unchanged.state) {
            view.state.number = unchanged.number;
            view.state.report.pass = view.state.report.pass.max(unchanged.pass);
            view.received = now;
        } else {
            view.lacks_state = true;
        }
        self.record_contact(now, rank);
    }

    /// Requests states that were lost from their companions.
    pub(super) fn request_missing_states(&mut self, out: &mut Vec<DeciderEffect>) {
        for view in self.ranks.iter_mut().flatten() {
            if std::mem::take(&mut view.lacks_state) {
                out.push(DeciderEffect::RequestState(view.state.address));
            }
        }
    }

    /// Receives recent expert counts of a rank's requests.
    pub fn receive_counts(&mut self, now: Instant, rank: u16, loads: &RecentLoads) {
        self.demand.update(now, rank, loads);
    }

    fn record_contact(&mut self, now: Instant, rank: usize) {
        if let Some(Some(view)) = self.ranks.get_mut(rank) {
            view.last_companion_report = Some(now);
        }
        if rank != usize::from(self.own_rank) {
            self.last_contact = now;
        }
    }

    /// Receives the report of an engine whose companion is silent.
    pub fn receive_remote_report(
        &mut self,
        now: Instant,
        engine: SocketAddr,
        report: EngineReport,
    ) {
        let known = self.ranks.get(usize::from(report.rank));
        let known = known.and_then(Option::as_ref);
        // Nothing is sent to a companion that hasn't reported yet, so its name
        // and address may be placeholders until then.
        let (instance, address, last) = match known {
            Some(RankView { state, .. }) => {
                let last = (state.incarnation, state.number);
                (state.instance.clone(), state.address, last)
            }
            None => (self.instance.clone(), engine, (0, 0)),
        };
        let state = RankState {
            instance,
            incarnation: last.0,
            number: last.1,
            address,
            engine,
            report,
            follows: 0,
            may_be_armed: true,
            lists: None,
        };
        let rank = usize::from(state.report.rank);
        self.update_view(now, state, true);
        if let Some(Some(view)) = self.ranks.get_mut(rank) {
            // The companion's last state no longer matches what is known.
            view.last_reported = None;
        }
    }

    /// Updates what is known of a rank. A report from another instance
    /// (`is_delayed`) lags behind its engine.
    fn update_view(&mut self, now: Instant, state: RankState, is_delayed: bool) {
        let settled = state.follows == self.fence || (is_delayed && now >= self.settled_at);
        let Some(slot) = self.ranks.get_mut(usize::from(state.report.rank)) else {
            return;
        };
        match slot {
            Some(view) if view.is_outdated(now, &state.report, is_delayed) => {}
            // The report was read before the companion followed this decider,
            // perhaps before a long suspension, so it may be much older than
            // what is known.
            Some(view) if view.settled && !settled && !is_delayed => {}
            Some(view) => {
                if view.state.report.epoch < state.report.epoch {
                    view.in_flight = None;
                    view.copying = None;
                    view.refusals = 0;
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
                    last_companion_report: None,
                    in_flight: None,
                    copying: None,
                    refusals: 0,
                    lacks_base: false,
                    last_reported: None,
                    lacks_state: false,
                    map_sent: None,
                });
            }
        }
    }

    /// Receives a companion's answer to an order. States up to the number
    /// `states` were sent before the order took effect, even if they arrive
    /// later.
    pub fn order_answered(&mut self, now: Instant, number: u64, end: OrderEnd, states: u64) {
        let has_order = |view: &&mut RankView| view.in_flight.is_some_and(|o| o.number == number);
        if let Some(view) = self.ranks.iter_mut().flatten().find(has_order) {
            view.state.number = view.state.number.max(states);
        }
        self.order_done(now, number, end, None);
    }

    /// Receives the end of an order, with the engine's report afterwards if it
    /// was read.
    pub fn order_done(
        &mut self,
        now: Instant,
        number: u64,
        end: OrderEnd,
        report: Option<EngineReport>,
    ) {
        self.superseded |= end == OrderEnd::Fenced;
        let has_order = |view: &&mut RankView| view.in_flight.is_some_and(|o| o.number == number);
        let Some(view) = self.ranks.iter_mut().flatten().find(has_order) else {
            return;
        };
        let Some(order) = view.in_flight.take() else {
            return;
        };
        view.order_ended(now, &order, end);
        if let Some(report) = report.filter(|r| !view.is_outdated(now, r, order.direct)) {
            view.state.report = report;
            view.received = now;
        }
    }
}

//! How a decider gives orders to ranks, and repeats those without an answer.

use super::rank_view::{InFlight, OrderEffect, RankView};
use super::{DeciderEffect, MapDecider, NextMap, OrderRoute};
use crate::{ExpertsByRank, FencedChanges, FencedOrder, MapChanges, PassOrder};
use std::time::{Duration, Instant};

impl MapDecider {
    /// Gives an order to a rank, unless one is under way there.
    pub(super) fn order(
        &mut self,
        now: Instant,
        rank: u16,
        order: PassOrder,
        out: &mut Vec<DeciderEffect>,
    ) {
        if let Some(route) = self.route_to(now, rank) {
            self.order_by(now, rank, route, order, out);
        }
    }

    /// Gives an order straight to a rank's engine, unless one is under way.
    pub(super) fn order_engine(
        &mut self,
        now: Instant,
        rank: u16,
        order: PassOrder,
        out: &mut Vec<DeciderEffect>,
    ) {
        let view = self.ranks.get(usize::from(rank)).and_then(Option::as_ref);
        if rank == self.own_rank {
            self.order(now, rank, order, out);
        } else if let Some(view) = view.filter(|_| now >= self.direct_from) {
            let route = OrderRoute::Engine(view.state.engine);
            self.order_by(now, rank, route, order, out);
        }
    }

    fn order_by(
        &mut self,
        now: Instant,
        rank: u16,
        route: OrderRoute,
        order: PassOrder,
        out: &mut Vec<DeciderEffect>,
    ) {
        let fence = self.fence;
        let effect = OrderEffect::of(&order);
        let Some((number, view)) = self.begin_order(now, rank, route, effect) else {
            return;
        };
        let report = &view.state.report;
        out.push(DeciderEffect::Order {
            route,
            number,
            order: Box::new(FencedOrder {
                fence,
                epoch: report.epoch,
                accepted: report.accepted,
                order,
            }),
        });
    }

    /// Orders a rank to prepare a map: by its changes, if its companion knows
    /// the map in use.
    ///
    /// An order without an answer is repeated only when the orders of all
    /// ranks have had their time on the link.
    pub(super) fn order_map(
        &mut self,
        now: Instant,
        rank: u16,
        version: u64,
        map: &NextMap,
        out: &mut Vec<DeciderEffect>,
    ) {
        if !self.pacer.is_free(now) || self.is_map_on_its_way(now, rank, version, map) {
            return;
        }
        let (fence, own) = (self.fence, self.own_rank);
        let effect = OrderEffect::Copies(version);
        let Some(route) = self.route_to(now, rank) else {
            return;
        };
        let Some((number, view)) = self.begin_order(now, rank, route, effect) else {
            return;
        };
        view.map_sent = Some(version);
        let report = &view.state.report;
        let (epoch, accepted) = (report.epoch, report.accepted);
        let changes = map.changes.as_ref().filter(|_| !view.lacks_base);
        let (output, bytes) = match (route, changes) {
            (OrderRoute::Companion(to), Some(changes)) if rank != own => {
                let changes = MapChanges::clone(changes);
                let bytes = changes.bytes();
                let order = Box::new(FencedChanges {
                    fence,
                    epoch,
                    accepted,
                    version,
                    changes,
                });
                (DeciderEffect::Changes { to, number, order }, bytes)
            }
            _ => {
                let layers = ExpertsByRank::clone(&map.layers);
                let order = Box::new(FencedOrder {
                    fence,
                    epoch,
                    accepted,
                    order: PassOrder::Prepare { version, layers },
                });
                let bytes = if rank == own { 0 } else { map.whole_bytes };
                (
                    DeciderEffect::Order {
                        route,
                        number,
                        order,
                    },
                    bytes,
                )
            }
        };
        out.push(output);
        if bytes > 0 {
            self.pacer.sent(now, bytes);
        }
    }

    /// Tells whether a map was sent to a rank and its answer may still come.
    fn is_map_on_its_way(&self, now: Instant, rank: u16, version: u64, map: &NextMap) -> bool {
        let view = self.ranks.get(usize::from(rank)).and_then(Option::as_ref);
        let Some((view, order)) = view.and_then(|view| Some((view, view.in_flight?))) else {
            return false;
        };
        let to_all = self.time_on_the_way(map);
        view.map_sent == Some(version)
            && now.saturating_duration_since(order.since)
                < self.limits.companion_order_timeout + to_all
    }

    /// Returns the time that the orders of a map take to all ranks.
    pub(super) fn time_on_the_way(&self, map: &NextMap) -> Duration {
        let views = self.ranks.iter().flatten();
        let lacking = views.filter(|view| view.lacks_base).count();
        let lacking = u32::try_from(lacking).unwrap_or(u32::MAX);
        let whole = self.pacer.time_for(map.whole_bytes, lacking);
        self.pacer.time_for(map.bytes(), self.rank_count()) + whole
    }

    pub(super) fn rank_count(&self) -> u32 {
        u32::try_from(self.ranks.len()).unwrap_or(u32::MAX)
    }

    /// Tells whether the companion of a rank was heard of late.
    pub(super) fn is_companion_heard(&self, now: Instant, rank: u16) -> bool {
        let view = self.ranks.get(usize::from(rank)).and_then(Option::as_ref);
        let heard = view.and_then(|view| view.companion_heard);
        heard.is_some_and(|at| self.is_fresh(now, at))
    }

    /// Tells whether what was received at a time still counts.
    pub(super) fn is_fresh(&self, now: Instant, at: Instant) -> bool {
        now.saturating_duration_since(at) <= self.limits.max_state_age
    }

    /// Returns the way to a rank, if there is one now.
    fn route_to(&self, now: Instant, rank: u16) -> Option<OrderRoute> {
        let view = self.ranks.get(usize::from(rank))?.as_ref()?;
        if self.is_companion_heard(now, rank) {
            Some(OrderRoute::Companion(view.state.address))
        } else {
            (now >= self.direct_from).then_some(OrderRoute::Engine(view.state.engine))
        }
    }

    /// Notes that an order is given to a rank, unless one is under way there.
    fn begin_order(
        &mut self,
        now: Instant,
        rank: u16,
        route: OrderRoute,
        effect: OrderEffect,
    ) -> Option<(u64, &mut RankView)> {
        let view = self.ranks.get_mut(usize::from(rank))?.as_mut()?;
        if let Some(order) = &view.in_flight {
            let timeout = if order.direct {
                self.limits.engine_order_timeout
            } else {
                self.limits.companion_order_timeout
            };
            if now.saturating_duration_since(order.since) < timeout {
                return None;
            }
        }
        self.orders += 1;
        view.in_flight = Some(InFlight {
            number: self.orders,
            since: now,
            effect,
            direct: matches!(route, OrderRoute::Engine(_)),
        });
        Some((self.orders, view))
    }
}

//! Sends orders to ranks and repeats those that aren't answered.

use super::rank_view::{InFlight, OrderEffect, RankView};
use super::{DeciderEffect, MapDecider, NextMap, OrderRoute};
use crate::{ExpertsByRank, FencedChanges, FencedOrder, MapChanges, PassOrder};
use std::time::{Duration, Instant};

impl MapDecider {
    /// Sends an order to a rank, unless another one is in flight there.
    pub(super) fn order(
        &mut self,
        now: Instant,
        rank: u16,
        order: PassOrder,
        out: &mut Vec<DeciderEffect>,
    ) {
        if let Some(route) = self.route_to(now, rank) {
            self.order_via(now, rank, route, order, out);
        }
    }

    /// Sends an order directly to a rank's engine, unless another one is in
    /// flight there.
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
        } else if let Some(view) = view.filter(|_| now >= self.direct_calls_from) {
            let route = OrderRoute::Engine(view.state.engine);
            self.order_via(now, rank, route, order, out);
        }
    }

    fn order_via(
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

    /// Orders a rank to prepare a map: as changes, if its companion knows the
    /// map in use.
    ///
    /// An unanswered order is repeated only after the orders of all ranks have
    /// had time to pass the link.
    pub(super) fn order_map(
        &mut self,
        now: Instant,
        rank: u16,
        version: u64,
        map: &NextMap,
        out: &mut Vec<DeciderEffect>,
    ) {
        if !self.pacer.may_send(now) || self.is_map_in_transit(now, rank, version, map) {
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
                let bytes = if rank == own { 0 } else { map.full_map_bytes };
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
            self.pacer.record_sent(now, bytes);
        }
    }

    /// Returns whether a map was sent to a rank and its answer may still
    /// arrive.
    fn is_map_in_transit(&self, now: Instant, rank: u16, version: u64, map: &NextMap) -> bool {
        let view = self.ranks.get(usize::from(rank)).and_then(Option::as_ref);
        let Some((view, order)) = view.and_then(|view| Some((view, view.in_flight?))) else {
            return false;
        };
        let transfer = self.transfer_time(map);
        view.map_sent == Some(version)
            && now.saturating_duration_since(order.since)
                < self.limits.companion_order_timeout + transfer
    }

    /// Returns the time that it takes to send the orders of a map to all ranks.
    pub(super) fn transfer_time(&self, map: &NextMap) -> Duration {
        let views = self.ranks.iter().flatten();
        let without_base = views.filter(|view| view.lacks_base).count();
        let without_base = u32::try_from(without_base).unwrap_or(u32::MAX);
        let full_maps = self.pacer.transfer_time(map.full_map_bytes, without_base);
        self.pacer.transfer_time(map.bytes(), self.rank_count()) + full_maps
    }

    pub(super) fn rank_count(&self) -> u32 {
        u32::try_from(self.ranks.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the companion of a rank has reported recently.
    pub(super) fn is_companion_reporting(&self, now: Instant, rank: u16) -> bool {
        let view = self.ranks.get(usize::from(rank)).and_then(Option::as_ref);
        let reported_at = view.and_then(|view| view.last_companion_report);
        reported_at.is_some_and(|at| self.is_fresh(now, at))
    }

    /// Returns whether something received at `at` is recent enough to act on.
    pub(super) fn is_fresh(&self, now: Instant, at: Instant) -> bool {
        now.saturating_duration_since(at) <= self.limits.max_state_age
    }

    /// Returns the route to a rank, if there is one at present.
    fn route_to(&self, now: Instant, rank: u16) -> Option<OrderRoute> {
        let view = self.ranks.get(usize::from(rank))?.as_ref()?;
        if self.is_companion_reporting(now, rank) {
            Some(OrderRoute::Companion(view.state.address))
        } else {
            (now >= self.direct_calls_from).then_some(OrderRoute::Engine(view.state.engine))
        }
    }

    /// Records that an order is sent to a rank, unless another one is in flight
    /// there.
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
        self.orders_sent += 1;
        view.in_flight = Some(InFlight {
            number: self.orders_sent,
            since: now,
            effect,
            direct: matches!(route, OrderRoute::Engine(_)),
        });
        Some((self.orders_sent, view))
    }
}

//! How a decider gives orders to ranks, and repeats those without an answer.

use super::rank_view::{InFlight, OrderEffect, RankView};
use super::{MapDecider, NextMap, RankOutput, Way};
use crate::{ExpertsByRank, FencedChanges, FencedOrder, MapChanges, PassOrder};
use std::time::{Duration, Instant};

impl MapDecider {
    /// Gives an order to a rank, unless one is under way there.
    pub(super) fn order(
        &mut self,
        now: Instant,
        rank: u16,
        order: PassOrder,
        out: &mut Vec<RankOutput>,
    ) {
        let fence = self.fence;
        let Some((way, number, view)) = self.begin_order(now, rank, OrderEffect::of(&order)) else {
            return;
        };
        let report = &view.state.report;
        out.push(RankOutput::Order {
            way,
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
        out: &mut Vec<RankOutput>,
    ) {
        if !self.pacer.is_free(now) || self.is_map_on_its_way(now, rank, version, map) {
            return;
        }
        let (fence, own) = (self.fence, self.own_rank);
        let effect = OrderEffect::Copies(version);
        let Some((way, number, view)) = self.begin_order(now, rank, effect) else {
            return;
        };
        view.map_sent = Some(version);
        let report = &view.state.report;
        let (epoch, accepted) = (report.epoch, report.accepted);
        let changes = map.changes.as_ref().filter(|_| !view.lacks_base);
        let (output, bytes) = match (way, changes) {
            (Way::Companion(to), Some(changes)) if rank != own => {
                let changes = MapChanges::clone(changes);
                let bytes = changes.bytes();
                let order = Box::new(FencedChanges {
                    fence,
                    epoch,
                    accepted,
                    version,
                    changes,
                });
                (RankOutput::Changes { to, number, order }, bytes)
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
                (RankOutput::Order { way, number, order }, bytes)
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
            && now.saturating_duration_since(order.since) < self.limits.companion_timeout + to_all
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

    /// Notes that an order is given to a rank, unless one is under way there.
    fn begin_order(
        &mut self,
        now: Instant,
        rank: u16,
        effect: OrderEffect,
    ) -> Option<(Way, u64, &mut RankView)> {
        let fresh = self.limits.fresh;
        let view = self.ranks.get_mut(usize::from(rank))?.as_mut()?;
        if let Some(order) = &view.in_flight {
            let timeout = if order.direct {
                self.limits.order_timeout
            } else {
                self.limits.companion_timeout
            };
            if now.saturating_duration_since(order.since) < timeout {
                return None;
            }
        }
        self.orders += 1;
        let heard = view.companion_heard;
        let by_companion = heard.is_some_and(|at| now.saturating_duration_since(at) <= fresh);
        let way = if by_companion {
            Way::Companion(view.state.address)
        } else {
            Way::Engine(view.state.engine)
        };
        view.in_flight = Some(InFlight {
            number: self.orders,
            since: now,
            effect,
            direct: matches!(way, Way::Engine(_)),
        });
        Some((way, self.orders, view))
    }
}

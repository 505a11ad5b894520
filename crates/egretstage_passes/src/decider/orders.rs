//! How a decider gives orders to ranks, and repeats those without an answer.

use super::rank_view::{InFlight, OrderEffect, RankView};
use super::{MapDecider, NextMap, RankOutput, Way};
use crate::{ExpertsByRank, FencedChanges, FencedOrder, MapChanges, PassOrder};
use std::time::Instant;

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
    pub(super) fn order_map(
        &mut self,
        now: Instant,
        rank: u16,
        version: u64,
        map: &NextMap,
        out: &mut Vec<RankOutput>,
    ) {
        let (fence, own) = (self.fence, self.own_rank);
        let effect = OrderEffect::Copies(version);
        let Some((way, number, view)) = self.begin_order(now, rank, effect) else {
            return;
        };
        let report = &view.state.report;
        let (epoch, accepted) = (report.epoch, report.accepted);
        let changes = map.changes.as_ref().filter(|_| !view.lacks_base);
        out.push(match (way, changes) {
            (Way::Companion(to), Some(changes)) if rank != own => {
                let changes = MapChanges::clone(changes);
                RankOutput::Changes {
                    to,
                    number,
                    order: Box::new(FencedChanges {
                        fence,
                        epoch,
                        accepted,
                        version,
                        changes,
                    }),
                }
            }
            _ => {
                let layers = ExpertsByRank::clone(&map.layers);
                RankOutput::Order {
                    way,
                    number,
                    order: Box::new(FencedOrder {
                        fence,
                        epoch,
                        accepted,
                        order: PassOrder::Prepare { version, layers },
                    }),
                }
            }
        });
    }

    /// Notes that an order is given to a rank, unless one is under way there.
    fn begin_order(
        &mut self,
        now: Instant,
        rank: u16,
        effect: OrderEffect,
    ) -> Option<(Way, u64, &RankView)> {
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

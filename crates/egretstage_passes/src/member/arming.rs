//! Tracks whether unanswered orders may still arm the member's rank.
//!
//! Load pattern: engines leave orders unanswered and carry them out seconds
//! later, when the decider that sent them may have failed. A successor that
//! can't reach one rank rolls a switch back only if no other rank can be armed
//! any more.

use crate::decider::MAX_ORDER_DELAY;
use crate::{EngineReport, FencedOrder, OrderEnd, PassOrder};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::time::Instant;

/// Passes that a companion must have seen begin before it knows that no order
/// from before its start can arm its rank. Such orders are sent one or two
/// passes ahead.
const SETTLE_PASSES: u64 = 3;

/// An order to arm.
#[derive(Clone, Copy, Debug)]
struct ArmOrder {
    issuer: SocketAddr,
    number: u64,
    epoch: u64,
    pass: u64,
    since: Instant,
}

/// When the first report of an epoch was read, and its pass.
#[derive(Clone, Copy, Debug)]
struct FirstReport {
    epoch: u64,
    pass: u64,
    at: Instant,
}

/// Orders that may still arm the rank.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingArming {
    /// The first report of the current epoch.
    first: Option<FirstReport>,
    /// Whether orders from before the companion's start may still take effect.
    earlier_orders_pending: bool,
    unanswered: SmallVec<[ArmOrder; 2]>,
    /// An accepted order to arm that no report shows yet.
    accepted: Option<ArmOrder>,
}

impl PendingArming {
    /// Records an order that is passed to the engine.
    pub(super) fn record_order(
        &mut self,
        now: Instant,
        (issuer, number): (SocketAddr, u64),
        order: &FencedOrder,
    ) {
        if let PassOrder::Arm { pass, .. } = order.order {
            self.unanswered.push(ArmOrder {
                issuer,
                number,
                epoch: order.epoch,
                pass,
                since: now,
            });
        }
    }

    /// Records how an order ended.
    pub(super) fn record_end(&mut self, issuer: SocketAddr, number: u64, end: OrderEnd) {
        let is_same = |order: &ArmOrder| order.issuer == issuer && order.number == number;
        let Some(index) = self.unanswered.iter().position(is_same) else {
            return;
        };
        if end != OrderEnd::Unanswered {
            let order = self.unanswered.remove(index);
            if end == OrderEnd::Accepted {
                self.accepted = Some(order);
            }
        }
    }

    /// Updates the pending orders from a report of the engine.
    pub(super) fn update(&mut self, now: Instant, report: &EngineReport) {
        let first = self.first.filter(|first| first.epoch == report.epoch);
        let first = first.unwrap_or(FirstReport {
            epoch: report.epoch,
            pass: report.pass,
            at: now,
        });
        self.first = Some(first);
        self.earlier_orders_pending = report.pass < first.pass + SETTLE_PASSES
            && now.saturating_duration_since(first.at) < MAX_ORDER_DELAY;
        let is_past = |order: &ArmOrder| {
            order.epoch != report.epoch
                || order.pass <= report.pass
                || now.saturating_duration_since(order.since) >= MAX_ORDER_DELAY
        };
        self.unanswered.retain(|order| !is_past(order));
        if report.armed.is_some() || self.accepted.as_ref().is_some_and(is_past) {
            self.accepted = None;
        }
    }

    /// Returns whether an order that no report shows may still arm the rank.
    pub(super) fn is_pending(&self) -> bool {
        !self.unanswered.is_empty() || self.accepted.is_some() || self.earlier_orders_pending
    }
}

//! Whether orders that have no answer may still arm the own rank.
//!
//! Load pattern: engines leave orders unanswered and carry them out seconds
//! later, while the decider that gave them is lost. A successor that can't reach
//! one rank takes a switch back only if no other rank can be armed any more.

use crate::decider::MAX_ORDER_DELAY;
use crate::{EngineReport, FencedOrder, OrderEnd, PassOrder};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::time::Instant;

/// Passes that a companion must have seen begin before it knows that no order
/// of before its start can arm its rank: those are given a pass or two ahead.
const PASSES_SEEN: u64 = 3;

/// An order to arm.
#[derive(Clone, Copy, Debug)]
struct Arming {
    issuer: SocketAddr,
    number: u64,
    epoch: u64,
    pass: u64,
    since: Instant,
}

/// What the first report of an epoch said, and when.
#[derive(Clone, Copy, Debug)]
struct FirstReport {
    epoch: u64,
    pass: u64,
    at: Instant,
}

/// The orders that may still take effect.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingArming {
    /// The first report of the epoch.
    first: Option<FirstReport>,
    /// Whether orders of before the companion's start may take effect.
    unseen: bool,
    unanswered: SmallVec<[Arming; 2]>,
    /// An order to arm that was accepted, and that no report shows yet.
    accepted: Option<Arming>,
}

impl PendingArming {
    /// Notes that an order is passed to the engine.
    pub(super) fn ordered(
        &mut self,
        now: Instant,
        (issuer, number): (SocketAddr, u64),
        order: &FencedOrder,
    ) {
        if let PassOrder::Arm { pass, .. } = order.order {
            self.unanswered.push(Arming {
                issuer,
                number,
                epoch: order.epoch,
                pass,
                since: now,
            });
        }
    }

    /// Notes how an order ended.
    pub(super) fn ended(&mut self, issuer: SocketAddr, number: u64, end: OrderEnd) {
        let is_it = |order: &Arming| order.issuer == issuer && order.number == number;
        let Some(index) = self.unanswered.iter().position(is_it) else {
            return;
        };
        if end != OrderEnd::Unanswered {
            let order = self.unanswered.remove(index);
            if end == OrderEnd::Accepted {
                self.accepted = Some(order);
            }
        }
    }

    /// Takes in what the engine reports.
    pub(super) fn reported(&mut self, now: Instant, report: &EngineReport) {
        let first = self.first.filter(|first| first.epoch == report.epoch);
        let first = first.unwrap_or(FirstReport {
            epoch: report.epoch,
            pass: report.pass,
            at: now,
        });
        self.first = Some(first);
        self.unseen = report.pass < first.pass + PASSES_SEEN
            && now.saturating_duration_since(first.at) < MAX_ORDER_DELAY;
        let is_past = |order: &Arming| {
            order.epoch != report.epoch
                || order.pass <= report.pass
                || now.saturating_duration_since(order.since) >= MAX_ORDER_DELAY
        };
        self.unanswered.retain(|order| !is_past(order));
        if report.armed.is_some() || self.accepted.as_ref().is_some_and(is_past) {
            self.accepted = None;
        }
    }

    /// Tells whether an order that no report shows may arm the rank.
    pub(super) fn may_come(&self) -> bool {
        !self.unanswered.is_empty() || self.accepted.is_some() || self.unseen
    }
}

//! What a decider knows of one rank.

use crate::{EngineReport, OrderEnd, PassOrder, RankState};
use std::time::{Duration, Instant};

/// An order that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub(super) number: u64,
    pub(super) since: Instant,
    pub(super) effect: OrderEffect,
    /// Whether it went straight to another instance's engine.
    pub(super) direct: bool,
}

/// What an order changes in an engine's report.
#[derive(Clone, Copy, Debug)]
pub(super) enum OrderEffect {
    Copies(u64),
    Armed(Option<u64>),
    Held(Option<u64>),
}

impl OrderEffect {
    pub(super) fn of(order: &PassOrder) -> Self {
        match order {
            PassOrder::Prepare { version, .. } => Self::Copies(*version),
            PassOrder::Arm { version, .. } => Self::Armed(Some(*version)),
            PassOrder::Disarm { .. } => Self::Armed(None),
            PassOrder::Hold { pass } => Self::Held(Some(*pass)),
            PassOrder::Release { .. } => Self::Held(None),
        }
    }
}

/// What a decider knows of a rank.
#[derive(Clone, Debug)]
pub(super) struct RankView {
    pub(super) state: RankState,
    /// When the engine's report was received, by whatever way.
    pub(super) received: Instant,
    /// Until when a report that was read from another instance is older than
    /// the last accepted order.
    pub(super) outdated_until: Instant,
    /// Whether no order of an earlier decider comes after the report.
    pub(super) settled: bool,
    /// When the companion was last heard.
    pub(super) companion_heard: Option<Instant>,
    pub(super) in_flight: Option<InFlight>,
    /// The version whose copies the engine has begun.
    pub(super) copying: Option<u64>,
    pub(super) refused: u32,
    /// Whether the companion lacks the map that the next one changes.
    pub(super) lacks_base: bool,
    /// Number of the state that the companion told, as long as nothing else
    /// was learnt of the rank.
    pub(super) told: Option<u64>,
    /// Whether the companion says that a state holds which wasn't received.
    pub(super) lacks_state: bool,
    /// The version that the companion was last ordered to prepare.
    pub(super) map_sent: Option<u64>,
}

/// Longest time by which a report read from another instance lags behind.
const REPORT_LAG: Duration = Duration::from_millis(400);

impl RankView {
    /// Takes over the end of an order, before a report shows its effect.
    pub(super) fn ended(&mut self, now: Instant, order: &InFlight, end: OrderEnd) {
        if end == OrderEnd::Accepted {
            self.told = None;
            self.outdated_until = now + REPORT_LAG;
            match order.effect {
                OrderEffect::Copies(_) => {}
                OrderEffect::Armed(version) => self.state.report.armed = version,
                OrderEffect::Held(pass) => self.state.report.held = pass,
            }
        }
        if end == OrderEnd::UnknownMap {
            self.lacks_base = true;
            return;
        }
        if let OrderEffect::Copies(version) = order.effect
            && end != OrderEnd::Unanswered
        {
            // A refusal may mean that an order without an answer was accepted.
            self.copying = Some(version);
            self.lacks_base = false;
        } else if end == OrderEnd::Refused {
            self.refused += 1;
            self.outdated_until = now;
        }
    }

    /// Tells whether a report is older than what is known.
    pub(super) fn is_outdated(&self, now: Instant, report: &EngineReport, lags: bool) -> bool {
        let known = &self.state.report;
        report.epoch < known.epoch
            || (lags && (now < self.outdated_until || report.pass < known.pass))
    }
}

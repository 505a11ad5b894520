//! A decider's knowledge of one rank.

use crate::{EngineReport, OrderEnd, PassOrder, RankState};
use std::time::{Duration, Instant};

/// An order that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub(super) number: u64,
    pub(super) since: Instant,
    pub(super) effect: OrderEffect,
    /// Whether it was sent directly to the engine of another instance.
    pub(super) direct: bool,
}

/// The change that an order makes to an engine's report.
#[derive(Clone, Copy, Debug)]
pub(super) enum OrderEffect {
    /// The version whose copies are made.
    Copies(u64),
    /// The version that is armed afterwards.
    Armed(Option<u64>),
    /// The pass that is held afterwards.
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

/// A decider's knowledge of one rank.
#[derive(Clone, Debug)]
pub(super) struct RankView {
    pub(super) state: RankState,
    /// When the engine's report was received, by whatever route.
    pub(super) received: Instant,
    /// Until when a report that was read from another instance may be older
    /// than the last accepted order.
    pub(super) outdated_until: Instant,
    /// Whether no order of an earlier decider can follow the report.
    pub(super) settled: bool,
    /// When the companion last reported.
    pub(super) last_companion_report: Option<Instant>,
    pub(super) in_flight: Option<InFlight>,
    /// The version whose copies the engine has started.
    pub(super) copying: Option<u64>,
    pub(super) refusals: u32,
    /// Whether the companion lacks the map that the changes of the next one are
    /// based on.
    pub(super) lacks_base: bool,
    /// Number of the companion's last full state, if nothing else was learned
    /// about the rank since.
    pub(super) last_reported: Option<u64>,
    /// Whether the companion reports as current a state that wasn't received or
    /// no longer matches this view.
    pub(super) lacks_state: bool,
    /// The version that the companion was last ordered to prepare.
    pub(super) map_sent: Option<u64>,
}

/// Longest time by which a report read from another instance lags behind.
const REPORT_LAG: Duration = Duration::from_millis(400);

impl RankView {
    /// Applies the end of an order before a report shows its effect.
    pub(super) fn order_ended(&mut self, now: Instant, order: &InFlight, end: OrderEnd) {
        if end == OrderEnd::Accepted {
            self.last_reported = None;
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
            // A refusal may mean that an earlier, unanswered order was
            // accepted.
            self.copying = Some(version);
            self.lacks_base = false;
        } else if end == OrderEnd::Refused {
            self.refusals += 1;
            self.outdated_until = now;
        }
    }

    /// Returns whether a report is older than what is known. A report from
    /// another instance (`is_delayed`) lags behind its engine.
    pub(super) fn is_outdated(
        &self,
        now: Instant,
        report: &EngineReport,
        is_delayed: bool,
    ) -> bool {
        let known = &self.state.report;
        report.epoch < known.epoch
            || (is_delayed && (now < self.outdated_until || report.pass < known.pass))
    }
}

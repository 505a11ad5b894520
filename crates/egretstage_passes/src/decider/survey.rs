//! What an earlier decider left, and how it is brought to an end.

use super::rank_view::RankView;
use super::{DeciderEffect, MapDecider, Phase, Switch};
use crate::EngineReport;
use std::time::Instant;

impl MapDecider {
    /// Chooses how to go on from what all ranks report.
    ///
    /// Arming starts only once all ranks hold the copies and one rank holds
    /// the group, so what is found tells how far the earlier decider was: if
    /// each rank is armed or could be, the switch is completed, which also
    /// makes orders that are still on their way harmless; otherwise it is
    /// taken back before the group is released.
    pub(super) fn survey(
        &mut self,
        now: Instant,
        reports: &[EngineReport],
        out: &mut Vec<DeciderEffect>,
    ) {
        let mut holds = reports.iter().filter_map(|r| Some((r.rank, r.held?)));
        let held = holds.next();
        // Ranks don't say for which pass they are armed.
        let one_hold = holds.next().is_none();
        let armed = reports.iter().find_map(|report| report.armed);
        let version = armed.or_else(|| common_prepared(reports));
        let Some((holder, pass)) = held else {
            let phase = if armed.is_some() {
                // All ranks were armed before the hold was released.
                Phase::Releasing
            } else {
                Phase::Idle
            };
            return self.enter(phase, out);
        };
        let can_switch = |version: u64| {
            let fits = |r: &EngineReport| {
                r.armed == Some(version) || (r.armed.is_none() && r.prepared == Some(version))
            };
            one_hold && self.taken_back != Some(version) && reports.iter().all(fits)
        };
        let all_armed = armed.is_some() && reports.iter().all(|r| r.armed == armed);
        let phase = match version {
            _ if all_armed => Phase::Releasing,
            Some(version) if can_switch(version) => Phase::Arming(Switch {
                version,
                pass,
                holder,
            }),
            _ if armed.is_some() || !self.is_arming_known(now) => Phase::Disarming,
            _ => Phase::Releasing,
        };
        self.enter(phase, out);
    }

    /// Tells whether no order that the reports don't show may arm a rank: only
    /// one that holds the copies of another map can be.
    pub(super) fn is_arming_known(&self, now: Instant) -> bool {
        let may_be_armed = |view: &RankView| {
            let report = &view.state.report;
            view.state.may_be_armed && report.prepared.is_some_and(|v| v > report.map)
        };
        now >= self.no_order_after || !self.ranks.iter().flatten().any(may_be_armed)
    }
}

/// Returns the version that all ranks have prepared beyond the one in use.
fn common_prepared(reports: &[EngineReport]) -> Option<u64> {
    let first = reports.first()?;
    let version = first.prepared.filter(|version| *version > first.map)?;
    let same = |report: &EngineReport| report.prepared == Some(version);
    reports.iter().all(same).then_some(version)
}

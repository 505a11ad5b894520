//! Completes or rolls back what an earlier decider left unfinished.

use super::rank_view::RankView;
use super::{DeciderEffect, MapDecider, NextMap, Phase, Switch, VERSIONS_PER_FENCE};
use crate::EngineReport;
use smallvec::SmallVec;
use std::time::Instant;

impl MapDecider {
    /// Chooses the next phase from the reports of all ranks.
    ///
    /// Arming starts only after all ranks have prepared the copies and one rank
    /// holds the group, so the reports show how far the earlier decider got. If
    /// each rank is armed or could be, the switch is completed, which also
    /// makes orders that are still in flight harmless. Otherwise it is rolled
    /// back before the group is released.
    pub(super) fn survey(
        &mut self,
        now: Instant,
        reports: &[EngineReport],
        out: &mut Vec<DeciderEffect>,
    ) {
        let mut holds = reports.iter().filter_map(|r| Some((r.rank, r.held?)));
        let held = holds.next();
        // The reports don't show for which pass a rank is armed, so a switch is
        // completed only if a single rank holds the group.
        let has_single_hold = holds.next().is_none();
        let armed = reports.iter().find_map(|report| report.armed);
        let version = armed.or_else(|| common_prepared(reports));
        let Some((holder, pass)) = held else {
            let phase = if armed.is_some() {
                // All ranks were armed before the hold was released.
                Phase::Releasing
            } else {
                Phase::Idle
            };
            return self.enter_phase(phase, out);
        };
        let can_switch = |version: u64| {
            let is_ready = |r: &EngineReport| {
                r.armed == Some(version) || (r.armed.is_none() && r.prepared == Some(version))
            };
            let is_given_up = [self.rolled_back, self.blocking].contains(&Some(version));
            has_single_hold && !is_given_up && reports.iter().all(is_ready)
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
        self.enter_phase(phase, out);
    }

    /// Returns whether no order that the reports don't show may still arm a rank.
    pub(super) fn is_arming_known(&self, now: Instant) -> bool {
        let mut views = self.ranks.iter().flatten();
        now >= self.late_orders_until || !views.any(|view| self.may_be_armed(view))
    }

    /// Returns whether a late order may arm a rank: only one that holds the copies of a map
    /// for which orders to arm were sent.
    fn may_be_armed(&self, view: &RankView) -> bool {
        let report = &view.state.report;
        let prepared = report.prepared.filter(|version| *version > report.map);
        view.state.may_be_armed && prepared.is_some() && prepared != self.blocking
    }

    /// Orders each rank that a late order may arm to prepare the map in use as another
    /// version: an engine arms only the version that it has prepared, and prepares no earlier
    /// one again.
    pub(super) fn block_late_arming(
        &mut self,
        now: Instant,
        reports: &[EngineReport],
        out: &mut Vec<DeciderEffect>,
    ) {
        let Some(in_use) = self.map_in_use(reports) else {
            return;
        };
        let last_used = self.fence * VERSIONS_PER_FENCE + self.versions_used;
        let version = match self.blocking {
            Some(version) if version == last_used => version,
            _ => self.next_version(reports),
        };
        self.blocking = Some(version);
        let map = NextMap::new(&in_use, in_use.clone());
        let views = self.ranks.iter().flatten();
        let ranks = views.filter(|view| self.may_be_armed(view));
        let ranks: SmallVec<[u16; 8]> = ranks.map(|view| view.state.report.rank).collect();
        for rank in ranks {
            self.order_map(now, rank, version, &map, out);
        }
    }
}

/// Returns the version, newer than the one in use, that all ranks have
/// prepared.
fn common_prepared(reports: &[EngineReport]) -> Option<u64> {
    let first = reports.first()?;
    let version = first.prepared.filter(|version| *version > first.map)?;
    let has_prepared = |report: &EngineReport| report.prepared == Some(version);
    reports.iter().all(has_prepared).then_some(version)
}

//! What an earlier decider left, and how it is brought to an end.

use super::{MapDecider, Phase, RankOutput};
use crate::EngineReport;

impl MapDecider {
    /// Chooses how to go on from what all ranks report.
    ///
    /// Arming starts only once all ranks hold the copies and one rank holds
    /// the group, so what is found tells how far the earlier decider was: if
    /// each rank is armed or could be, the switch is completed, which also
    /// makes orders that are still on their way harmless; otherwise it is
    /// taken back before the group is released.
    pub(super) fn survey(&mut self, reports: &[EngineReport], out: &mut Vec<RankOutput>) {
        let held = reports.iter().find_map(|report| report.held);
        let armed = reports.iter().find_map(|report| report.armed);
        let version = armed.or_else(|| common_prepared(reports));
        let Some(pass) = held else {
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
            reports.iter().all(fits)
        };
        match version {
            Some(version) if can_switch(version) => {
                self.enter(Phase::Arming { version, pass }, out);
            }
            _ if armed.is_some() => self.enter(Phase::Disarming, out),
            _ => self.enter(Phase::Releasing, out),
        }
    }
}

/// Returns the version that all ranks have prepared beyond the one in use.
fn common_prepared(reports: &[EngineReport]) -> Option<u64> {
    let first = reports.first()?;
    let version = first.prepared.filter(|version| *version > first.map)?;
    let same = |report: &EngineReport| report.prepared == Some(version);
    reports.iter().all(same).then_some(version)
}

//! Keeps the newest report of slow ranks of each model group.
//!
//! Load pattern: some ranks take longer than usual for seconds, and all ranks of
//! their group wait for them in each pass. The group's decider repeats its report
//! as long as a rank is slow. A report that isn't repeated expires, so that the loss
//! of the decider doesn't leave a sound group with a low limit.

use compact_str::CompactString;
use egretstage_wire::SlowRanks;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age from which a report no longer counts: several reports were lost, or the
/// decider has failed.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

#[derive(Clone, Debug)]
struct ReceivedReport {
    report: SlowRanks,
    received_at: Instant,
}

/// The newest report of slow ranks of each group.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowRanksReports(HashMap<CompactString, ReceivedReport>);

impl SlowRanksReports {
    /// Stores a report; returns whether it is newer than the stored one.
    ///
    /// A decider that was replaced, or a datagram that was overtaken, doesn't count.
    pub(crate) fn apply(&mut self, now: Instant, report: SlowRanks) -> bool {
        let order = |report: &SlowRanks| (report.fence, report.number);
        let known = self.0.get(&report.group);
        if known.is_some_and(|known| order(&known.report) >= order(&report)) {
            return false;
        }
        let received_at = now;
        let group = report.group.clone();
        self.0.insert(
            group,
            ReceivedReport {
                report,
                received_at,
            },
        );
        true
    }

    /// Returns the reports that have expired since the last call, without their slow
    /// ranks.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<SlowRanks> {
        let mut expired = Vec::new();
        for known in self.0.values_mut() {
            let age = now.saturating_duration_since(known.received_at);
            if age >= REPORT_LIFETIME && !known.report.ranks.is_empty() {
                known.report.ranks.clear();
                expired.push(known.report.clone());
            }
        }
        expired
    }

    /// Returns the report of a group, if there is one.
    pub(crate) fn of_group(&self, group: &str) -> Option<&SlowRanks> {
        self.0.get(group).map(|known| &known.report)
    }
}

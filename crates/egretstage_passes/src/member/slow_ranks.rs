//! Reports the slow ranks of a group to the entries.
//!
//! Load pattern: some engines take longer than usual for seconds. All ranks wait
//! for the slowest one in each pass, so every entry needs to know at once: it
//! admits fewer streams, and places none at the slow ranks. The decider receives
//! the reports of all ranks, so it alone reports to the entries, and only while a
//! rank is slow. Its link is narrow and there may be hundreds of entries, so the
//! time between two reports grows with their number.

use super::{MemberEffect, PassMember};
use egretstage_wire::{SlowRanks, Slowdown};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Shortest time between two reports: a fraction of the time after which entries
/// ignore one.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two reports for each entry that receives them.
const REPORT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(2);

/// Reports that no rank is slow any more, because datagrams may be lost.
const FINAL_REPORTS: u32 = 3;

/// Age of the entries' addresses from which they are read again before a report:
/// entries are added and replaced.
const MAX_ADDRESS_AGE: Duration = Duration::from_secs(5);

/// Time between two reads of the entries' addresses that fail.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The addresses of the entries, and what was reported to them.
#[derive(Clone, Debug)]
pub(super) struct SlowRankReports {
    entries: Vec<SocketAddr>,
    /// When the entries' addresses may be read again.
    next_read: Instant,
    reading: bool,
    /// Reports sent by this start of the companion.
    reports_sent: u64,
    next_report: Instant,
    last_reported: SmallVec<[(SocketAddr, Slowdown); 4]>,
    /// Reports that are still due after the last change.
    reports_due: u32,
}

impl SlowRankReports {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            entries: Vec::new(),
            next_read: now,
            reading: false,
            reports_sent: 0,
            next_report: now,
            last_reported: SmallVec::new(),
            reports_due: 0,
        }
    }

    fn interval(&self) -> Duration {
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        REPORT_INTERVAL.max(REPORT_INTERVAL_PER_ENTRY.saturating_mul(entries))
    }
}

impl PassMember {
    /// Stores the addresses of the entries; keeps the known ones if they couldn't be
    /// read.
    pub(super) fn entries_read(&mut self, now: Instant, entries: Option<Vec<SocketAddr>>) {
        let reports = &mut self.slow_rank_reports;
        reports.reading = false;
        if let Some(entries) = entries {
            reports.entries = entries;
            reports.next_read = now + MAX_ADDRESS_AGE;
        } else {
            reports.next_read = now + READ_RETRY_INTERVAL;
        }
    }

    /// Sends the decider's report of slow ranks to the entries if it is due.
    pub(super) fn report_slow_ranks(&mut self, now: Instant, fx: &mut Vec<MemberEffect>) {
        let (Some(decider), Some(report)) = (&self.decider, &self.report) else {
            return;
        };
        let reports = &mut self.slow_rank_reports;
        let slow = decider.slow_ranks();
        let is_changed = slow != reports.last_reported;
        if is_changed || !slow.is_empty() {
            reports.reports_due = FINAL_REPORTS;
        }
        // The first read prepares for a time at which the store doesn't answer.
        let are_addresses_needed = reports.reports_due > 0 || reports.entries.is_empty();
        if are_addresses_needed && !reports.reading && now >= reports.next_read {
            reports.reading = true;
            fx.push(MemberEffect::ReadEntries);
        }
        if reports.reports_due == 0 || (now < reports.next_report && !is_changed) {
            return;
        }
        reports.next_report = now + reports.interval();
        reports.reports_due -= 1;
        reports.reports_sent += 1;
        reports.last_reported.clone_from(&slow);
        let message = SlowRanks {
            group: report.group.clone(),
            fence: decider.fence(),
            number: reports.reports_sent,
            ranks: slow,
        };
        let entries = reports.entries.iter();
        fx.extend(entries.map(|entry| MemberEffect::TellEntry(*entry, Box::new(message.clone()))));
    }
}

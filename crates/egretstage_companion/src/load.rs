//! Measures the load of the upstream and reports it to entries.

use crate::runs::{Run, RunState, Runs};
use egretstage_link::LinkId;
use egretstage_routing::{AdmissionRefusal, UpstreamMeter, admit, expected_cost_us};
use egretstage_wire::{CallStart, LoadReport};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Minimum time between two load reports on a link, if there are few links.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Number of links up to which reports are sent at the minimum interval.
const LINKS_AT_MIN_INTERVAL: usize = 6;

/// Maximum factor by which the interval grows with the number of links.
const MAX_INTERVAL_FACTOR: f64 = 4.0;

/// Returns the time between two load reports on a link.
///
/// The interval grows with the number of links: a companion with many links is
/// part of a large fleet, in which each entry has many links as well, so this
/// bounds the rate of reports that an entry receives.
#[expect(clippy::cast_precision_loss, reason = "a companion has few links")]
fn report_interval(links: usize) -> Duration {
    let factor = links as f64 / LINKS_AT_MIN_INTERVAL as f64;
    MIN_REPORT_INTERVAL.mul_f64(factor.clamp(1.0, MAX_INTERVAL_FACTOR))
}

/// Load of one link.
#[derive(Clone, Copy, Debug, Default)]
struct LinkLoad {
    /// Calls of the link that wait or run.
    held_calls: u32,
    last_report: Option<LoadReport>,
}

/// Measures the upstream and schedules the load reports to the links.
#[derive(Debug, Default)]
pub(crate) struct LoadMeter {
    meter: UpstreamMeter,
    links: BTreeMap<LinkId, LinkLoad>,
    /// Prompt tokens of the calls whose answers haven't begun.
    pending_prefill_tokens: u64,
    next_report_at: Option<Instant>,
}

impl LoadMeter {
    pub(crate) fn link_up(&mut self, now: Instant, link: LinkId) {
        self.links.insert(link, LinkLoad::default());
        self.next_report_at = Some(now);
    }

    pub(crate) fn link_down(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Returns the expected cost of a call: the time that it occupies a slot, in
    /// microseconds.
    pub(crate) fn expected_cost_us(&self, start: &CallStart) -> u64 {
        expected_cost_us(&self.meter, &start.work)
    }

    /// Decides whether a call is admitted.
    ///
    /// # Errors
    ///
    /// Returns the reason and the retry time if the call can't finish in time.
    pub(crate) fn admit(
        &self,
        runs: &Runs,
        slots: u32,
        start: &CallStart,
        budget: Duration,
    ) -> Result<(), AdmissionRefusal> {
        let running = u32::try_from(runs.running()).unwrap_or(u32::MAX);
        let free_slots = slots.saturating_sub(running);
        let flow = crate::runs::flow(start);
        admit(
            runs.queue(),
            &flow,
            slots,
            free_slots,
            self.expected_cost_us(start),
            budget,
        )
    }

    /// Records that a call enters the queue.
    pub(crate) fn record_accepted(&mut self, now: Instant, run: &Run) {
        self.pending_prefill_tokens += u64::from(run.start.work.prefill_tokens);
        if let Some(link) = self.links.get_mut(&run.link) {
            link.held_calls += 1;
        }
        self.schedule_report(now);
    }

    /// Records that a call leaves the queue for the upstream.
    pub(crate) fn record_start(&mut self, now: Instant) {
        self.meter.record_start(now);
        self.schedule_report(now);
    }

    /// Records the arrival of answer bytes.
    pub(crate) fn record_bytes(&mut self, now: Instant, run: &mut Run) {
        let work = run.start.work;
        match run.last_bytes_at.replace(now) {
            None => {
                self.pending_prefill_tokens -= u64::from(work.prefill_tokens);
                self.meter.record_first_token(now, work.prefill_tokens);
                self.schedule_report(now);
            }
            Some(last) if work.output_tokens > 0 => {
                self.meter
                    .record_token_interval(now.saturating_duration_since(last));
            }
            Some(_) => {}
        }
    }

    /// Records that a call no longer waits or runs; `completed` means that its
    /// answer is complete, so that its service time counts.
    pub(crate) fn record_removal(&mut self, now: Instant, run: &Run, completed: bool) {
        if run.last_bytes_at.is_none() {
            self.pending_prefill_tokens -= u64::from(run.start.work.prefill_tokens);
            if run.state != RunState::Waiting {
                self.meter.record_first_token(now, 0);
            }
        }
        if let (true, Some(started_at)) = (completed, run.started_at) {
            self.meter
                .record_service_time(now.saturating_duration_since(started_at));
        }
        if let Some(link) = self.links.get_mut(&run.link) {
            link.held_calls = link.held_calls.saturating_sub(1);
        }
        self.schedule_report(now);
    }

    /// Schedules a report for now unless one is scheduled already.
    fn schedule_report(&mut self, now: Instant) {
        self.next_report_at.get_or_insert(now);
    }

    /// Returns the reports that are due, one for each link whose report has
    /// changed.
    pub(crate) fn take_due_reports(
        &mut self,
        now: Instant,
        received: impl Iterator<Item = (LinkId, u64)>,
        runs: &Runs,
        slots: u32,
    ) -> Vec<(LinkId, LoadReport)> {
        if self.next_report_at.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let load = self.report(runs, slots);
        let mut reports = Vec::new();
        for (key, received_from_peer) in received {
            let Some(link) = self.links.get_mut(&key) else {
                continue;
            };
            let report = LoadReport {
                received_from_peer,
                held_from_peer: link.held_calls,
                ..load
            };
            if link.last_report != Some(report) {
                link.last_report = Some(report);
                reports.push((key, report));
            }
        }
        self.next_report_at =
            (!reports.is_empty()).then(|| now + report_interval(self.links.len()));
        reports
    }

    pub(crate) fn next_report_due(&self) -> Option<Instant> {
        self.next_report_at.filter(|_| !self.links.is_empty())
    }

    /// Returns the current load, without the counts of a link.
    pub(crate) fn report(&self, runs: &Runs, slots: u32) -> LoadReport {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        LoadReport {
            running: count(runs.running()),
            waiting: count(runs.waiting()),
            slots,
            waiting_prompt_tokens: self.pending_prefill_tokens,
            prefill_tokens_per_s: self.meter.prefill_tokens_per_s(),
            token_interval_ms: self.meter.token_interval_ms(),
            service_ms: self.meter.service_ms(),
            ..LoadReport::default()
        }
    }
}

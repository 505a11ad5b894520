//! What a companion measures of its upstream and reports to entries.

use crate::runs::{Run, RunState, Runs};
use egretstage_link::LinkKey;
use egretstage_routing::{AdmissionRefusal, UpstreamMeter, admit, expected_cost_us};
use egretstage_wire::{CallStart, LoadReport};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Shortest time between two load reports on a link, with few links.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Links up to which reports are sent at their shortest interval.
const LINKS_AT_SHORTEST_INTERVAL: usize = 6;

/// How many times longer the interval grows with the links, at most.
const MAX_INTERVAL_FACTOR: f64 = 4.0;

/// Returns the time between two load reports on a link.
///
/// A companion with many links stands in a large fleet, where an entry has
/// many links too: what an entry takes in stays within its bounds.
#[expect(clippy::cast_precision_loss, reason = "a companion has few links")]
fn report_interval(links: usize) -> Duration {
    let factor = links as f64 / LINKS_AT_SHORTEST_INTERVAL as f64;
    REPORT_INTERVAL.mul_f64(factor.clamp(1.0, MAX_INTERVAL_FACTOR))
}

/// What a companion has seen of a link.
#[derive(Clone, Copy, Debug, Default)]
struct LinkLoad {
    held: u32,
    reported: Option<LoadReport>,
}

/// Measures the upstream and decides when the links hear of it.
#[derive(Debug, Default)]
pub(crate) struct LoadMeter {
    meter: UpstreamMeter,
    links: BTreeMap<LinkKey, LinkLoad>,
    unstarted_tokens: u64,
    next_report: Option<Instant>,
}

impl LoadMeter {
    pub(crate) fn link_up(&mut self, now: Instant, link: LinkKey) {
        self.links.insert(link, LinkLoad::default());
        self.next_report = Some(now);
    }

    pub(crate) fn link_down(&mut self, link: LinkKey) {
        self.links.remove(&link);
    }

    /// Returns the expected cost of a call, in microseconds of a slot.
    pub(crate) fn cost(&self, start: &CallStart) -> u64 {
        expected_cost_us(&self.meter, &start.work)
    }

    /// Decides whether a call is taken.
    pub(crate) fn admit(
        &self,
        runs: &Runs,
        slots: u32,
        start: &CallStart,
        budget: Duration,
    ) -> Result<(), AdmissionRefusal> {
        let running = u32::try_from(runs.running()).unwrap_or(u32::MAX);
        let free = slots.saturating_sub(running);
        let flow = crate::runs::flow(start);
        admit(runs.queue(), &flow, slots, free, self.cost(start), budget)
    }

    /// Counts a call that is taken into the queue.
    pub(crate) fn taken(&mut self, now: Instant, run: &Run) {
        self.unstarted_tokens += u64::from(run.start.work.prefill_tokens);
        if let Some(link) = self.links.get_mut(&run.link) {
            link.held += 1;
        }
        self.changed(now);
    }

    /// Notes that a call is handed to the upstream.
    pub(crate) fn started(&mut self, now: Instant) {
        self.meter.record_start(now);
        self.changed(now);
    }

    /// Notes bytes of an answer.
    pub(crate) fn bytes(&mut self, now: Instant, run: &mut Run) {
        let work = run.start.work;
        match run.last_bytes.replace(now) {
            None => {
                self.unstarted_tokens -= u64::from(work.prefill_tokens);
                self.meter.record_first_token(now, work.prefill_tokens);
                self.changed(now);
            }
            Some(last) if work.output_tokens > 0 => {
                self.meter
                    .record_token_interval(now.saturating_duration_since(last));
            }
            Some(_) => {}
        }
    }

    /// Counts a call that is held no more.
    pub(crate) fn removed(&mut self, now: Instant, run: &Run, whole: bool) {
        if run.last_bytes.is_none() {
            self.unstarted_tokens -= u64::from(run.start.work.prefill_tokens);
            if run.state != RunState::Waiting {
                self.meter.record_first_token(now, 0);
            }
        }
        if let (true, Some(started)) = (whole, run.started) {
            self.meter
                .record_service_time(now.saturating_duration_since(started));
        }
        if let Some(link) = self.links.get_mut(&run.link) {
            link.held = link.held.saturating_sub(1);
        }
        self.changed(now);
    }

    /// Makes a report due, unless one is.
    fn changed(&mut self, now: Instant) {
        self.next_report.get_or_insert(now);
    }

    /// Returns the reports that are due, one for each link with news.
    pub(crate) fn reports(
        &mut self,
        now: Instant,
        received: impl Iterator<Item = (LinkKey, u64)>,
        runs: &Runs,
        slots: u32,
    ) -> Vec<(LinkKey, LoadReport)> {
        if self.next_report.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let load = self.load(runs, slots);
        let mut reports = Vec::new();
        for (key, received_from_peer) in received {
            let Some(link) = self.links.get_mut(&key) else {
                continue;
            };
            let report = LoadReport {
                received_from_peer,
                held_from_peer: link.held,
                ..load
            };
            if link.reported != Some(report) {
                link.reported = Some(report);
                reports.push((key, report));
            }
        }
        self.next_report = (!reports.is_empty()).then(|| now + report_interval(self.links.len()));
        reports
    }

    pub(crate) fn next_report(&self) -> Option<Instant> {
        self.next_report.filter(|_| !self.links.is_empty())
    }

    pub(crate) fn load(&self, runs: &Runs, slots: u32) -> LoadReport {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        LoadReport {
            running: count(runs.running()),
            waiting: count(runs.waiting()),
            slots,
            waiting_prompt_tokens: self.unstarted_tokens,
            prefill_tokens_per_s: self.meter.prefill_tokens_per_s(),
            token_interval_ms: self.meter.token_interval_ms(),
            service_ms: self.meter.service_ms(),
            ..LoadReport::default()
        }
    }
}

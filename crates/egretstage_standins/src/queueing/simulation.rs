//! The loop that drives a run.

use super::call::{CallId, SentTo, SimCall};
use super::entry::SimEntry;
use super::event_queue::{Attempt, Event, EventQueue};
use super::metrics::RunMetrics;
use super::options::{Mechanisms, Scenario};
use super::outcome::Outcome;
use super::upstream::{SimUpstream, zone_of};
use super::workload::Workload;
use egretstage_routing::{CallResult, Choice};
use egretstage_wire::NotRunReason;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Time between two reports of a upstream.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

pub(crate) struct Simulation {
    pub(super) scenario: Scenario,
    pub(super) mechanisms: Mechanisms,
    pub(super) start: Instant,
    pub(super) events: EventQueue,
    pub(super) workload: Workload,
    pub(super) rng: ChaCha8Rng,
    pub(super) upstreams: Vec<SimUpstream>,
    pub(super) entries: Vec<SimEntry>,
    pub(super) calls: Vec<SimCall>,
    pub(super) metrics: RunMetrics,
}

/// Runs a scenario to its end and returns its metrics.
#[must_use]
pub fn simulate(scenario: &Scenario, mechanisms: Mechanisms) -> RunMetrics {
    let mut simulation = Simulation::new(scenario, mechanisms);
    while let Some((now, event)) = simulation.events.next() {
        simulation.happens(now, event);
    }
    simulation.metrics.seal();
    simulation.metrics
}

impl Simulation {
    fn new(scenario: &Scenario, mechanisms: Mechanisms) -> Self {
        let start = Instant::now();
        let site = &scenario.site;
        let zones: Vec<usize> = (0..site.upstreams)
            .map(|i| zone_of(i, site.zones))
            .collect();
        let upstreams = zones
            .iter()
            .map(|zone| SimUpstream::new(site, *zone, start));
        let entries = (0..site.entries).map(|i| {
            let zone = zone_of(i, site.zones);
            SimEntry::new(
                site,
                zone,
                zones.clone(),
                mechanisms,
                scenario.seed + i as u64,
            )
        });
        let mut simulation = Self {
            upstreams: upstreams.collect(),
            entries: entries.collect(),
            workload: Workload::new(site.clone(), scenario.load, scenario.seed),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ 1),
            events: EventQueue::default(),
            calls: Vec::new(),
            metrics: RunMetrics {
                counted: scenario.duration.saturating_sub(scenario.warm_up),
                ..RunMetrics::default()
            },
            scenario: scenario.clone(),
            mechanisms,
            start,
        };
        simulation.prepare();
        simulation
    }

    fn prepare(&mut self) {
        self.events.add(self.start, Event::Arrival);
        for upstream in 0..self.upstreams.len() {
            let phase = REPORT_INTERVAL * u32::try_from(upstream).unwrap_or(0);
            let phase = phase / u32::try_from(self.upstreams.len()).unwrap_or(1);
            self.events
                .add(self.start + phase, Event::ReportDue(upstream));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.events.add(self.start + fault.at, Event::Fault(index));
        }
    }

    fn happens(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrival => self.arrival(now),
            Event::AskAgain(call) => {
                self.calls[call].ask_again(now);
                self.asked(now, call);
            }
            Event::Delivered { attempt, upstream } => self.delivered(now, attempt, upstream),
            Event::GivenUp { attempt, upstream } => self.given_up(now, attempt, upstream),
            Event::FirstToken { attempt, upstream } => self.first_token(now, attempt, upstream),
            Event::Finished { attempt, upstream } => self.finished(now, attempt, upstream),
            Event::Cancelled { attempt, upstream } => self.cancelled(now, attempt, upstream),
            Event::Refused {
                attempt,
                reason,
                retry_after,
            } => self.refused(now, attempt, reason, retry_after),
            Event::FirstHeard(attempt) => self.first_heard(now, attempt),
            Event::FinishHeard(attempt) => self.finish_heard(now, attempt),
            Event::Expired(call) => self.expired(now, call),
            Event::ReportDue(upstream) => self.report(now, upstream),
            Event::Reported {
                entry,
                upstream,
                load,
            } => {
                if self.entries[entry].linked[upstream] {
                    self.entries[entry].trackers[upstream].record_report(now, load);
                }
            }
            Event::CacheHeard {
                upstream,
                stored,
                evicted,
            } => {
                for entry in &mut self.entries {
                    let cache = entry.trackers[upstream].cache_mut();
                    for block in &stored {
                        cache.touch(*block);
                    }
                    for block in &evicted {
                        cache.remove(*block);
                    }
                }
            }
            Event::Fault(index) => self.fault(now, self.scenario.faults[index].fault),
            Event::LinksDown(upstream) => self.links_down(now, upstream),
            Event::LinksUp(upstream) => {
                for entry in &mut self.entries {
                    entry.linked[upstream] = true;
                    entry.trackers[upstream].reset_link();
                }
            }
        }
    }

    fn arrival(&mut self, now: Instant) {
        if now - self.start > self.scenario.duration {
            return;
        }
        let req = self.workload.request();
        let entry = self.workload.entry();
        let call = self.calls.len();
        self.calls.push(SimCall::new(req, entry, now));
        self.asked(now, call);
        let pause = self.workload.pause();
        self.events.add(now + pause, Event::Arrival);
    }

    fn asked(&mut self, now: Instant, call: CallId) {
        let deadline = self.calls[call].deadline;
        self.events.add(deadline, Event::Expired(call));
        self.entries[self.calls[call].entry].requested();
        self.route(now, call);
    }

    /// Sends a call to a upstream, or refuses it.
    fn route(&mut self, now: Instant, id: CallId) {
        let call = &mut self.calls[id];
        let entry = &mut self.entries[call.entry];
        let route = match entry.route(now, &call.req, call.deadline) {
            Ok(route) => route,
            Err(Choice::Refuse { retry_after, .. }) => {
                self.close(now, id, Outcome::Refused(retry_after));
                return;
            }
            Err(Choice::Send { .. }) => unreachable!("a route is no refusal"),
        };
        call.attempts += 1;
        call.sent = Some(SentTo {
            upstream: route.upstream,
            work: route.work,
            output_tokens: route.output_tokens,
        });
        if call.arrived - self.start >= self.scenario.warm_up {
            self.metrics.sends += 1;
            self.metrics.near_sends += u32::from(route.same_zone);
        }
        let attempt = Attempt {
            call: id,
            number: call.attempts,
        };
        let delay = self.delay(self.calls[id].entry, route.upstream);
        let upstream = route.upstream;
        self.events
            .add(now + delay, Event::Delivered { attempt, upstream });
    }

    pub(super) fn delay(&self, entry: usize, upstream: usize) -> Duration {
        if self.entries[entry].zone == self.upstreams[upstream].zone {
            self.scenario.site.near_delay
        } else {
            self.scenario.site.far_delay
        }
    }

    /// Returns where a call is, if the attempt is its latest and it is open.
    pub(super) fn open(&self, attempt: Attempt) -> Option<SentTo> {
        let call = &self.calls[attempt.call];
        let current = call.attempts == attempt.number && !call.closed;
        call.sent.filter(|_| current)
    }

    fn refused(
        &mut self,
        now: Instant,
        attempt: Attempt,
        reason: NotRunReason,
        retry_after: Duration,
    ) {
        let Some(sent) = self.open(attempt) else {
            return;
        };
        let call = &mut self.calls[attempt.call];
        call.sent = None;
        let again = call.attempts < call.max_attempts;
        let entry = &mut self.entries[call.entry];
        entry.ended(sent.upstream, sent.work, CallResult::Neutral);
        if reason == NotRunReason::Overloaded {
            entry.refused(now, sent.upstream, call.req.organisation, retry_after);
        }
        if reason == NotRunReason::Overloaded && again && entry.may_retry() {
            self.route(now, attempt.call);
        } else {
            self.close(now, attempt.call, Outcome::Refused(retry_after));
        }
    }

    fn first_heard(&mut self, now: Instant, attempt: Attempt) {
        if self.open(attempt).is_none() {
            return;
        }
        let call = &mut self.calls[attempt.call];
        call.first_token = Some(now);
        if let Some(sent) = &mut call.sent {
            self.entries[call.entry].trackers[sent.upstream].record_first_token(&mut sent.work);
        }
    }

    fn finish_heard(&mut self, now: Instant, attempt: Attempt) {
        let Some(sent) = self.open(attempt) else {
            return;
        };
        let call = &self.calls[attempt.call];
        let entry = &mut self.entries[call.entry];
        entry.ended(sent.upstream, sent.work, CallResult::Completed);
        entry.completed(&call.req);
        self.close(now, attempt.call, Outcome::Answered);
    }

    fn expired(&mut self, now: Instant, id: CallId) {
        let call = &self.calls[id];
        if call.closed || call.deadline > now {
            return;
        }
        let Some(sent) = call.sent else {
            return;
        };
        let attempt = Attempt {
            call: id,
            number: call.attempts,
        };
        let (entry, upstream) = (call.entry, sent.upstream);
        self.entries[entry].ended(upstream, sent.work, CallResult::Failed);
        let delay = self.delay(entry, upstream);
        self.events
            .add(now + delay, Event::Cancelled { attempt, upstream });
        self.close(now, id, Outcome::Late);
    }

    fn report(&mut self, now: Instant, upstream: usize) {
        if now - self.start > self.scenario.duration {
            return;
        }
        self.events
            .add(now + REPORT_INTERVAL, Event::ReportDue(upstream));
        if !self.upstreams[upstream].alive {
            return;
        }
        for entry in 0..self.entries.len() {
            let load = self.upstreams[upstream].report(entry);
            let event = Event::Reported {
                entry,
                upstream,
                load,
            };
            self.events.add(now + self.scenario.report_delay, event);
        }
        let (stored, evicted) = self.upstreams[upstream].take_cache_events();
        if self.rng.random::<f64>() >= self.scenario.cache_loss {
            let event = Event::CacheHeard {
                upstream,
                stored,
                evicted,
            };
            self.events.add(now + self.scenario.cache_delay, event);
        }
    }

    /// Sends a call whose answer is lost again, if that is allowed.
    pub(super) fn lost(&mut self, now: Instant, id: CallId) {
        let call = &mut self.calls[id];
        let sent = call.sent.take().expect("a lost call was sent");
        let entry = &mut self.entries[call.entry];
        entry.ended(sent.upstream, sent.work, CallResult::Failed);
        let again = self.scenario.site.repeatable
            && call.first_token.is_none()
            && call.attempts < call.max_attempts;
        if again && entry.may_retry() {
            self.route(now, id);
        } else {
            self.close(now, id, Outcome::Lost);
        }
    }
}

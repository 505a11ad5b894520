//! Event loop of a run.

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

/// Time between two load reports of an upstream.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// State of a run.
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
        simulation.handle_event(now, event);
    }
    simulation.metrics.sort_first_tokens();
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
                measured_time: scenario.duration.saturating_sub(scenario.warm_up),
                ..RunMetrics::default()
            },
            scenario: scenario.clone(),
            mechanisms,
            start,
        };
        simulation.schedule_first_events();
        simulation
    }

    /// Schedules the first arrival, the load reports and the faults.
    fn schedule_first_events(&mut self) {
        self.events.schedule(self.start, Event::Arrival);
        for upstream in 0..self.upstreams.len() {
            let phase = REPORT_INTERVAL * u32::try_from(upstream).unwrap_or(0);
            let phase = phase / u32::try_from(self.upstreams.len()).unwrap_or(1);
            self.events
                .schedule(self.start + phase, Event::ReportDue(upstream));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.events
                .schedule(self.start + fault.at, Event::Fault(index));
        }
    }

    fn handle_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(now),
            Event::CallerRetry(call) => {
                self.calls[call].retry(now);
                self.start_attempt(now, call);
            }
            Event::CallDelivered { attempt, upstream } => {
                self.handle_call_delivered(now, attempt, upstream);
            }
            Event::QueueTimeout { attempt, upstream } => {
                self.handle_queue_timeout(now, attempt, upstream);
            }
            Event::FirstToken { attempt, upstream } => {
                self.handle_first_token(now, attempt, upstream);
            }
            Event::Finished { attempt, upstream } => self.handle_finished(now, attempt, upstream),
            Event::Cancelled { attempt, upstream } => self.handle_cancelled(now, attempt, upstream),
            Event::RefusalReceived {
                attempt,
                reason,
                retry_after,
            } => self.handle_refusal(now, attempt, reason, retry_after),
            Event::FirstTokenReceived(attempt) => self.handle_first_token_received(now, attempt),
            Event::AnswerReceived(attempt) => self.handle_answer(now, attempt),
            Event::DeadlinePassed(call) => self.handle_deadline(now, call),
            Event::ReportDue(upstream) => self.send_report(now, upstream),
            Event::ReportReceived {
                entry,
                upstream,
                load,
            } => {
                if self.entries[entry].has_link[upstream] {
                    self.entries[entry].trackers[upstream].record_report(now, load);
                }
            }
            Event::CacheEventsReceived {
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
            Event::Fault(index) => self.handle_fault(now, self.scenario.faults[index].fault),
            Event::LinksDown(upstream) => self.handle_links_down(now, upstream),
            Event::LinksUp(upstream) => {
                for entry in &mut self.entries {
                    entry.has_link[upstream] = true;
                    entry.trackers[upstream].reset_link();
                }
            }
        }
    }

    fn handle_arrival(&mut self, now: Instant) {
        if now - self.start > self.scenario.duration {
            return;
        }
        let req = self.workload.next_request();
        let entry = self.workload.pick_entry();
        let call = self.calls.len();
        self.calls.push(SimCall::new(req, entry, now));
        self.start_attempt(now, call);
        let interval = self.workload.next_interval();
        self.events.schedule(now + interval, Event::Arrival);
    }

    /// Starts an attempt of the caller: schedules its deadline and routes the call.
    fn start_attempt(&mut self, now: Instant, call: CallId) {
        let deadline = self.calls[call].deadline;
        self.events.schedule(deadline, Event::DeadlinePassed(call));
        self.entries[self.calls[call].entry].record_request();
        self.route(now, call);
    }

    /// Sends a call to an upstream, or refuses it.
    fn route(&mut self, now: Instant, id: CallId) {
        let call = &mut self.calls[id];
        let entry = &mut self.entries[call.entry];
        let route = match entry.route(now, &call.req, call.deadline) {
            Ok(route) => route,
            Err(Choice::Refuse { retry_after, .. }) => {
                self.close(now, id, Outcome::Refused(retry_after));
                return;
            }
            Err(Choice::Send { .. }) => unreachable!("the entry returns only refusals as errors"),
        };
        call.attempts += 1;
        call.sent = Some(SentTo {
            upstream: route.upstream,
            in_flight: route.in_flight,
            output_tokens: route.output_tokens,
        });
        if call.arrived - self.start >= self.scenario.warm_up {
            self.metrics.sends += 1;
            self.metrics.same_zone_sends += u32::from(route.same_zone);
        }
        let attempt = Attempt {
            call: id,
            number: call.attempts,
        };
        let message_delay = self.message_delay(self.calls[id].entry, route.upstream);
        let upstream = route.upstream;
        self.events.schedule(
            now + message_delay,
            Event::CallDelivered { attempt, upstream },
        );
    }

    /// Returns the delay of a message between an entry and an upstream.
    pub(super) fn message_delay(&self, entry: usize, upstream: usize) -> Duration {
        if self.entries[entry].zone == self.upstreams[upstream].zone {
            self.scenario.site.same_zone_delay
        } else {
            self.scenario.site.cross_zone_delay
        }
    }

    /// Returns the send of an attempt, if it is the latest one of its call and the
    /// call is still open.
    pub(super) fn current_send(&self, attempt: Attempt) -> Option<SentTo> {
        let call = &self.calls[attempt.call];
        let current = call.attempts == attempt.number && !call.closed;
        call.sent.filter(|_| current)
    }

    fn handle_refusal(
        &mut self,
        now: Instant,
        attempt: Attempt,
        reason: NotRunReason,
        retry_after: Duration,
    ) {
        let Some(sent) = self.current_send(attempt) else {
            return;
        };
        let call = &mut self.calls[attempt.call];
        call.sent = None;
        let may_send_again = call.attempts < call.max_attempts;
        let entry = &mut self.entries[call.entry];
        entry.record_end(sent.upstream, sent.in_flight, CallResult::Neutral);
        if reason == NotRunReason::Overloaded {
            entry.record_refusal(now, sent.upstream, call.req.organisation, retry_after);
        }
        if reason == NotRunReason::Overloaded && may_send_again && entry.try_take_retry() {
            self.route(now, attempt.call);
        } else {
            self.close(now, attempt.call, Outcome::Refused(retry_after));
        }
    }

    fn handle_first_token_received(&mut self, now: Instant, attempt: Attempt) {
        if self.current_send(attempt).is_none() {
            return;
        }
        let call = &mut self.calls[attempt.call];
        call.first_token = Some(now);
        if let Some(sent) = &mut call.sent {
            self.entries[call.entry].trackers[sent.upstream]
                .record_first_token(&mut sent.in_flight);
        }
    }

    fn handle_answer(&mut self, now: Instant, attempt: Attempt) {
        let Some(sent) = self.current_send(attempt) else {
            return;
        };
        let call = &self.calls[attempt.call];
        let entry = &mut self.entries[call.entry];
        entry.record_end(sent.upstream, sent.in_flight, CallResult::Completed);
        entry.record_completed(&call.req);
        self.close(now, attempt.call, Outcome::Answered);
    }

    fn handle_deadline(&mut self, now: Instant, id: CallId) {
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
        self.entries[entry].record_end(upstream, sent.in_flight, CallResult::Failed);
        let message_delay = self.message_delay(entry, upstream);
        self.events
            .schedule(now + message_delay, Event::Cancelled { attempt, upstream });
        self.close(now, id, Outcome::Late);
    }

    fn send_report(&mut self, now: Instant, upstream: usize) {
        if now - self.start > self.scenario.duration {
            return;
        }
        self.events
            .schedule(now + REPORT_INTERVAL, Event::ReportDue(upstream));
        if !self.upstreams[upstream].alive {
            return;
        }
        for entry in 0..self.entries.len() {
            let load = self.upstreams[upstream].load_report(entry);
            let event = Event::ReportReceived {
                entry,
                upstream,
                load,
            };
            self.events
                .schedule(now + self.scenario.report_delay, event);
        }
        let (stored, evicted) = self.upstreams[upstream].take_cache_events();
        if self.rng.random::<f64>() >= self.scenario.cache_loss {
            let event = Event::CacheEventsReceived {
                upstream,
                stored,
                evicted,
            };
            self.events.schedule(now + self.scenario.cache_delay, event);
        }
    }

    /// Handles the loss of an answer: sends the call again, if that is allowed.
    pub(super) fn handle_lost_answer(&mut self, now: Instant, id: CallId) {
        let call = &mut self.calls[id];
        let sent = call.sent.take().expect("a lost call was sent");
        let entry = &mut self.entries[call.entry];
        entry.record_end(sent.upstream, sent.in_flight, CallResult::Failed);
        let may_send_again = self.scenario.site.repeatable
            && call.first_token.is_none()
            && call.attempts < call.max_attempts;
        if may_send_again && entry.try_take_retry() {
            self.route(now, id);
        } else {
            self.close(now, id, Outcome::Lost);
        }
    }
}

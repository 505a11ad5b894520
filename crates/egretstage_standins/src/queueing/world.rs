//! The loop that drives a run.

use super::agenda::{Agenda, Attempt, Event};
use super::call::{CallId, SentTo, SimCall};
use super::ending::Ending;
use super::entry::SimEntry;
use super::figures::Figures;
use super::options::{Mechanisms, Scenario};
use super::runner::{SimRunner, zone_of};
use super::workload::Workload;
use egretstage_routing::{CallResult, Choice};
use egretstage_wire::NotRunReason;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Time between two reports of a runner.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

pub(crate) struct World {
    pub(super) scenario: Scenario,
    pub(super) mechanisms: Mechanisms,
    pub(super) start: Instant,
    pub(super) agenda: Agenda,
    pub(super) workload: Workload,
    pub(super) rng: ChaCha8Rng,
    pub(super) runners: Vec<SimRunner>,
    pub(super) entries: Vec<SimEntry>,
    pub(super) calls: Vec<SimCall>,
    pub(super) figures: Figures,
}

/// Runs a scenario to its end and returns its figures.
#[must_use]
pub fn simulate(scenario: &Scenario, mechanisms: Mechanisms) -> Figures {
    let mut world = World::new(scenario, mechanisms);
    while let Some((now, event)) = world.agenda.next() {
        world.happens(now, event);
    }
    world.figures.seal();
    world.figures
}

impl World {
    fn new(scenario: &Scenario, mechanisms: Mechanisms) -> Self {
        let start = Instant::now();
        let site = &scenario.site;
        let zones: Vec<usize> = (0..site.runners).map(|i| zone_of(i, site.zones)).collect();
        let runners = zones.iter().map(|zone| SimRunner::new(site, *zone, start));
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
        let mut world = Self {
            runners: runners.collect(),
            entries: entries.collect(),
            workload: Workload::new(site.clone(), scenario.load, scenario.seed),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ 1),
            agenda: Agenda::default(),
            calls: Vec::new(),
            figures: Figures {
                counted: scenario.duration.saturating_sub(scenario.warm_up),
                ..Figures::default()
            },
            scenario: scenario.clone(),
            mechanisms,
            start,
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        self.agenda.add(self.start, Event::Arrival);
        for runner in 0..self.runners.len() {
            let phase = REPORT_INTERVAL * u32::try_from(runner).unwrap_or(0);
            let phase = phase / u32::try_from(self.runners.len()).unwrap_or(1);
            self.agenda
                .add(self.start + phase, Event::ReportDue(runner));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.agenda.add(self.start + fault.at, Event::Fault(index));
        }
    }

    fn happens(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrival => self.arrival(now),
            Event::AskAgain(call) => {
                self.calls[call].ask_again(now);
                self.asked(now, call);
            }
            Event::Delivered { attempt, runner } => self.delivered(now, attempt, runner),
            Event::GivenUp { attempt, runner } => self.given_up(now, attempt, runner),
            Event::FirstToken { attempt, runner } => self.first_token(now, attempt, runner),
            Event::Finished { attempt, runner } => self.finished(now, attempt, runner),
            Event::Cancelled { attempt, runner } => self.cancelled(now, attempt, runner),
            Event::Refused {
                attempt,
                reason,
                retry_after,
            } => self.refused(now, attempt, reason, retry_after),
            Event::FirstHeard(attempt) => self.first_heard(now, attempt),
            Event::FinishHeard(attempt) => self.finish_heard(now, attempt),
            Event::Expired(call) => self.expired(now, call),
            Event::ReportDue(runner) => self.report(now, runner),
            Event::Reported {
                entry,
                runner,
                load,
            } => {
                if self.entries[entry].linked[runner] {
                    self.entries[entry].trackers[runner].record_report(now, load);
                }
            }
            Event::CacheHeard {
                runner,
                stored,
                evicted,
            } => {
                for entry in &mut self.entries {
                    let cache = entry.trackers[runner].cache_mut();
                    for block in &stored {
                        cache.touch(*block);
                    }
                    for block in &evicted {
                        cache.remove(*block);
                    }
                }
            }
            Event::Fault(index) => self.fault(now, self.scenario.faults[index].fault),
            Event::LinksDown(runner) => self.links_down(now, runner),
            Event::LinksUp(runner) => {
                for entry in &mut self.entries {
                    entry.linked[runner] = true;
                    entry.trackers[runner].reset_link();
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
        self.agenda.add(now + pause, Event::Arrival);
    }

    fn asked(&mut self, now: Instant, call: CallId) {
        let deadline = self.calls[call].deadline;
        self.agenda.add(deadline, Event::Expired(call));
        self.entries[self.calls[call].entry].requested();
        self.route(now, call);
    }

    /// Sends a call to a runner, or refuses it.
    fn route(&mut self, now: Instant, id: CallId) {
        let call = &mut self.calls[id];
        let entry = &mut self.entries[call.entry];
        let route = match entry.route(now, &call.req, call.deadline) {
            Ok(route) => route,
            Err(Choice::Refuse { retry_after, .. }) => {
                self.close(now, id, Ending::Refused(retry_after));
                return;
            }
            Err(Choice::Send { .. }) => unreachable!("a route is no refusal"),
        };
        call.attempts += 1;
        call.sent = Some(SentTo {
            runner: route.runner,
            work: route.work,
            output_tokens: route.output_tokens,
        });
        if call.arrived - self.start >= self.scenario.warm_up {
            self.figures.sends += 1;
            self.figures.near_sends += u32::from(route.same_zone);
        }
        let attempt = Attempt {
            call: id,
            number: call.attempts,
        };
        let delay = self.delay(self.calls[id].entry, route.runner);
        let runner = route.runner;
        self.agenda
            .add(now + delay, Event::Delivered { attempt, runner });
    }

    pub(super) fn delay(&self, entry: usize, runner: usize) -> Duration {
        if self.entries[entry].zone == self.runners[runner].zone {
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
        entry.ended(sent.runner, sent.work, CallResult::Neutral);
        if reason == NotRunReason::Overloaded {
            entry.refused(now, sent.runner, call.req.organisation, retry_after);
        }
        if reason == NotRunReason::Overloaded && again && entry.may_retry() {
            self.route(now, attempt.call);
        } else {
            self.close(now, attempt.call, Ending::Refused(retry_after));
        }
    }

    fn first_heard(&mut self, now: Instant, attempt: Attempt) {
        if self.open(attempt).is_none() {
            return;
        }
        let call = &mut self.calls[attempt.call];
        call.first_token = Some(now);
        if let Some(sent) = &mut call.sent {
            self.entries[call.entry].trackers[sent.runner].record_first_token(&mut sent.work);
        }
    }

    fn finish_heard(&mut self, now: Instant, attempt: Attempt) {
        let Some(sent) = self.open(attempt) else {
            return;
        };
        let call = &self.calls[attempt.call];
        let entry = &mut self.entries[call.entry];
        entry.ended(sent.runner, sent.work, CallResult::Completed);
        entry.completed(&call.req);
        self.close(now, attempt.call, Ending::Answered);
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
        let (entry, runner) = (call.entry, sent.runner);
        self.entries[entry].ended(runner, sent.work, CallResult::Failed);
        let delay = self.delay(entry, runner);
        self.agenda
            .add(now + delay, Event::Cancelled { attempt, runner });
        self.close(now, id, Ending::Late);
    }

    fn report(&mut self, now: Instant, runner: usize) {
        if now - self.start > self.scenario.duration {
            return;
        }
        self.agenda
            .add(now + REPORT_INTERVAL, Event::ReportDue(runner));
        if !self.runners[runner].alive {
            return;
        }
        for entry in 0..self.entries.len() {
            let load = self.runners[runner].report(entry);
            let event = Event::Reported {
                entry,
                runner,
                load,
            };
            self.agenda.add(now + self.scenario.report_delay, event);
        }
        let (stored, evicted) = self.runners[runner].take_cache_events();
        if self.rng.random::<f64>() >= self.scenario.cache_loss {
            let event = Event::CacheHeard {
                runner,
                stored,
                evicted,
            };
            self.agenda.add(now + self.scenario.cache_delay, event);
        }
    }

    /// Sends a call whose answer is lost again, if that is allowed.
    pub(super) fn lost(&mut self, now: Instant, id: CallId) {
        let call = &mut self.calls[id];
        let sent = call.sent.take().expect("a lost call was sent");
        let entry = &mut self.entries[call.entry];
        entry.ended(sent.runner, sent.work, CallResult::Failed);
        let again = self.scenario.site.repeatable
            && call.first_token.is_none()
            && call.attempts < call.max_attempts;
        if again && entry.may_retry() {
            self.route(now, id);
        } else {
            self.close(now, id, Ending::Lost);
        }
    }
}

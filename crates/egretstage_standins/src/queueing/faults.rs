//! Faults of a run.

use super::call::{CallId, SimCall};
use super::event_queue::Event;
use super::options::Fault;
use super::simulation::Simulation;
use std::time::{Duration, Instant};

/// Time until the end of a link to a dead process is noticed.
const DEATH_NOTICE: Duration = Duration::from_secs(1);

impl Simulation {
    pub(super) fn fault(&mut self, now: Instant, fault: Fault) {
        match fault {
            Fault::SlowUpstream { upstream, factor } => self.upstreams[upstream].slow = factor,
            Fault::UpstreamFailure { upstream } => self.dies(now, upstream),
            Fault::ZoneOutage { zone } => {
                for upstream in 0..self.upstreams.len() {
                    if self.upstreams[upstream].zone == zone {
                        self.dies(now, upstream);
                    }
                }
            }
            Fault::FullOutage => {
                (0..self.upstreams.len()).for_each(|upstream| self.dies(now, upstream))
            }
            Fault::FullRecovery => {
                for upstream in 0..self.upstreams.len() {
                    self.upstreams[upstream].alive = true;
                    self.events.add(now, Event::LinksUp(upstream));
                }
            }
        }
    }

    fn dies(&mut self, now: Instant, upstream: usize) {
        for held in self.upstreams[upstream].die(now) {
            self.waste(now, &held);
        }
        self.events
            .add(now + DEATH_NOTICE, Event::LinksDown(upstream));
    }

    pub(super) fn links_down(&mut self, now: Instant, upstream: usize) {
        for entry in &mut self.entries {
            entry.linked[upstream] = false;
        }
        let there = |call: &SimCall| {
            !call.closed && call.sent.is_some_and(|sent| sent.upstream == upstream)
        };
        let lost: Vec<CallId> = (0..self.calls.len())
            .filter(|id| there(&self.calls[*id]))
            .collect();
        for id in lost {
            self.lost(now, id);
        }
    }
}

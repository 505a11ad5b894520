//! Handling of the faults of a run.

use super::call::{CallId, SimCall};
use super::event_queue::Event;
use super::options::Fault;
use super::simulation::Simulation;
use std::time::{Duration, Instant};

/// Time from the failure of a process until its links are closed.
const FAILURE_DETECTION_DELAY: Duration = Duration::from_secs(1);

impl Simulation {
    pub(super) fn handle_fault(&mut self, now: Instant, fault: Fault) {
        match fault {
            Fault::SlowUpstream { upstream, factor } => self.upstreams[upstream].slowdown = factor,
            Fault::UpstreamFailure { upstream } => self.fail_upstream(now, upstream),
            Fault::ZoneOutage { zone } => {
                for upstream in 0..self.upstreams.len() {
                    if self.upstreams[upstream].zone == zone {
                        self.fail_upstream(now, upstream);
                    }
                }
            }
            Fault::FullOutage => {
                (0..self.upstreams.len()).for_each(|upstream| self.fail_upstream(now, upstream));
            }
            Fault::FullRecovery => {
                for upstream in 0..self.upstreams.len() {
                    self.upstreams[upstream].alive = true;
                    self.events.schedule(now, Event::LinksUp(upstream));
                }
            }
        }
    }

    fn fail_upstream(&mut self, now: Instant, upstream: usize) {
        for held in self.upstreams[upstream].fail(now) {
            self.count_wasted_tokens(now, &held);
        }
        self.events
            .schedule(now + FAILURE_DETECTION_DELAY, Event::LinksDown(upstream));
    }

    pub(super) fn handle_links_down(&mut self, now: Instant, upstream: usize) {
        for entry in &mut self.entries {
            entry.has_link[upstream] = false;
        }
        let was_sent_there = |call: &SimCall| {
            !call.closed && call.sent.is_some_and(|sent| sent.upstream == upstream)
        };
        let lost: Vec<CallId> = (0..self.calls.len())
            .filter(|id| was_sent_there(&self.calls[*id]))
            .collect();
        for id in lost {
            self.handle_lost_answer(now, id);
        }
    }
}

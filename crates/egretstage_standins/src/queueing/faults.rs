//! Faults of a run.

use super::agenda::Event;
use super::call::{CallId, SimCall};
use super::options::Fault;
use super::world::World;
use std::time::{Duration, Instant};

/// Time until the end of a link to a dead process is noticed.
const DEATH_NOTICE: Duration = Duration::from_secs(1);

impl World {
    pub(super) fn fault(&mut self, now: Instant, fault: Fault) {
        match fault {
            Fault::Slow { runner, factor } => self.runners[runner].slow = factor,
            Fault::Dies { runner } => self.dies(now, runner),
            Fault::ZoneLost { zone } => {
                for runner in 0..self.runners.len() {
                    if self.runners[runner].zone == zone {
                        self.dies(now, runner);
                    }
                }
            }
            Fault::AllLost => (0..self.runners.len()).for_each(|runner| self.dies(now, runner)),
            Fault::AllBack => {
                for runner in 0..self.runners.len() {
                    self.runners[runner].alive = true;
                    self.agenda.add(now, Event::LinksUp(runner));
                }
            }
        }
    }

    fn dies(&mut self, now: Instant, runner: usize) {
        for held in self.runners[runner].die(now) {
            self.waste(now, &held);
        }
        self.agenda
            .add(now + DEATH_NOTICE, Event::LinksDown(runner));
    }

    pub(super) fn links_down(&mut self, now: Instant, runner: usize) {
        for entry in &mut self.entries {
            entry.linked[runner] = false;
        }
        let there =
            |call: &SimCall| !call.closed && call.sent.is_some_and(|sent| sent.runner == runner);
        let lost: Vec<CallId> = (0..self.calls.len())
            .filter(|id| there(&self.calls[*id]))
            .collect();
        for id in lost {
            self.lost(now, id);
        }
    }
}

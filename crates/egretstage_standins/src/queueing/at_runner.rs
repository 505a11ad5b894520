//! What happens to a call at its runner.

use super::agenda::{Attempt, Event};
use super::ending::IMPATIENT_WAIT;
use super::runner::{Held, tokens_made};
use super::world::World;
use egretstage_routing::Flow;
use egretstage_wire::{CallWork, DEFAULT_WEIGHT_MILLI, NotRunReason};
use std::time::{Duration, Instant};

impl World {
    pub(super) fn delivered(&mut self, now: Instant, attempt: Attempt, runner: usize) {
        if !self.runners[runner].alive {
            return;
        }
        let call = &self.calls[attempt.call];
        let (entry, deadline) = (call.entry, call.deadline);
        self.runners[runner].receive(entry);
        let Some(sent) = self.open(attempt) else {
            return;
        };
        let work = CallWork {
            prefill_tokens: sent.work.prefill_tokens(),
            output_tokens: sent.output_tokens,
            weight_milli: DEFAULT_WEIGHT_MILLI,
        };
        let limits = self.mechanisms.limits;
        let flow = Flow {
            id: if limits {
                self.calls[attempt.call].req.organisation
            } else {
                0
            },
            weight_milli: work.weight_milli,
        };
        let budget = deadline.saturating_duration_since(now);
        if limits && let Err(refused) = self.runners[runner].admits(&flow, &work, budget) {
            self.tell_refused(now, attempt, runner, refused.reason, refused.retry_after);
            return;
        }
        let cost = self.runners[runner].cost(&work);
        let held = Held {
            attempt,
            entry,
            work,
            cost,
            run: None,
        };
        self.runners[runner].enqueue(flow, held);
        if limits {
            let latest = deadline.checked_sub(cost).unwrap_or(now).max(now);
            self.agenda.add(latest, Event::GivenUp { attempt, runner });
        }
        self.fill(now, runner);
    }

    fn tell_refused(
        &mut self,
        now: Instant,
        attempt: Attempt,
        runner: usize,
        reason: NotRunReason,
        retry_after: Duration,
    ) {
        let delay = self.delay(self.calls[attempt.call].entry, runner);
        let event = Event::Refused {
            attempt,
            reason,
            retry_after,
        };
        self.agenda.add(now + delay, event);
    }

    /// Starts waiting calls in the free slots.
    fn fill(&mut self, now: Instant, runner: usize) {
        while let Some(held) = self.runners[runner].next() {
            let attempt = held.attempt;
            let call = &mut self.calls[attempt.call];
            call.ran = true;
            let (req, state) = (&call.req, &mut self.runners[runner]);
            let run = state.start(
                now,
                attempt.call,
                &req.prompt,
                req.prompt_tokens,
                req.tokens,
            );
            self.figures.prompt_tokens += u64::from(req.prompt_tokens);
            self.figures.cached_tokens += u64::from(run.cached_tokens);
            self.agenda
                .add(run.first_token, Event::FirstToken { attempt, runner });
            self.agenda
                .add(run.finish, Event::Finished { attempt, runner });
        }
    }

    pub(super) fn given_up(&mut self, now: Instant, attempt: Attempt, runner: usize) {
        if !self.runners[runner].is_waiting(attempt) {
            return;
        }
        self.runners[runner].remove(now, attempt);
        let reason = NotRunReason::DeadlineTooClose;
        self.tell_refused(now, attempt, runner, reason, IMPATIENT_WAIT);
    }

    pub(super) fn first_token(&mut self, now: Instant, attempt: Attempt, runner: usize) {
        if self.runners[runner].first_token(now, attempt) {
            let delay = self.delay(self.calls[attempt.call].entry, runner);
            self.agenda.add(now + delay, Event::FirstHeard(attempt));
        }
    }

    pub(super) fn finished(&mut self, now: Instant, attempt: Attempt, runner: usize) {
        if self.runners[runner].remove(now, attempt).is_some() {
            let delay = self.delay(self.calls[attempt.call].entry, runner);
            self.agenda.add(now + delay, Event::FinishHeard(attempt));
            self.fill(now, runner);
        }
    }

    pub(super) fn cancelled(&mut self, now: Instant, attempt: Attempt, runner: usize) {
        if let Some(held) = self.runners[runner].remove(now, attempt) {
            self.waste(now, &held);
            self.fill(now, runner);
        }
    }

    pub(super) fn waste(&mut self, now: Instant, held: &Held) {
        if let Some(run) = &held.run {
            self.figures.wasted_tokens += tokens_made(run, now);
        }
    }
}

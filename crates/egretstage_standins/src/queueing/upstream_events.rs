//! What happens to a call at its upstream.

use super::event_queue::{Attempt, Event};
use super::outcome::IMPATIENT_WAIT;
use super::simulation::Simulation;
use super::upstream::{Held, tokens_made};
use egretstage_routing::Flow;
use egretstage_wire::{CallWork, DEFAULT_WEIGHT_MILLI, NotRunReason};
use std::time::{Duration, Instant};

impl Simulation {
    pub(super) fn delivered(&mut self, now: Instant, attempt: Attempt, upstream: usize) {
        if !self.upstreams[upstream].alive {
            return;
        }
        let call = &self.calls[attempt.call];
        let (entry, deadline) = (call.entry, call.deadline);
        self.upstreams[upstream].receive(entry);
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
        if limits && let Err(refused) = self.upstreams[upstream].admits(&flow, &work, budget) {
            self.tell_refused(now, attempt, upstream, refused.reason, refused.retry_after);
            return;
        }
        let cost = self.upstreams[upstream].cost(&work);
        let held = Held {
            attempt,
            entry,
            work,
            cost,
            run: None,
        };
        self.upstreams[upstream].enqueue(flow, held);
        if limits {
            let latest = deadline.checked_sub(cost).unwrap_or(now).max(now);
            self.events
                .add(latest, Event::GivenUp { attempt, upstream });
        }
        self.fill(now, upstream);
    }

    fn tell_refused(
        &mut self,
        now: Instant,
        attempt: Attempt,
        upstream: usize,
        reason: NotRunReason,
        retry_after: Duration,
    ) {
        let delay = self.delay(self.calls[attempt.call].entry, upstream);
        let event = Event::Refused {
            attempt,
            reason,
            retry_after,
        };
        self.events.add(now + delay, event);
    }

    /// Starts waiting calls in the free slots.
    fn fill(&mut self, now: Instant, upstream: usize) {
        while let Some(held) = self.upstreams[upstream].next() {
            let attempt = held.attempt;
            let call = &mut self.calls[attempt.call];
            call.ran = true;
            let (req, state) = (&call.req, &mut self.upstreams[upstream]);
            let run = state.start(
                now,
                attempt.call,
                &req.prompt,
                req.prompt_tokens,
                req.tokens,
            );
            self.metrics.prompt_tokens += u64::from(req.prompt_tokens);
            self.metrics.cached_tokens += u64::from(run.cached_tokens);
            self.events
                .add(run.first_token, Event::FirstToken { attempt, upstream });
            self.events
                .add(run.finish, Event::Finished { attempt, upstream });
        }
    }

    pub(super) fn given_up(&mut self, now: Instant, attempt: Attempt, upstream: usize) {
        if !self.upstreams[upstream].is_waiting(attempt) {
            return;
        }
        self.upstreams[upstream].remove(now, attempt);
        let reason = NotRunReason::DeadlineTooClose;
        self.tell_refused(now, attempt, upstream, reason, IMPATIENT_WAIT);
    }

    pub(super) fn first_token(&mut self, now: Instant, attempt: Attempt, upstream: usize) {
        if self.upstreams[upstream].first_token(now, attempt) {
            let delay = self.delay(self.calls[attempt.call].entry, upstream);
            self.events.add(now + delay, Event::FirstHeard(attempt));
        }
    }

    pub(super) fn finished(&mut self, now: Instant, attempt: Attempt, upstream: usize) {
        if self.upstreams[upstream].remove(now, attempt).is_some() {
            let delay = self.delay(self.calls[attempt.call].entry, upstream);
            self.events.add(now + delay, Event::FinishHeard(attempt));
            self.fill(now, upstream);
        }
    }

    pub(super) fn cancelled(&mut self, now: Instant, attempt: Attempt, upstream: usize) {
        if let Some(held) = self.upstreams[upstream].remove(now, attempt) {
            self.waste(now, &held);
            self.fill(now, upstream);
        }
    }

    pub(super) fn waste(&mut self, now: Instant, held: &Held) {
        if let Some(run) = &held.run {
            self.metrics.wasted_tokens += tokens_made(run, now);
        }
    }
}

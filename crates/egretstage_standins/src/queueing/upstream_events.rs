//! Handling of the events of a call at its upstream.

use super::event_queue::{Attempt, Event};
use super::outcome::DEFAULT_RETRY_WAIT;
use super::simulation::Simulation;
use super::upstream::{HeldCall, generated_tokens};
use egretstage_routing::Flow;
use egretstage_wire::{CallWork, DEFAULT_WEIGHT_MILLI, NotRunReason};
use std::time::{Duration, Instant};

impl Simulation {
    pub(super) fn handle_call_delivered(
        &mut self,
        now: Instant,
        attempt: Attempt,
        upstream: usize,
    ) {
        if !self.upstreams[upstream].alive {
            return;
        }
        let call = &self.calls[attempt.call];
        let (entry, deadline) = (call.entry, call.deadline);
        self.upstreams[upstream].record_received(entry);
        let Some(sent) = self.current_send(attempt) else {
            return;
        };
        let work = CallWork {
            prefill_tokens: sent.in_flight.prefill_tokens(),
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
        if limits
            && let Err(refusal) = self.upstreams[upstream].check_admission(&flow, &work, budget)
        {
            self.send_refusal(now, attempt, upstream, refusal.reason, refusal.retry_after);
            return;
        }
        let cost = self.upstreams[upstream].cost(&work);
        let held = HeldCall {
            attempt,
            entry,
            work,
            cost,
            times: None,
        };
        self.upstreams[upstream].enqueue(flow, held);
        if limits {
            let latest_start = deadline.checked_sub(cost).unwrap_or(now).max(now);
            self.events
                .schedule(latest_start, Event::QueueTimeout { attempt, upstream });
        }
        self.start_waiting_calls(now, upstream);
    }

    fn send_refusal(
        &mut self,
        now: Instant,
        attempt: Attempt,
        upstream: usize,
        reason: NotRunReason,
        retry_after: Duration,
    ) {
        let delay = self.message_delay(self.calls[attempt.call].entry, upstream);
        let event = Event::RefusalReceived {
            attempt,
            reason,
            retry_after,
        };
        self.events.schedule(now + delay, event);
    }

    /// Starts waiting calls in the free slots of an upstream.
    fn start_waiting_calls(&mut self, now: Instant, upstream: usize) {
        while let Some(held) = self.upstreams[upstream].pop_waiting() {
            let attempt = held.attempt;
            let call = &mut self.calls[attempt.call];
            call.has_run = true;
            let (req, upstream_state) = (&call.req, &mut self.upstreams[upstream]);
            let times = upstream_state.start(
                now,
                attempt.call,
                &req.prompt,
                req.prompt_tokens,
                req.tokens,
            );
            self.metrics.prompt_tokens += u64::from(req.prompt_tokens);
            self.metrics.cached_tokens += u64::from(times.cached_tokens);
            self.events
                .schedule(times.first_token, Event::FirstToken { attempt, upstream });
            self.events
                .schedule(times.finish, Event::Finished { attempt, upstream });
        }
    }

    pub(super) fn handle_queue_timeout(&mut self, now: Instant, attempt: Attempt, upstream: usize) {
        if !self.upstreams[upstream].is_waiting(attempt) {
            return;
        }
        self.upstreams[upstream].remove(now, attempt);
        let reason = NotRunReason::DeadlineTooClose;
        self.send_refusal(now, attempt, upstream, reason, DEFAULT_RETRY_WAIT);
    }

    pub(super) fn handle_first_token(&mut self, now: Instant, attempt: Attempt, upstream: usize) {
        if self.upstreams[upstream].record_first_token(now, attempt) {
            let delay = self.message_delay(self.calls[attempt.call].entry, upstream);
            self.events
                .schedule(now + delay, Event::FirstTokenReceived(attempt));
        }
    }

    pub(super) fn handle_finished(&mut self, now: Instant, attempt: Attempt, upstream: usize) {
        if self.upstreams[upstream].remove(now, attempt).is_some() {
            let delay = self.message_delay(self.calls[attempt.call].entry, upstream);
            self.events
                .schedule(now + delay, Event::AnswerReceived(attempt));
            self.start_waiting_calls(now, upstream);
        }
    }

    pub(super) fn handle_cancelled(&mut self, now: Instant, attempt: Attempt, upstream: usize) {
        if let Some(held) = self.upstreams[upstream].remove(now, attempt) {
            self.count_wasted_tokens(now, &held);
            self.start_waiting_calls(now, upstream);
        }
    }

    pub(super) fn count_wasted_tokens(&mut self, now: Instant, held: &HeldCall) {
        if let Some(times) = &held.times {
            self.metrics.wasted_tokens += generated_tokens(times, now);
        }
    }
}

//! Handles the start of calls, from their start frame until they are sent to the
//! upstream, and their end.

use crate::keyed::refusal_outcome;
use crate::reader::Reader;
use crate::reducer::{CompanionReducer, not_run_effect, refusal_effect};
use crate::runs::Run;
use crate::{CallDecision, CompanionEffect, RunKey, UpstreamRequest};
use egretstage_link::LinkKey;
use egretstage_once::Admission;
use egretstage_routing::AdmissionRefusal;
use egretstage_wire::{CallStart, Frame, KeyClaim, NotRunReason, Outcome, StreamEnd};
use std::time::{Duration, Instant};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

impl CompanionReducer {
    pub(crate) fn handle_start(
        &mut self,
        now: Instant,
        link: LinkKey,
        start: Box<CallStart>,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let delay = self.links.record_start(now, link, start.sent_ms);
        if self.runs.find_by_stream(start.stream).is_some() {
            return;
        }
        let budget = Duration::from_millis(start.budget_ms).saturating_sub(delay);
        if budget.is_zero() {
            fx.push(self.log_effect(&start, CallDecision::Expire));
            fx.push(not_run_effect(
                link,
                start.stream,
                NotRunReason::DeadlinePassed,
            ));
            return;
        }
        let cost_us = self.load.expected_cost_us(&start);
        let run = Run::new(now, start, link, now + budget, cost_us);
        if let Some(claim) = run.start.claim {
            self.start_keyed(now, link, run, claim, fx);
        } else if self.leaving {
            fx.push(self.log_effect(&run.start, CallDecision::RefuseLeaving));
            fx.push(not_run_effect(
                link,
                run.start.stream,
                NotRunReason::Leaving,
            ));
        } else if let Err(refusal) = self.check_admission(now, &run) {
            fx.push(self.log_effect(&run.start, CallDecision::RefuseLate));
            fx.push(refusal_effect(link, run.start.stream, refusal));
        } else {
            self.enqueue(now, run, fx);
        }
    }

    /// Decides whether a call can finish within its budget, given the calls that
    /// wait already.
    ///
    /// # Errors
    ///
    /// Returns the reason and the retry time if it can't.
    fn check_admission(&self, now: Instant, run: &Run) -> Result<(), AdmissionRefusal> {
        let budget = run.deadline.saturating_duration_since(now);
        self.load
            .admit(&self.runs, self.limits.slots, &run.start, budget)
    }

    fn enqueue(&mut self, now: Instant, run: Run, fx: &mut Vec<CompanionEffect>) -> RunKey {
        if self.runs.running() >= self.limits.slots as usize {
            fx.push(self.log_effect(&run.start, CallDecision::Wait));
        }
        self.load.record_accepted(now, &run);
        let key = self.runs.enqueue(run);
        self.fill_slots(now, fx);
        key
    }

    /// Handles a call that has an idempotency key and may run at most once.
    fn start_keyed(
        &mut self,
        now: Instant,
        link: LinkKey,
        run: Run,
        claim: KeyClaim,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let stream = run.start.stream;
        let admission = self.check_admission(now, &run);
        let Some(keyed) = &mut self.keyed else {
            fx.push(not_run_effect(link, stream, NotRunReason::Unsupported));
            return;
        };
        let call = keyed.describe_call(&run.start, claim);
        match keyed.admit(now, &call) {
            Admission::New if let Err(refusal) = admission => {
                fx.push(self.log_effect(&run.start, CallDecision::RefuseLate));
                fx.push(refusal_effect(link, stream, refusal));
            }
            Admission::New => {
                let mut run = run;
                run.max_answer_bytes = keyed.max_answer_bytes();
                self.load.record_accepted(now, &run);
                let key = self.runs.enqueue(run);
                let (id, abort_at) = keyed.insert(now, call, key);
                self.runs.set_abort_at(key, abort_at);
                if let Some(run) = self.runs.get_mut(key) {
                    run.key_id = Some(id);
                }
                self.fill_slots(now, fx);
            }
            Admission::Join(existing) => {
                fx.push(self.log_effect(&run.start, CallDecision::Join));
                let reader = Reader::new(stream, link, run.deadline, run.start.credit);
                self.runs.add_reader(existing, reader);
                self.deliver(now, existing, fx);
            }
            Admission::Refused(refusal) => {
                fx.push(self.log_effect(&run.start, CallDecision::RefuseKey));
                let frame = match (refusal_outcome(&refusal, self.leaving), refusal) {
                    (Some(outcome), _) => Frame::End(StreamEnd {
                        stream,
                        outcome,
                        body_bytes: 0,
                    }),
                    (None, egretstage_once::KeyRefusal::AskFormerOwner(instance)) => {
                        Frame::AskFormerOwner { stream, instance }
                    }
                    (None, _) => return,
                };
                fx.push(CompanionEffect::Send { link, frame });
            }
        }
    }

    /// Sends waiting calls to the upstream while it has free slots.
    pub(crate) fn fill_slots(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        while let Some(key) = self.runs.start_next(now, self.limits.slots) {
            self.load.record_start(now);
            match self.may_start_until(now, key) {
                Ok(not_after) => self.start_upstream(key, not_after, fx),
                Err(reason) => self.end_unstarted(now, key, reason, fx),
            }
        }
    }

    /// Returns the instant before which a call must be started.
    ///
    /// Its deadline may have passed and its key may have changed owners since it
    /// was admitted.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call may no longer start.
    fn may_start_until(&self, now: Instant, key: RunKey) -> Result<Instant, NotRunReason> {
        let run = self.runs.get(key).expect("the call was just taken");
        if run.deadline <= now {
            return Err(NotRunReason::DeadlinePassed);
        }
        match (run.key_id, &self.keyed) {
            (Some(id), Some(keyed)) => keyed
                .may_start_until(now, id, run.deadline)
                .ok_or(NotRunReason::NotOwner),
            _ => Ok(run.deadline),
        }
    }

    fn start_upstream(&mut self, key: RunKey, not_after: Instant, fx: &mut Vec<CompanionEffect>) {
        let run = self.runs.get(key).expect("the call was just taken");
        fx.push(self.log_effect(&run.start, CallDecision::Start));
        let run = self.runs.get_mut(key).expect("the call was just taken");
        let req = UpstreamRequest {
            request: run.start.request.clone(),
            repeatable: run.start.repeatable,
            not_after,
            method: run.start.method.clone(),
            path: run.start.path.clone(),
            content_type: run.start.content_type.clone(),
            key: run.idempotency_key().cloned(),
            priority: run.start.priority,
            body: std::mem::take(&mut run.start.body),
        };
        fx.push(CompanionEffect::StartUpstream {
            run: key,
            req: Box::new(req),
        });
    }

    /// Ends a call that was never sent to the upstream.
    pub(crate) fn end_unstarted(
        &mut self,
        now: Instant,
        key: RunKey,
        reason: NotRunReason,
        fx: &mut Vec<CompanionEffect>,
    ) {
        if let Some(run) = self.runs.get(key) {
            fx.push(self.log_effect(&run.start, CallDecision::Expire));
        }
        let cost_ms = self.runs.get(key).map(|run| run.cost_us / MICROS_PER_MILLI);
        let outcome = Outcome::NotRun {
            reason,
            retry_after_ms: cost_ms.filter(|_| reason == NotRunReason::DeadlineTooClose),
        };
        self.end_run(now, key, outcome, fx);
    }

    /// Ends a call. Its key stays remembered unless the call is known not to have
    /// run.
    pub(crate) fn end_run(
        &mut self,
        now: Instant,
        key: RunKey,
        outcome: Outcome,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let ran = !matches!(outcome, Outcome::NotRun { .. });
        if let Some(run) = self.runs.get(key).filter(|run| !run.has_ended()) {
            self.load
                .record_removal(now, run, outcome == Outcome::Completed);
        }
        self.runs.end(key, outcome);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let bytes = run.answer.held_bytes();
        let id = if ran { run.key_id } else { run.key_id.take() };
        let mut dropped = Vec::new();
        if let (Some(id), Some(keyed)) = (id, &mut self.keyed) {
            if ran {
                dropped = keyed.record_end(now, id, key, bytes);
            } else {
                keyed.record_not_run(id);
            }
        }
        for dropped in dropped {
            if let Some(run) = self.runs.get_mut(dropped) {
                run.max_answer_bytes = 0;
                run.trim();
            }
        }
        self.deliver(now, key, fx);
    }
}

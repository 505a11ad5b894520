//! From a start frame to the upstream.

use crate::keyed::outcome_of;
use crate::reader::Reader;
use crate::reducer::{CompanionReducer, not_run, refuse};
use crate::runs::Run;
use crate::{CompanionEffect, PlacementDecision, RunKey, UpstreamRequest};
use egretstage_link::LinkKey;
use egretstage_once::Admission;
use egretstage_routing::AdmissionRefusal;
use egretstage_wire::{CallStart, Frame, KeyClaim, NotRunReason, Outcome, StreamEnd};
use std::time::{Duration, Instant};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

impl CompanionReducer {
    pub(crate) fn start(
        &mut self,
        now: Instant,
        link: LinkKey,
        start: Box<CallStart>,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let late = self.links.note_start(now, link, start.sent_ms);
        if self.runs.of_stream(start.stream).is_some() {
            return;
        }
        let budget = Duration::from_millis(start.budget_ms).saturating_sub(late);
        if budget.is_zero() {
            fx.push(self.line(&start, PlacementDecision::Expire));
            fx.push(not_run(link, start.stream, NotRunReason::DeadlinePassed));
            return;
        }
        let cost = self.load.cost(&start);
        let run = Run::new(now, start, link, now + budget, cost);
        if let Some(claim) = run.start.claim {
            self.start_keyed(now, link, run, claim, fx);
        } else if self.leaving {
            fx.push(self.line(&run.start, PlacementDecision::RefuseLeaving));
            fx.push(not_run(link, run.start.stream, NotRunReason::Leaving));
        } else if let Err(refused) = self.admits(now, &run) {
            fx.push(self.line(&run.start, PlacementDecision::RefuseLate));
            fx.push(refuse(link, run.start.stream, refused));
        } else {
            self.enqueue(now, run, fx);
        }
    }

    /// Decides whether a call can finish in time behind those that wait.
    fn admits(&self, now: Instant, run: &Run) -> Result<(), AdmissionRefusal> {
        let budget = run.deadline.saturating_duration_since(now);
        self.load
            .admit(&self.runs, self.limits.slots, &run.start, budget)
    }

    fn enqueue(&mut self, now: Instant, run: Run, fx: &mut Vec<CompanionEffect>) -> RunKey {
        if self.runs.running() >= self.limits.slots as usize {
            fx.push(self.line(&run.start, PlacementDecision::Wait));
        }
        self.load.taken(now, &run);
        let key = self.runs.enqueue(run);
        self.fill_slots(now, fx);
        key
    }

    /// Handles a call that has a key and may not be repeated.
    fn start_keyed(
        &mut self,
        now: Instant,
        link: LinkKey,
        run: Run,
        claim: KeyClaim,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let stream = run.start.stream;
        let admitted = self.admits(now, &run);
        let Some(keyed) = &mut self.keyed else {
            fx.push(not_run(link, stream, NotRunReason::Unsupported));
            return;
        };
        let call = keyed.call(&run.start, claim);
        match keyed.admit(now, &call) {
            Admission::New if let Err(refused) = admitted => {
                fx.push(self.line(&run.start, PlacementDecision::RefuseLate));
                fx.push(refuse(link, stream, refused));
            }
            Admission::New => {
                let mut run = run;
                run.max_answer_bytes = keyed.max_answer_bytes();
                self.load.taken(now, &run);
                let key = self.runs.enqueue(run);
                let (id, limit) = keyed.insert(now, call, key);
                self.runs.set_limit(key, limit);
                if let Some(run) = self.runs.get_mut(key) {
                    run.key = Some(id);
                }
                self.fill_slots(now, fx);
            }
            Admission::Join(known) => {
                fx.push(self.line(&run.start, PlacementDecision::Join));
                let reader = Reader::new(stream, link, run.deadline, run.start.credit);
                self.runs.add_reader(known, reader);
                self.deliver(now, known, fx);
            }
            Admission::Refused(refusal) => {
                fx.push(self.line(&run.start, PlacementDecision::RefuseKey));
                let frame = match (outcome_of(&refusal, self.leaving), refusal) {
                    (Some(outcome), _) => Frame::End(StreamEnd {
                        stream,
                        outcome,
                        body_bytes: 0,
                    }),
                    (None, egretstage_once::KeyRefusal::AskFormer(instance)) => {
                        Frame::AskFormerOwner { stream, instance }
                    }
                    (None, _) => return,
                };
                fx.push(CompanionEffect::Send { link, frame });
            }
        }
    }

    /// Hands waiting calls to the upstream while it has slots.
    pub(crate) fn fill_slots(&mut self, now: Instant, fx: &mut Vec<CompanionEffect>) {
        while let Some(key) = self.runs.start_next(now, self.limits.slots) {
            self.load.started(now);
            match self.may_start_until(now, key) {
                Ok(not_after) => self.hand_over(key, not_after, fx),
                Err(reason) => self.refuse_waiting(now, key, reason, fx),
            }
        }
    }

    /// Checks a waiting call once more: time has passed since it was admitted.
    fn may_start_until(&self, now: Instant, key: RunKey) -> Result<Instant, NotRunReason> {
        let run = self.runs.get(key).expect("the call was just taken");
        if run.deadline <= now {
            return Err(NotRunReason::DeadlinePassed);
        }
        match (run.key, &self.keyed) {
            (Some(id), Some(keyed)) => keyed
                .may_start_until(now, id, run.deadline)
                .ok_or(NotRunReason::NotOwner),
            _ => Ok(run.deadline),
        }
    }

    fn hand_over(&mut self, key: RunKey, not_after: Instant, fx: &mut Vec<CompanionEffect>) {
        let run = self.runs.get(key).expect("the call was just taken");
        fx.push(self.line(&run.start, PlacementDecision::Start));
        let run = self.runs.get_mut(key).expect("the call was just taken");
        let req = UpstreamRequest {
            request: run.start.request.clone(),
            repeatable: run.start.repeatable,
            not_after,
            method: run.start.method.clone(),
            path: run.start.path.clone(),
            content_type: run.start.content_type.clone(),
            key: run.key().cloned(),
            priority: run.start.priority,
            body: std::mem::take(&mut run.start.body),
        };
        fx.push(CompanionEffect::StartUpstream {
            run: key,
            req: Box::new(req),
        });
    }

    /// Ends a call that was never handed to the upstream.
    pub(crate) fn refuse_waiting(
        &mut self,
        now: Instant,
        key: RunKey,
        reason: NotRunReason,
        fx: &mut Vec<CompanionEffect>,
    ) {
        if let Some(run) = self.runs.get(key) {
            fx.push(self.line(&run.start, PlacementDecision::Expire));
        }
        let cost = self.runs.get(key).map(|run| run.cost / MICROS_PER_MILLI);
        let outcome = Outcome::NotRun {
            reason,
            retry_after_ms: cost.filter(|_| reason == NotRunReason::DeadlineTooClose),
        };
        self.end_run(now, key, outcome, fx);
    }

    /// Ends a call; its key is remembered unless the call didn't run.
    pub(crate) fn end_run(
        &mut self,
        now: Instant,
        key: RunKey,
        outcome: Outcome,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let ran = !matches!(outcome, Outcome::NotRun { .. });
        if let Some(run) = self.runs.get(key).filter(|run| !run.has_ended()) {
            self.load.removed(now, run, outcome == Outcome::Completed);
        }
        self.runs.end(key, outcome);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let bytes = run.answer.held_bytes();
        let id = if ran { run.key } else { run.key.take() };
        let mut dropped = Vec::new();
        if let (Some(id), Some(keyed)) = (id, &mut self.keyed) {
            if ran {
                dropped = keyed.ended(now, id, key, bytes);
            } else {
                keyed.not_run(id);
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

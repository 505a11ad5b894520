//! From a request's arrival to the companion that runs it.

use crate::calls::{Call, Sent};
use crate::reducer::EntryReducer;
use crate::routing::{AppliedRule, Candidates, candidate_lines, prompt, weight_milli};
use crate::runners::RunnerKey;
use crate::{
    AnswerPart, CallKey, CallRequest, DecisionLine, EntryEffect, Refusal, RefusalKind, Target,
};
use egretstage_config::{Configuration, RecordKind};
use egretstage_routing::{Choice, Demand, RouteReason};
use egretstage_wire::{CallStart, CallWork, Frame, NotRunReason, ServiceName};
use std::time::{Duration, Instant};

/// Chunks that a companion may send before the caller has read any.
pub const INITIAL_CREDIT: u32 = 64;

/// When to come back after a refusal because of an unreadable configuration.
const UNREADABLE_RETRY_AFTER: Duration = Duration::from_secs(10);

/// What a call is told when its configuration can't be read.
const UNREADABLE: RefusalKind = RefusalKind::NotRun(NotRunReason::ConfigurationUnreadable);

/// The upstream of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chosen {
    pub(crate) runner: RunnerKey,
    pub(crate) reason: RouteReason,
}

impl EntryReducer {
    pub(crate) fn arrived(
        &mut self,
        now: Instant,
        req: Box<CallRequest>,
        fx: &mut Vec<EntryEffect>,
    ) {
        let call = req.call;
        match self.admit(now, req) {
            Ok(admitted) => {
                self.router.requested(&admitted.service);
                self.calls.insert(call, admitted);
                self.route(now, call, fx);
            }
            Err(kind) => {
                let retry_after = (kind == UNREADABLE).then_some(UNREADABLE_RETRY_AFTER);
                fx.push(refuse(call, kind, retry_after));
            }
        }
    }

    /// Finds the organisation and the service of a request.
    pub(crate) fn admit(&self, now: Instant, req: Box<CallRequest>) -> Result<Call, RefusalKind> {
        let cfg = self
            .configuration
            .as_deref()
            .ok_or(RefusalKind::NotRun(NotRunReason::NoUpstream))?;
        let organisation = cfg
            .organisation_of_token(&req.token_digest)
            .ok_or_else(|| {
                let unknown = RefusalKind::UnknownToken;
                unless_unreadable(cfg, RecordKind::Organisation, None, unknown)
            })?
            .clone();
        let (service, repeatable) = service_of(cfg, &req)?;
        if cfg.unreadable_of(RecordKind::PlacementRule, None).is_some() {
            return Err(UNREADABLE);
        }
        let deadline = now + req.budget;
        Ok(Call::new(req, organisation, service, repeatable, deadline))
    }

    /// Chooses an upstream for a call and sends it there, or refuses it.
    pub(crate) fn route(&mut self, now: Instant, key: CallKey, fx: &mut Vec<EntryEffect>) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        if call.digest.is_some() {
            self.route_keyed(now, key, fx);
            return;
        }
        let cfg = self.configuration.as_deref();
        let rule = AppliedRule::find(cfg, &call.organisation, &call.service);
        self.router.eject(now, &call.service, &mut self.runners);
        let demand = self.router.demand(now, call);
        let candidates = self.router.candidates(now, call, &rule, &self.runners);
        let choice = self.router.choose(&demand, &candidates);
        let mut line = self.decision_line(call, rule, &demand, &candidates, choice.index());
        match choice {
            Choice::Send { index, reason } => {
                let runner = candidates.keys[index];
                self.send(now, key, Chosen { runner, reason }, &demand, &mut line, fx);
                fx.push(EntryEffect::Log(Box::new(line)));
            }
            Choice::Refuse {
                reason,
                retry_after,
            } => {
                line.refused = Some(reason);
                fx.push(EntryEffect::Log(Box::new(line)));
                self.refuse_call(key, reason, Some(retry_after), fx);
            }
        }
    }

    /// Tells whether some companion can take a call now.
    pub(crate) fn has_candidate(&self, now: Instant, key: CallKey) -> bool {
        let Some(call) = self.calls.get(key) else {
            return false;
        };
        let cfg = self.configuration.as_deref();
        let rule = AppliedRule::find(cfg, &call.organisation, &call.service);
        let candidates = self.router.candidates(now, call, &rule, &self.runners);
        !candidates.keys.is_empty()
    }

    /// Prepares the log line of a decision on a call.
    pub(crate) fn decision_line(
        &self,
        call: &Call,
        rule: AppliedRule,
        demand: &Demand,
        candidates: &Candidates,
        chosen: Option<usize>,
    ) -> DecisionLine {
        DecisionLine {
            request: call.req.request.clone(),
            organisation: call.organisation.clone(),
            service: call.service.clone(),
            rule: rule.name,
            stream: None,
            chosen: None,
            reason: None,
            refused: None,
            candidates: candidate_lines(demand, candidates, chosen, &self.runners),
        }
    }

    /// Sends a call to the upstream chosen.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        key: CallKey,
        chosen: Chosen,
        demand: &Demand,
        decision: &mut DecisionLine,
        fx: &mut Vec<EntryEffect>,
    ) {
        let runner = self
            .runners
            .get_mut(chosen.runner)
            .expect("a candidate is in the arena");
        let link = runner.any_link().expect("a candidate has a link");
        let incarnation = runner.incarnation.unwrap_or_default();
        let call = self.calls.get(key).expect("the call is being routed");
        let work = runner.tracker.record_sent(now, demand, prompt(call));
        let weight = weight_milli(self.configuration.as_deref(), &call.organisation);
        let stream = self.streams.issue();
        decision.stream = Some(stream);
        decision.chosen = Some(runner.instance.clone());
        decision.reason = Some(chosen.reason);
        let sent = Sent {
            runner: chosen.runner,
            link,
            stream,
            work,
            incarnation,
        };
        self.calls.set_sent(key, Some(sent));
        let priority = self.priority(key);
        let call = self.calls.get_mut(key).expect("the call is being routed");
        call.attempts += 1;
        let start = CallStart {
            stream,
            request: call.req.request.clone(),
            organisation: call.organisation.clone(),
            service: call.service.clone(),
            kind: call.req.target.kind(),
            key: call.req.key.clone(),
            repeatable: call.repeatable,
            sent_ms: as_millis(now.saturating_duration_since(self.clock_start)),
            claim: call.claim,
            budget_ms: as_millis(call.deadline.saturating_duration_since(now)),
            priority,
            work: CallWork {
                prefill_tokens: work.prefill_tokens(),
                output_tokens: demand.output_tokens,
                weight_milli: weight,
            },
            method: call.req.method.clone(),
            path: call.req.path.clone(),
            content_type: call.req.content_type.clone(),
            credit: INITIAL_CREDIT,
            body: call.req.body.clone(),
        };
        fx.push(EntryEffect::Send {
            link,
            frame: Frame::Start(Box::new(start)),
        });
    }

    /// Returns a call's priority: at most that of its organisation.
    pub(crate) fn priority(&self, key: CallKey) -> u8 {
        let call = self.calls.get(key).expect("the call is being routed");
        let highest = self
            .configuration
            .as_deref()
            .and_then(|cfg| cfg.organisation(&call.organisation))
            .map_or(0, |organisation| organisation.priority);
        call.req.priority.unwrap_or(highest).min(highest)
    }
}

/// Refuses what wasn't found; it may stand in an object that can't be read.
fn unless_unreadable(
    cfg: &Configuration,
    kind: RecordKind,
    name: Option<&str>,
    not_found: RefusalKind,
) -> RefusalKind {
    match cfg.unreadable_of(kind, name) {
        Some(_) => UNREADABLE,
        None => not_found,
    }
}

/// Finds the service of a request and whether the call may run more than once.
fn service_of(cfg: &Configuration, req: &CallRequest) -> Result<(ServiceName, bool), RefusalKind> {
    let unknown = RefusalKind::UnknownService;
    match &req.target {
        Target::Chat { model, .. } => cfg
            .group_of_model(model)
            .map(|group| (group.clone(), true))
            .ok_or_else(|| unless_unreadable(cfg, RecordKind::ModelGroup, None, unknown)),
        Target::Plain { service } => {
            let name = Some(service.as_str());
            let body = cfg
                .service(service)
                .ok_or_else(|| unless_unreadable(cfg, RecordKind::Service, name, unknown))?;
            Ok((service.clone(), body.is_repeatable(&req.method, &req.path)))
        }
    }
}

fn refuse(call: CallKey, kind: RefusalKind, retry_after: Option<Duration>) -> EntryEffect {
    EntryEffect::Answer {
        call,
        part: AnswerPart::Refused(Refusal { kind, retry_after }),
    }
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

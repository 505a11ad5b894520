//! Admission of a request, choice of its upstream and the start of the call
//! there.

use crate::calls::{Call, SentCall};
use crate::reducer::EntryReducer;
use crate::routing::{AppliedRule, Candidates, candidate_lines, prompt_fingerprint, weight_milli};
use crate::upstreams::UpstreamKey;
use crate::{
    AnswerPart, CallKey, CallRequest, DecisionLine, EntryEffect, Refusal, RefusalKind, Target,
};
use egretstage_config::{Configuration, RecordKind};
use egretstage_routing::{Choice, Demand, RouteReason};
use egretstage_wire::{CallStart, CallWork, Frame, NotRunReason, ServiceName};
use std::time::{Duration, Instant};

/// Number of chunks that a companion may send before the caller has read any.
pub const INITIAL_CREDIT_CHUNKS: u32 = 64;

/// Time after which a caller should retry if a configuration record that may apply
/// to its call is unreadable.
const UNREADABLE_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Refusal of a call to which an unreadable configuration record may apply.
const UNREADABLE_REFUSAL: RefusalKind = RefusalKind::NotRun(NotRunReason::ConfigurationUnreadable);

/// The upstream chosen for a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChosenUpstream {
    pub(crate) upstream: UpstreamKey,
    pub(crate) reason: RouteReason,
}

impl EntryReducer {
    pub(crate) fn handle_arrival(
        &mut self,
        now: Instant,
        req: Box<CallRequest>,
        fx: &mut Vec<EntryEffect>,
    ) {
        let call = req.call;
        match self.admit(now, req) {
            Ok(admitted) => {
                self.router.record_request(&admitted.service);
                self.calls.insert(call, admitted);
                self.route(now, call, fx);
            }
            Err(kind) => {
                let retry_after = (kind == UNREADABLE_REFUSAL).then_some(UNREADABLE_RETRY_AFTER);
                fx.push(refusal_effect(call, kind, retry_after));
            }
        }
    }

    /// Finds the organisation and the service of a request, and creates its
    /// call.
    pub(crate) fn admit(&self, now: Instant, req: Box<CallRequest>) -> Result<Call, RefusalKind> {
        let cfg = self
            .configuration
            .as_deref()
            .ok_or(RefusalKind::NotRun(NotRunReason::NoUpstream))?;
        let organisation = cfg
            .organisation_of_token(&req.token_digest)
            .ok_or_else(|| {
                let unknown = RefusalKind::UnknownToken;
                not_found_refusal(cfg, RecordKind::Organisation, None, unknown)
            })?
            .clone();
        let (service, repeatable) = find_service(cfg, &req)?;
        if cfg
            .first_unreadable(RecordKind::PlacementRule, None)
            .is_some()
        {
            return Err(UNREADABLE_REFUSAL);
        }
        let deadline = now + req.budget;
        Ok(Call::new(req, organisation, service, repeatable, deadline))
    }

    /// Chooses an upstream for a call and sends it there, or refuses it.
    pub(crate) fn route(&mut self, now: Instant, key: CallKey, fx: &mut Vec<EntryEffect>) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        if call.key_digest.is_some() {
            self.route_keyed(now, key, fx);
            return;
        }
        let cfg = self.configuration.as_deref();
        let rule = AppliedRule::find(cfg, &call.organisation, &call.service);
        self.router
            .eject_outliers(now, &call.service, &mut self.upstreams);
        let demand = self.router.demand(now, call);
        let candidates = self.router.candidates(now, call, &rule, &self.upstreams);
        let choice = self.router.choose(&demand, &candidates);
        let mut line = self.decision_line(call, rule, &demand, &candidates, choice.index());
        match choice {
            Choice::Send { index, reason } => {
                let upstream = candidates.keys[index];
                self.send(
                    now,
                    key,
                    ChosenUpstream { upstream, reason },
                    &demand,
                    &mut line,
                    fx,
                );
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

    /// Returns whether any upstream may run a call now.
    pub(crate) fn has_candidate(&self, now: Instant, key: CallKey) -> bool {
        let Some(call) = self.calls.get(key) else {
            return false;
        };
        let cfg = self.configuration.as_deref();
        let rule = AppliedRule::find(cfg, &call.organisation, &call.service);
        let candidates = self.router.candidates(now, call, &rule, &self.upstreams);
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
            candidates: candidate_lines(demand, candidates, chosen, &self.upstreams),
        }
    }

    /// Sends a call to the chosen upstream.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        key: CallKey,
        chosen: ChosenUpstream,
        demand: &Demand,
        decision: &mut DecisionLine,
        fx: &mut Vec<EntryEffect>,
    ) {
        let upstream = self
            .upstreams
            .get_mut(chosen.upstream)
            .expect("a candidate is in the arena");
        let link = upstream.current_link().expect("a candidate has a link");
        let incarnation = upstream.incarnation.unwrap_or_default();
        let call = self.calls.get(key).expect("the call is being routed");
        let in_flight = upstream
            .tracker
            .record_sent(now, demand, prompt_fingerprint(call));
        let weight = weight_milli(self.configuration.as_deref(), &call.organisation);
        let stream = self.streams.issue();
        decision.stream = Some(stream);
        decision.chosen = Some(upstream.instance.clone());
        decision.reason = Some(chosen.reason);
        let sent = SentCall {
            upstream: chosen.upstream,
            link,
            stream,
            in_flight,
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
            sent_ms: saturating_millis(now.saturating_duration_since(self.clock_start)),
            claim: call.claim,
            budget_ms: saturating_millis(call.deadline.saturating_duration_since(now)),
            priority,
            work: CallWork {
                prefill_tokens: in_flight.prefill_tokens(),
                output_tokens: demand.output_tokens,
                weight_milli: weight,
            },
            method: call.req.method.clone(),
            path: call.req.path.clone(),
            content_type: call.req.content_type.clone(),
            credit: INITIAL_CREDIT_CHUNKS,
            body: call.req.body.clone(),
        };
        fx.push(EntryEffect::Send {
            link,
            frame: Frame::Start(Box::new(start)),
        });
    }

    /// Returns a call's priority: the requested one, up to that of its
    /// organisation.
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

/// Returns the refusal for an object that isn't in the configuration.
///
/// If a record of its kind, and of its name if one is given, is unreadable, the
/// object may be defined there, and the refusal says so.
fn not_found_refusal(
    cfg: &Configuration,
    kind: RecordKind,
    name: Option<&str>,
    not_found: RefusalKind,
) -> RefusalKind {
    match cfg.first_unreadable(kind, name) {
        Some(_) => UNREADABLE_REFUSAL,
        None => not_found,
    }
}

/// Finds the service of a request, and whether the call may run more than
/// once.
fn find_service(
    cfg: &Configuration,
    req: &CallRequest,
) -> Result<(ServiceName, bool), RefusalKind> {
    let unknown = RefusalKind::UnknownService;
    match &req.target {
        Target::Chat { model, .. } => cfg
            .group_of_model(model)
            .map(|group| (group.clone(), true))
            .ok_or_else(|| not_found_refusal(cfg, RecordKind::ModelGroup, None, unknown)),
        Target::Plain { service } => {
            let name = Some(service.as_str());
            let body = cfg
                .service(service)
                .ok_or_else(|| not_found_refusal(cfg, RecordKind::Service, name, unknown))?;
            Ok((service.clone(), body.is_repeatable(&req.method, &req.path)))
        }
    }
}

fn refusal_effect(call: CallKey, kind: RefusalKind, retry_after: Option<Duration>) -> EntryEffect {
    EntryEffect::Answer {
        call,
        part: AnswerPart::Refused(Refusal { kind, retry_after }),
    }
}

fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

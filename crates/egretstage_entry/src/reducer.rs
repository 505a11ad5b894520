//! All decisions of an entry.

use crate::calls::{Call, Calls, Sent};
use crate::routing::{
    AppliedRule, Candidates, Router, candidate_lines, count_events, prompt, weight_milli,
};
use crate::runners::{RunnerKey, Runners};
use crate::selection::Selection;
use crate::status::{not_ready_because, runner_status};
use crate::suspects::Suspects;
use crate::{
    AnswerPart, CallKey, CallRequest, DecisionLine, EntryEffect, EntryEvent, Refusal, RefusalKind,
    Target,
};
use egretstage_config::{Configuration, RecordKind};
use egretstage_link::LinkKey;
use egretstage_observe::{StatusCadence, WorkStatus};
use egretstage_once::OwnerSet;
use egretstage_routing::{
    CallResult, Choice, Demand, EjectionLimits, RetryLimits, RouteReason, RoutingPolicy,
};
use egretstage_runtime::Reducer;
use egretstage_wire::{
    AnswerHead, CallStart, CallWork, Chunk, Frame, Incarnation, NotRunReason, Outcome, ServiceName,
    StreamEnd, StreamIds, UnknownReason, ZoneName,
};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Chunks that a companion may send before the caller has read any.
pub const INITIAL_CREDIT: u32 = 64;

/// When to come back after a refusal because of an unreadable configuration.
const UNREADABLE_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// When to ask again with the key of a call whose budget has passed.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits of an entry's decisions.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Most times that one request is sent.
    pub max_attempts: u32,
    /// Time between "not ready" and the end of accepting, for the platform's
    /// balancer to notice.
    pub not_ready_grace: Duration,
    /// Budget for retries of each service.
    pub retries: RetryLimits,
    /// Limits of the ejection of outliers.
    pub ejection: EjectionLimits,
    /// How long an owner of keys is neither linked nor live on the instance
    /// list before it is removed.
    pub remove_owner_after: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_attempts: 2,
            not_ready_grace: Duration::from_secs(1),
            retries: RetryLimits::default(),
            ejection: EjectionLimits::default(),
            remove_owner_after: Duration::from_secs(3),
        }
    }
}

/// The upstream of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chosen {
    pub(crate) runner: RunnerKey,
    pub(crate) reason: RouteReason,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stopping {
    No,
    NotReady { until: Instant },
    Draining,
}

/// Makes all decisions of an entry.
pub struct EntryReducer {
    clock_start: Instant,
    pub(crate) router: Router,
    streams: StreamIds,
    pub(crate) configuration: Option<Arc<Configuration>>,
    listed: bool,
    ready: bool,
    stopping: Stopping,
    status: StatusCadence,
    pub(crate) runners: Runners,
    pub(crate) calls: Calls,
    pub(crate) owners: HashMap<ServiceName, OwnerSet>,
    pub(crate) suspects: Suspects,
}

impl EntryReducer {
    /// Starts an entry that knows nothing yet.
    #[must_use]
    pub fn new(
        now: Instant,
        zone: ZoneName,
        incarnation: Incarnation,
        limits: EntryLimits,
        policy: Box<dyn RoutingPolicy>,
    ) -> Self {
        let selection = Selection::new(zone.clone(), incarnation);
        Self {
            clock_start: now,
            router: Router::new(zone, limits, policy),
            streams: StreamIds::new(incarnation),
            configuration: None,
            listed: false,
            ready: false,
            stopping: Stopping::No,
            runners: Runners::new(selection),
            calls: Calls::default(),
            status: StatusCadence::default(),
            owners: HashMap::new(),
            suspects: Suspects::new(incarnation, limits.remove_owner_after),
        }
    }

    fn arrived(&mut self, now: Instant, req: Box<CallRequest>, fx: &mut Vec<EntryEffect>) {
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
    fn admit(&self, now: Instant, req: Box<CallRequest>) -> Result<Call, RefusalKind> {
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
    fn route(&mut self, now: Instant, key: CallKey, fx: &mut Vec<EntryEffect>) {
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
        let work = runner.tracker.sent(now, demand, prompt(call));
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
    fn priority(&self, key: CallKey) -> u8 {
        let call = self.calls.get(key).expect("the call is being routed");
        let highest = self
            .configuration
            .as_deref()
            .and_then(|cfg| cfg.organisation(&call.organisation))
            .map_or(0, |organisation| organisation.priority);
        call.req.priority.unwrap_or(highest).min(highest)
    }

    fn frame(&mut self, now: Instant, link: LinkKey, frame: Frame, fx: &mut Vec<EntryEffect>) {
        match frame {
            Frame::Head(head) => self.head(link, head, fx),
            Frame::Chunk(chunk) => self.chunk(link, chunk, fx),
            Frame::End(end) => self.end(now, link, &end, fx),
            Frame::Load(load) => {
                if let Some(runner) = self.runner_of_link(link) {
                    runner.tracker.reported(now, load);
                }
            }
            Frame::Leaving => {
                if let Some(runner) = self.runner_of_link(link) {
                    runner.leaving = true;
                }
                let frame = Frame::LeavingNoted;
                fx.push(EntryEffect::Send { link, frame });
            }
            Frame::LeavingNoted
            | Frame::Hello(_)
            | Frame::Start(_)
            | Frame::Cancel(_)
            | Frame::Credit { .. }
            | Frame::Resume { .. }
            | Frame::Group(_) => fx.push(EntryEffect::Close(link)),
            Frame::Configuration(_) => {}
            Frame::Owners(view) => self.owners_read(view),
            Frame::AskFormerOwner { stream, instance } => {
                self.ask_former_owner(now, link, (stream, &instance), fx);
            }
        }
    }

    fn runner_of_link(&mut self, link: LinkKey) -> Option<&mut crate::runners::Runner> {
        let key = self.runners.of_link(link)?;
        self.runners.get_mut(key)
    }

    /// Finds the call of a stream, if the stream belongs to the link.
    pub(crate) fn call_on(
        &self,
        link: LinkKey,
        stream: egretstage_wire::StreamId,
    ) -> Option<CallKey> {
        let key = self.calls.of_stream(stream)?;
        let sent = self.calls.get(key)?.sent?;
        (sent.link == link).then_some(key)
    }

    fn head(&mut self, link: LinkKey, head: AnswerHead, fx: &mut Vec<EntryEffect>) {
        let Some(key) = self.call_on(link, head.stream) else {
            return;
        };
        let call = self.calls.get_mut(key).expect("the call was just found");
        if std::mem::replace(&mut call.head_passed, true) {
            return;
        }
        let content_type = head.content_type.as_deref();
        call.streamed = content_type.is_some_and(|t| t.starts_with(EVENT_STREAM));
        let part = AnswerPart::Head {
            status: head.status,
            content_type: head.content_type,
        };
        fx.push(EntryEffect::Answer { call: key, part });
    }

    fn chunk(&mut self, link: LinkKey, chunk: Chunk, fx: &mut Vec<EntryEffect>) {
        let Some(key) = self.call_on(link, chunk.stream) else {
            return;
        };
        let call = self.calls.get_mut(key).expect("the call was just found");
        if !call.head_passed || chunk.offset != call.received_bytes {
            fx.push(EntryEffect::Close(link));
            return;
        }
        call.received_bytes += chunk.bytes.len() as u64;
        if call.streamed {
            call.events += count_events(&chunk.bytes);
        }
        call.received_chunks += 1;
        self.first_token(key);
        let part = AnswerPart::Bytes(chunk.bytes);
        fx.push(EntryEffect::Answer { call: key, part });
    }

    /// Notes that an answer has begun, so that its prefill is done.
    fn first_token(&mut self, key: CallKey) {
        let call = self.calls.get_mut(key);
        if let Some(sent) = call.and_then(|call| call.sent.as_mut())
            && let Some(runner) = self.runners.get_mut(sent.runner)
        {
            runner.tracker.first_token(&mut sent.work);
        }
    }

    fn end(&mut self, now: Instant, link: LinkKey, end: &StreamEnd, fx: &mut Vec<EntryEffect>) {
        let Some(key) = self.call_on(link, end.stream) else {
            return;
        };
        let call = self.calls.get(key).expect("the call was just found");
        let whole = call.head_passed && call.received_bytes == end.body_bytes;
        match end.outcome {
            Outcome::Completed if whole => {
                self.router.completed(call);
                self.release(key, CallResult::Completed);
                self.finish(key, AnswerPart::End, fx);
            }
            Outcome::Completed => self.lost(now, key, UnknownReason::AnswerForgotten, fx),
            Outcome::NotRun {
                reason,
                retry_after_ms,
            } => self.not_run(now, key, reason, retry_after_ms, fx),
            Outcome::Unknown { reason } => self.lost(now, key, reason, fx),
        }
    }

    /// Ends a call with its final answer part.
    pub(crate) fn finish(&mut self, key: CallKey, part: AnswerPart, fx: &mut Vec<EntryEffect>) {
        self.release(key, CallResult::Neutral);
        if self.calls.remove(key).is_some() {
            fx.push(EntryEffect::Answer { call: key, part });
        }
    }

    /// Gives back the place that a call has at its runner.
    pub(crate) fn release(&mut self, key: CallKey, result: CallResult) {
        let sent = self.calls.get(key).and_then(|call| call.sent);
        if let Some(sent) = sent
            && let Some(runner) = self.runners.get_mut(sent.runner)
        {
            runner.tracker.ended(sent.work, result);
        }
        self.calls.set_sent(key, None);
    }

    /// Handles a call that was proved not to have run: sends it elsewhere or
    /// refuses it.
    fn not_run(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: NotRunReason,
        retry_after_ms: Option<u64>,
        fx: &mut Vec<EntryEffect>,
    ) {
        let retry_after = retry_after_ms.map(Duration::from_millis);
        self.note_refusal(now, key, reason, retry_after);
        let result = match reason {
            NotRunReason::UpstreamUnreachable => CallResult::Failed,
            _ => CallResult::Neutral,
        };
        self.release(key, result);
        if self
            .calls
            .get(key)
            .is_some_and(|call| call.digest.is_some())
        {
            self.keyed_not_run(now, key, reason, fx);
            return;
        }
        let elsewhere = matches!(
            reason,
            NotRunReason::Leaving | NotRunReason::UpstreamUnreachable | NotRunReason::Overloaded
        );
        let planned = reason == NotRunReason::Leaving;
        if elsewhere && self.may_retry(now, key) && (planned || self.take_retry(key)) {
            self.route(now, key, fx);
            return;
        }
        self.refuse_call(key, reason, retry_after, fx);
    }

    /// Remembers that an upstream has no place for an organisation for a time.
    fn note_refusal(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: NotRunReason,
        retry_after: Option<Duration>,
    ) {
        let (Some(call), Some(time)) = (self.calls.get(key), retry_after) else {
            return;
        };
        if let Some(sent) = call.sent.filter(|_| reason == NotRunReason::Overloaded)
            && let Some(runner) = self.runners.get_mut(sent.runner)
        {
            runner.tracker.refused(now, &call.organisation, time);
        }
    }

    pub(crate) fn may_retry(&self, now: Instant, key: CallKey) -> bool {
        let max_attempts = self.router.limits().max_attempts;
        self.calls.get(key).is_some_and(|call| {
            !call.head_passed && call.attempts < max_attempts && call.deadline > now
        })
    }

    /// Takes a retry from the budget of the call's service.
    fn take_retry(&mut self, key: CallKey) -> bool {
        let call = self.calls.get(key);
        call.is_some_and(|call| self.router.take_retry(&call.service))
    }

    /// Handles a call whose answer is lost: sends it again if that is allowed.
    pub(crate) fn lost(
        &mut self,
        now: Instant,
        key: CallKey,
        reason: UnknownReason,
        fx: &mut Vec<EntryEffect>,
    ) {
        self.release(key, CallResult::Failed);
        let never_arrived = reason == UnknownReason::AnswerForgotten;
        let may_retry = self.may_retry(now, key) || never_arrived;
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.doubt = Some(reason);
        let (head_passed, repeatable) = (call.head_passed, call.repeatable);
        let keyed = call.digest.is_some();
        if head_passed {
            self.finish(key, AnswerPart::Cut, fx);
        } else if keyed {
            self.keyed_unknown(key, reason, fx);
        } else if repeatable && may_retry && self.take_retry(key) {
            self.route(now, key, fx);
        } else {
            let refusal = Refusal {
                kind: RefusalKind::Unknown(reason),
                retry_after: None,
            };
            self.finish(key, AnswerPart::Refused(refusal), fx);
        }
    }

    fn cancel_upstream(&self, key: CallKey, fx: &mut Vec<EntryEffect>) {
        if let Some(sent) = self.calls.get(key).and_then(|call| call.sent) {
            fx.push(EntryEffect::Send {
                link: sent.link,
                frame: Frame::Cancel(sent.stream),
            });
        }
    }

    fn caller_gone(&mut self, key: CallKey, fx: &mut Vec<EntryEffect>) {
        self.cancel_upstream(key, fx);
        self.release(key, CallResult::Neutral);
        self.calls.remove(key);
    }

    fn caller_read(&mut self, key: CallKey, chunks: u32, fx: &mut Vec<EntryEffect>) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.read_chunks += chunks;
        if let Some(sent) = call.sent {
            fx.push(EntryEffect::Send {
                link: sent.link,
                frame: Frame::Credit {
                    stream: sent.stream,
                    chunks,
                },
            });
        }
    }

    fn expire(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        while let Some(key) = self.calls.expired(now) {
            self.cancel_upstream(key, fx);
            let call = self.calls.get(key).expect("an expired call is known");
            let part = if call.head_passed {
                AnswerPart::Cut
            } else {
                let kind = match call.sent {
                    Some(_) => RefusalKind::Unknown(UnknownReason::DeadlinePassed),
                    None => call.refusal(NotRunReason::DeadlinePassed),
                };
                AnswerPart::Refused(Refusal {
                    kind,
                    retry_after: call.digest.map(|_| EXPIRED_RETRY_AFTER),
                })
            };
            self.release(key, CallResult::Failed);
            self.finish(key, part, fx);
        }
    }

    fn stop(&mut self, now: Instant) {
        if self.stopping == Stopping::No {
            self.stopping = Stopping::NotReady {
                until: now + self.router.limits().not_ready_grace,
            };
        }
    }

    fn work_status(&self) -> WorkStatus {
        let (configured, stopping) = (self.configuration.is_some(), self.stopping != Stopping::No);
        WorkStatus {
            ready: self.ready,
            not_ready_because: not_ready_because(configured, self.listed, stopping),
            runners: self.runners.iter().map(|(_, r)| runner_status(r)).collect(),
            ..WorkStatus::default()
        }
    }

    /// Does what follows every event: readiness, dials, the planned stop.
    fn settle(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        for (instance, address) in self.runners.take_dials(now) {
            fx.push(EntryEffect::Dial { instance, address });
        }
        let ready = self.configuration.is_some() && self.listed && self.stopping == Stopping::No;
        if ready != self.ready {
            self.ready = ready;
            fx.push(EntryEffect::Ready(ready));
        }
        if self.status.take_due(now) {
            let status = self.work_status();
            let changed = self.status.changed(status).map(Box::new);
            fx.extend(changed.map(EntryEffect::Status));
        }
        if let Stopping::NotReady { until } = self.stopping
            && until <= now
        {
            self.stopping = Stopping::Draining;
            fx.push(EntryEffect::StopListening);
        }
    }
}

impl Reducer for EntryReducer {
    type Event = EntryEvent;
    type Effect = EntryEffect;

    fn reduce(&mut self, now: Instant, event: EntryEvent, fx: &mut Vec<EntryEffect>) {
        match event {
            EntryEvent::Arrived(req) => self.arrived(now, req, fx),
            EntryEvent::CallerRead { call, chunks } => self.caller_read(call, chunks, fx),
            EntryEvent::CallerGone(call) => self.caller_gone(call, fx),
            EntryEvent::Listed(listed) => {
                self.listed = true;
                self.runners.update(now, listed);
                let surplus = self.runners.surplus_links(now);
                fx.extend(surplus.into_iter().map(EntryEffect::Close));
                self.check_owners(now, fx);
            }
            EntryEvent::Configured { configuration, .. } => {
                self.configuration = Some(configuration);
            }
            EntryEvent::ConfigurationIncomplete => self.configuration = None,
            EntryEvent::LinkUp { link, hello } => {
                let incarnation = hello.incarnation;
                match self.runners.link_up(link, &hello.instance, incarnation) {
                    Some(runner) => self.resume_calls(now, link, runner, fx),
                    None => fx.push(EntryEffect::Close(link)),
                }
            }
            EntryEvent::LinkDown { link } => self.link_down(now, link, fx),
            EntryEvent::DialFailed { instance } => self.runners.dial_failed(now, &instance),
            EntryEvent::Frame { link, frame } => self.frame(now, link, frame, fx),
            EntryEvent::Stop => self.stop(now),
        }
        self.settle(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        self.expire(now, fx);
        self.end_waits(now, fx);
        self.settle(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let stop = match self.stopping {
            Stopping::NotReady { until } => Some(until),
            _ => None,
        };
        [
            self.calls.next_deadline(),
            self.calls.next_wait(),
            self.runners.next_dial(),
            self.status.next_due(),
            stop,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

/// What a call is told when its configuration can't be read.
const UNREADABLE: RefusalKind = RefusalKind::NotRun(NotRunReason::ConfigurationUnreadable);

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

//! The life cycle of calls, from arrival to end.

mod ending;
mod moving;
mod placing;
mod timeouts;

use super::Dispatcher;
use crate::groups::GroupLoad;
use crate::waiting::{Objective, QueueClass};
use crate::{
    CallHead, CallKey, DecisionLine, DispatchEffect, PromptParts, Refusal, RefusalKind,
    RequestHash, Route, RouteMissing, UpstreamKey, Urgency,
};
use compact_str::CompactString;
use egretstage_wire::{OrganisationName, RequestId, ServiceName};
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Retry delay for callers of an entry without configuration, and of a service
/// without ready upstreams.
const UNREADY_DELAY: Duration = Duration::from_millis(700);

/// Retry delay for callers of an entry that is stopping: another entry takes
/// their calls at once.
const STOPPING_DELAY: Duration = Duration::from_millis(20);

/// Maximum retry delay as a share of the remaining budget: callers don't return
/// after a longer delay.
const MAX_RETRY_DELAY_SHARE: f32 = 0.32;

/// State of a call.
#[derive(Clone, Copy, Debug)]
enum Phase {
    Waiting,
    Running {
        upstream: UpstreamKey,
        since: Instant,
    },
}

/// A call that has not ended.
#[derive(Clone, Debug)]
pub(super) struct Call {
    head: CallHead,
    content: RequestHash,
    route: Arc<Route>,
    service: ServiceName,
    organisation: Option<OrganisationName>,
    urgency: Urgency,
    class: QueueClass,
    arrived: Instant,
    /// When it was last added to the waiting calls.
    waiting_since: Instant,
    expires: Instant,
    objective: Objective,
    phase: Phase,
    /// Number of times that it was sent, without the attempts that ended before a
    /// byte was written.
    attempts: u32,
    /// Number of attempts that ended before a byte was written.
    unsent_attempts: u32,
    /// Upstreams that it was sent to.
    tried: SmallVec<[UpstreamKey; 2]>,
    /// Whether an attempt that has ended may have run it.
    maybe_ran: bool,
    /// Time from the arrival to the first byte of the answer.
    first_byte: Option<Duration>,
    /// When the answer last had an event at the upstream that runs the call.
    last_event: Option<Instant>,
    /// When it was last sent.
    sent_at: Option<Instant>,
    /// Whether its stream went on after the first event.
    has_gone_on: bool,
    /// Number of pauses between two events.
    pauses: u32,
    longest_pause: Duration,
}

impl Call {
    pub(super) fn service(&self) -> &ServiceName {
        &self.service
    }

    pub(super) fn urgency(&self) -> Urgency {
        self.urgency
    }

    pub(super) fn request(&self) -> &RequestId {
        &self.head.request
    }

    pub(super) fn arrived(&self) -> Instant {
        self.arrived
    }

    pub(super) fn class(&self) -> QueueClass {
        self.class
    }

    pub(super) fn is_stream(&self) -> bool {
        self.route.kind.is_stream()
    }

    pub(super) fn expires(&self) -> Instant {
        self.expires
    }

    pub(super) fn content(&self) -> RequestHash {
        self.content
    }

    /// Returns when it was last sent.
    pub(super) fn sent_at(&self) -> Option<Instant> {
        self.sent_at
    }

    pub(super) fn prompt_parts(&self) -> &PromptParts {
        &self.head.prompt_parts
    }

    /// Returns whether an upstream runs the call or may have run it.
    pub(super) fn maybe_runs(&self) -> bool {
        self.maybe_ran || matches!(self.phase, Phase::Running { .. })
    }

    /// Returns whether the upstream that runs the call has generated an event or, unless
    /// the answer is a stream, the answer.
    fn has_answer_of_upstream(&self) -> bool {
        let is_running = matches!(self.phase, Phase::Running { .. });
        is_running && (self.last_event.is_some() || !self.route.kind.is_stream())
    }

    /// Returns whether the call may be sent once more although it may have run.
    fn may_resume(&self) -> bool {
        self.route.kind.is_repeatable() && self.attempts < self.route.max_attempts
    }

    /// Returns whether a part of the answer was passed on already.
    fn is_resumed(&self) -> bool {
        self.route.kind.is_stream() && self.first_byte.is_some()
    }

    /// Returns the upstream that runs the stream, and the time of its last event
    /// there.
    pub(super) fn last_event(&self) -> Option<(UpstreamKey, Instant)> {
        match self.phase {
            Phase::Running { upstream, .. } if self.route.kind.is_stream() => {
                Some((upstream, self.last_event?))
            }
            _ => None,
        }
    }
}

/// Route of an admitted call, with its caller's organisation and its urgency.
struct Admission {
    route: Arc<Route>,
    organisation: Option<OrganisationName>,
    urgency: Urgency,
}

impl Dispatcher {
    pub(super) fn call_arrived(
        &mut self,
        now: Instant,
        key: CallKey,
        head: CallHead,
        content: RequestHash,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let admission = match self.admit(&head) {
            Ok(admission) => admission,
            Err(kind) => {
                let retry_after = (kind.status() == 503).then_some(UNREADY_DELAY);
                let line = self.refusal_line(&head, kind, retry_after);
                fx.push(DispatchEffect::Log(Box::new(line)));
                let refusal = Refusal { kind, retry_after };
                fx.push(DispatchEffect::Refuse { call: key, refusal });
                return;
            }
        };
        let call = self.new_call(now, key, head, content, admission);
        let service = call.service.clone();
        let state = self.service(&service);
        state.arrivals.record(now);
        if let Some(room) = &mut state.room {
            room.record_arrival(now, call.urgency);
        }
        let refusal_kind = self.early_refusal(now, &call);
        self.expiries.insert((call.expires, key));
        self.calls.insert(key, call);
        if let Some(kind) = refusal_kind {
            self.refuse(now, key, kind, fx);
            return;
        }
        self.enqueue(now, key);
        self.start_waiting(now, &service, fx);
        if let Some(call) = self.calls.get(&key)
            && matches!(call.phase, Phase::Waiting)
        {
            fx.extend(self.cold_wait_line(now, call));
        }
    }

    fn admit(&self, head: &CallHead) -> Result<Admission, RefusalKind> {
        let table = self.table.as_ref().ok_or(RefusalKind::Unready)?;
        let route = table.find_route(&head.host, &head.path);
        let route = route.map_err(|missing| match missing {
            RouteMissing::NotConfigured => RefusalKind::NoRoute,
            RouteMissing::Unreadable => RefusalKind::ConfigurationUnreadable,
        })?;
        let organisation = head.api_key.as_deref().and_then(|k| table.organisation(k));
        if organisation.is_none() && table.needs_api_keys() && !route.public {
            return Err(if table.unreadable().has_organisations {
                RefusalKind::ConfigurationUnreadable
            } else {
                RefusalKind::UnknownKey
            });
        }
        let priority = organisation.and_then(|org| org.priority);
        Ok(Admission {
            route: Arc::clone(route),
            organisation: organisation.map(|org| org.name.clone()),
            urgency: Urgency::new(priority, route.priority),
        })
    }

    fn new_call(
        &mut self,
        now: Instant,
        key: CallKey,
        head: CallHead,
        content: RequestHash,
        admission: Admission,
    ) -> Call {
        let route = admission.route;
        let budgets = self.budgets.entry(route.name.clone()).or_default();
        let is_returning = budgets.record(head.budget);
        let objective = Objective {
            deadline: now + route.objective,
            time: route.objective,
        };
        Call {
            service: self.choose_service(&route, key),
            organisation: admission.organisation,
            urgency: admission.urgency,
            class: if is_returning {
                QueueClass::Returned
            } else {
                QueueClass::InTime
            },
            arrived: now,
            waiting_since: now,
            expires: now + head.budget.min(route.timeout),
            objective,
            phase: Phase::Waiting,
            attempts: 0,
            unsent_attempts: 0,
            tried: SmallVec::new(),
            maybe_ran: false,
            first_byte: None,
            last_event: None,
            sent_at: None,
            has_gone_on: false,
            pauses: 0,
            longest_pause: Duration::ZERO,
            head,
            content,
            route,
        }
    }

    /// Chooses a service of a route at random, by the configured weights.
    fn choose_service(&self, route: &Route, key: CallKey) -> ServiceName {
        let total: u64 = route.services.iter().map(|s| u64::from(s.weight)).sum();
        let seed = (self.incarnation ^ key.0).to_le_bytes();
        let mut remainder = rapidhash::v3::rapidhash_v3(&seed) % total.max(1);
        for choice in &route.services {
            let weight = u64::from(choice.weight);
            if remainder < weight {
                return choice.service.clone();
            }
            remainder -= weight;
        }
        route.services[0].service.clone()
    }

    /// Returns the refusal for a new call that can't be served in time.
    fn early_refusal(&mut self, now: Instant, call: &Call) -> Option<RefusalKind> {
        if self.is_too_late(now, call) {
            return Some(RefusalKind::Stopping);
        }
        if let Some((kind, _)) = self.harmful_refusal(now, call) {
            return Some(kind);
        }
        if self.upstreams.ready(now, &call.service).next().is_none() {
            return Some(RefusalKind::NoUpstream);
        }
        // A group may accept calls again at any moment, but for a caller with time
        // left a later retry is better than waiting for that. A returning caller waits:
        // the starts of the last seconds don't tell how many calls the group will take.
        if self.no_group_accepts_calls(now, &call.service) {
            let is_first = call.class == QueueClass::InTime;
            return is_first.then_some(RefusalKind::NoUpstream);
        }
        if self.is_too_slow_for(now, call) {
            return Some(RefusalKind::TooSlow);
        }
        let max_wait = self.max_wait(call);
        if self
            .wait_for_limited_start(now, call)
            .is_some_and(|wait| wait > max_wait)
        {
            return Some(RefusalKind::NoRoom);
        }
        let (urgency, class) = (call.urgency, call.class);
        let service = self.service(&call.service);
        let ahead = service.waiting.ahead_of(urgency, class);
        let wait = service.start_rate.time_for(now, ahead);
        (ahead > 0 && wait.is_some_and(|wait| wait > max_wait)).then_some(RefusalKind::NoRoom)
    }

    /// Returns whether each group that could run a stream has a slow rank and isn't
    /// expected to generate the answer before the call expires.
    fn is_too_slow_for(&self, now: Instant, call: &Call) -> bool {
        let Some(state) = self.services.get(&call.service) else {
            return false;
        };
        if !call.route.kind.is_stream() || call.is_resumed() {
            return false;
        }
        let remaining = call.expires.saturating_duration_since(now);
        let is_too_slow = |load: &GroupLoad| {
            let time = state.groups.slow_answer_time(load, call.head.prompt);
            time.is_some_and(|time| time > remaining)
        };
        let loads = self.group_loads(now, &call.service);
        !loads.is_empty() && loads.iter().all(is_too_slow)
    }

    /// Returns the longest time that a call may wait, from its arrival.
    fn max_wait(&self, call: &Call) -> Duration {
        let budget = call.expires.saturating_duration_since(call.arrived);
        if call.route.kind.is_stream() {
            self.limits.max_stream_wait.min(budget)
        } else {
            budget.mul_f32(0.6)
        }
    }

    pub(super) fn first_byte(&mut self, now: Instant, key: CallKey, fx: &mut Vec<DispatchEffect>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let since_arrival = now.saturating_duration_since(call.arrived);
        call.first_byte.get_or_insert(since_arrival);
        call.last_event = Some(now);
        if let Phase::Running { upstream, since } = call.phase {
            let latency = now.saturating_duration_since(since);
            let service = call.service.clone();
            self.service(&service).first_byte_latency.record(latency);
            self.upstreams.record_answer(upstream, latency, false);
            self.group_answered(upstream, fx);
            self.group_resumed(upstream, fx);
        }
    }

    pub(super) fn pause_ended(
        &mut self,
        now: Instant,
        key: CallKey,
        pause: Duration,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let goes_on = call.last_event.is_some();
        let is_first_time = goes_on && !std::mem::replace(&mut call.has_gone_on, goes_on);
        call.pauses += 1;
        call.longest_pause = call.longest_pause.max(pause);
        call.last_event = Some(now);
        let phase = call.phase;
        if is_first_time {
            self.clear_call(key);
        }
        let Phase::Running { upstream, .. } = phase else {
            return;
        };
        self.group_resumed(upstream, fx);
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let Some(upstream) = self.upstreams.get(upstream) else {
            return;
        };
        let service = call.service.clone();
        let loads = self.group_loads(now, &service);
        if let Some(load) = loads.iter().find(|load| load.group == upstream.group()) {
            self.service(&service)
                .groups
                .observe_pause(now, pause, load);
        }
    }

    /// Detaches a call from the upstream that runs it, and returns that upstream.
    fn release_upstream(&mut self, key: CallKey) -> Option<UpstreamKey> {
        let call = self.calls.get_mut(&key)?;
        let Phase::Running { upstream, .. } = call.phase else {
            return None;
        };
        call.phase = Phase::Waiting;
        call.last_event = None;
        self.load_changed = true;
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.own_calls = upstream.own_calls.saturating_sub(1);
        }
        Some(upstream)
    }

    pub(super) fn call_ended(
        &mut self,
        now: Instant,
        key: CallKey,
        whole: bool,
        fx: &mut Vec<DispatchEffect>,
    ) {
        if whole {
            self.record_stream(now, key);
            if let Some(call) = self.calls.get(&key)
                && call.has_answer_of_upstream()
            {
                self.clear_call(key);
            }
        }
        let upstream = self.release_upstream(key);
        let upstream = upstream.and_then(|upstream| self.upstreams.get(upstream));
        let instance = upstream.map(|upstream| upstream.listed.instance.clone());
        if let Some(call) = self.remove_call(key) {
            let has_pauses = call.longest_pause > Duration::ZERO;
            fx.push(DispatchEffect::Log(Box::new(DecisionLine {
                verb: "end",
                request: Some(call.head.request),
                upstream: instance,
                reason: Some(if whole { "whole" } else { "caller-gone" }),
                attempts: Some(call.attempts),
                age_ms: Some(millis(now.saturating_duration_since(call.arrived))),
                first_byte_ms: call.first_byte.map(millis),
                longest_pause_ms: has_pauses.then(|| millis(call.longest_pause)),
                ..DecisionLine::default()
            })));
            self.start_waiting(now, &call.service, fx);
        }
    }

    /// Records the duration and the number of events of a stream that completed.
    fn record_stream(&mut self, now: Instant, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let (Some((upstream, _)), Phase::Running { since, .. }) = (call.last_event(), call.phase)
        else {
            return;
        };
        let service = call.service.clone();
        let events = call.pauses + 1;
        if let Some(upstream) = self.upstreams.get(upstream) {
            let group = CompactString::from(upstream.group());
            let duration = now.saturating_duration_since(since);
            let groups = &mut self.service(&service).groups;
            groups.record_stream(&group, duration, events);
        }
    }

    /// Removes a call from all indexes.
    fn remove_call(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(&key)?;
        self.expiries.remove(&(call.expires, key));
        self.service(&call.service).waiting.remove(key);
        Some(call)
    }
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

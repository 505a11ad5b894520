//! What happens to calls.

mod ending;
mod placing;

use super::Dispatcher;
use crate::waiting::{Freshness, Objective};
use crate::{
    CallHead, CallKey, DecisionLine, DispatchEffect, Refusal, RefusalKind, Route, UpstreamKey,
};
use compact_str::CompactString;
use egretstage_wire::{OrganisationName, ServiceName};
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Delay for callers of an entry that knows no configuration yet, and for
/// those of a service without any upstream.
const UNREADY_DELAY: Duration = Duration::from_millis(700);

/// Delay for callers of an entry that stops: another one takes them at once.
const STOPPING_DELAY: Duration = Duration::from_millis(20);

/// Share of the remaining budget that callers accept as a delay.
const MAX_DELAY_SHARE: f32 = 0.32;

/// How far a call is.
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
    route: Arc<Route>,
    service: ServiceName,
    organisation: Option<OrganisationName>,
    priority: u8,
    freshness: Freshness,
    arrived: Instant,
    expires: Instant,
    objective: Objective,
    phase: Phase,
    attempts: u32,
    unsent: u32,
    tried: SmallVec<[UpstreamKey; 2]>,
    maybe_ran: bool,
    /// Time from the arrival to the first byte of the answer.
    first_byte: Option<Duration>,
    /// When the stream last showed an event at the upstream that runs it.
    last_event: Option<Instant>,
    longest_pause: Duration,
}

impl Call {
    pub(super) fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the upstream that runs the stream, and when it last showed an
    /// event there.
    pub(super) fn last_event(&self) -> Option<(UpstreamKey, Instant)> {
        match self.phase {
            Phase::Running { upstream, .. } if self.route.kind.is_stream() => {
                Some((upstream, self.last_event?))
            }
            _ => None,
        }
    }
}

/// Who calls, as far as the configuration tells.
struct Admitted {
    route: Arc<Route>,
    organisation: Option<OrganisationName>,
    priority: u8,
}

impl Dispatcher {
    pub(super) fn arrived(
        &mut self,
        now: Instant,
        key: CallKey,
        head: CallHead,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let admitted = match self.admit(&head) {
            Ok(admitted) => admitted,
            Err(kind) => {
                let retry_after = (kind.status() == 503).then_some(UNREADY_DELAY);
                let line = self.refusal_line(&head, kind, retry_after);
                fx.push(DispatchEffect::Log(Box::new(line)));
                let refusal = Refusal { kind, retry_after };
                fx.push(DispatchEffect::Refuse { call: key, refusal });
                return;
            }
        };
        let call = self.new_call(now, key, head, admitted);
        let service = call.service.clone();
        let refused = self.hopeless(now, &call);
        self.expiries.insert((call.expires, key));
        self.calls.insert(key, call);
        if let Some(kind) = refused {
            self.refuse(now, key, kind, fx);
            return;
        }
        self.enqueue(key);
        self.pump(now, &service, fx);
    }

    fn admit(&self, head: &CallHead) -> Result<Admitted, RefusalKind> {
        let table = self.table.as_ref().ok_or(RefusalKind::Unready)?;
        let route = table.route(&head.host, &head.path);
        let route = route.ok_or(RefusalKind::NoRoute)?;
        let organisation = head.api_key.as_deref().and_then(|k| table.organisation(k));
        if organisation.is_none() && table.needs_api_keys() && !route.public {
            return Err(RefusalKind::UnknownKey);
        }
        let priority = organisation.and_then(|org| org.priority);
        Ok(Admitted {
            route: Arc::clone(route),
            organisation: organisation.map(|org| org.name.clone()),
            priority: priority.unwrap_or(route.priority),
        })
    }

    fn new_call(&mut self, now: Instant, key: CallKey, head: CallHead, by: Admitted) -> Call {
        let route = by.route;
        let budgets = self.budgets.entry(route.name.clone()).or_default();
        let returned = budgets.is_returned(head.budget);
        let objective = Objective {
            at: now + route.objective,
            time: route.objective,
        };
        Call {
            service: self.choose_service(&route, key),
            organisation: by.organisation,
            priority: by.priority,
            freshness: if returned {
                Freshness::Returned
            } else {
                Freshness::InTime
            },
            arrived: now,
            expires: now + head.budget.min(route.timeout),
            objective,
            phase: Phase::Waiting,
            attempts: 0,
            unsent: 0,
            tried: SmallVec::new(),
            maybe_ran: false,
            first_byte: None,
            last_event: None,
            longest_pause: Duration::ZERO,
            head,
            route,
        }
    }

    /// Chooses a service of a route by the operator's weights.
    fn choose_service(&self, route: &Route, key: CallKey) -> ServiceName {
        let total: u64 = route.services.iter().map(|s| u64::from(s.weight)).sum();
        let seed = (self.incarnation ^ key.0).to_le_bytes();
        let mut drawn = rapidhash::v3::rapidhash_v3(&seed) % total.max(1);
        for choice in &route.services {
            let weight = u64::from(choice.weight);
            if drawn < weight {
                return choice.service.clone();
            }
            drawn -= weight;
        }
        route.services[0].service.clone()
    }

    /// Tells why a new call can't be served, if that is known already.
    fn hopeless(&mut self, now: Instant, call: &Call) -> Option<RefusalKind> {
        if call.route.kind.is_stream() && self.is_too_late_for_streams(now) {
            return Some(RefusalKind::Stopping);
        }
        if self.upstreams.ready(now, &call.service).next().is_none() {
            return Some(RefusalKind::NoUpstream);
        }
        // It may open at any moment, but a caller with time left does better to
        // come back than to wait for it.
        if call.freshness == Freshness::InTime && self.all_closed(now, &call.service) {
            return Some(RefusalKind::NoUpstream);
        }
        let longest = self.max_wait(call);
        let (priority, freshness) = (call.priority, call.freshness);
        let service = self.service(&call.service);
        let ahead = service.waiting.ahead_of(priority, freshness);
        let wait = service.starts.time_for(now, ahead);
        (ahead > 0 && wait.is_some_and(|wait| wait > longest)).then_some(RefusalKind::NoRoom)
    }

    /// Returns how long a call may wait in all.
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
        let passed = now.saturating_duration_since(call.arrived);
        call.first_byte.get_or_insert(passed);
        call.last_event = Some(now);
        if let Phase::Running { upstream, since } = call.phase {
            let after = now.saturating_duration_since(since);
            let service = call.service.clone();
            self.service(&service).first_answer.began(after);
            self.upstreams.answered(upstream, after, false);
            self.group_answered(upstream, fx);
            self.group_goes_on(upstream, fx);
        }
    }

    /// A stream has shown no event for long: moves it if that helps its caller.
    pub(super) fn silent(&mut self, now: Instant, key: CallKey, fx: &mut Vec<DispatchEffect>) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if let Phase::Running { upstream, .. } = call.phase
            && self.is_better_moved(now, upstream)
        {
            fx.push(DispatchEffect::Abandon { call: key });
        }
    }

    pub(super) fn pause(
        &mut self,
        now: Instant,
        key: CallKey,
        pause: Duration,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.longest_pause = call.longest_pause.max(pause);
        call.last_event = Some(now);
        let Phase::Running { upstream, .. } = call.phase else {
            return;
        };
        self.group_goes_on(upstream, fx);
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let Some(upstream) = self.upstreams.get(upstream) else {
            return;
        };
        let service = call.service.clone();
        let loads = self.loads(now, &service);
        if let Some(load) = loads.iter().find(|load| load.group == upstream.group()) {
            self.service(&service).groups.observe(now, pause, load);
        }
    }

    /// Frees the upstream that runs a call.
    fn release(&mut self, key: CallKey) -> Option<UpstreamKey> {
        let call = self.calls.get_mut(&key)?;
        let Phase::Running { upstream, .. } = call.phase else {
            return None;
        };
        call.phase = Phase::Waiting;
        call.last_event = None;
        self.changed = true;
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.own_calls = upstream.own_calls.saturating_sub(1);
        }
        Some(upstream)
    }

    pub(super) fn ended(
        &mut self,
        now: Instant,
        key: CallKey,
        whole: bool,
        fx: &mut Vec<DispatchEffect>,
    ) {
        if whole {
            self.note_life(now, key);
        }
        self.release(key);
        if let Some(call) = self.forget(key) {
            let streamed = call.longest_pause > Duration::ZERO;
            fx.push(DispatchEffect::Log(Box::new(DecisionLine {
                verb: "end",
                request: Some(call.head.request),
                reason: Some(if whole { "whole" } else { "caller-gone" }),
                attempts: Some(call.attempts),
                age_ms: Some(millis(now.saturating_duration_since(call.arrived))),
                first_byte_ms: call.first_byte.map(millis),
                longest_pause_ms: streamed.then(|| millis(call.longest_pause)),
                ..DecisionLine::default()
            })));
            self.pump(now, &call.service, fx);
        }
    }

    /// Notes how long a stream ran that ends whole.
    fn note_life(&mut self, now: Instant, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let (Some((upstream, _)), Phase::Running { since, .. }) = (call.last_event(), call.phase)
        else {
            return;
        };
        let service = call.service.clone();
        if let Some(upstream) = self.upstreams.get(upstream) {
            let group = CompactString::from(upstream.group());
            let time = now.saturating_duration_since(since);
            self.service(&service).groups.stream_lasted(&group, time);
        }
    }

    fn forget(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(&key)?;
        self.expiries.remove(&(call.expires, key));
        self.service(&call.service).waiting.remove(key);
        Some(call)
    }

    /// Ends the calls whose time is up.
    pub(super) fn expire(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        while let Some((at, key)) = self.expiries.first().copied() {
            if at > now {
                return;
            }
            self.expiries.remove(&(at, key));
            let Some(call) = self.calls.get(&key) else {
                continue;
            };
            let runs = matches!(call.phase, Phase::Running { .. });
            let kind = if runs || call.maybe_ran {
                RefusalKind::ExpiredUnknown
            } else {
                RefusalKind::ExpiredNotRun
            };
            self.refuse(now, key, kind, fx);
        }
    }

    /// Moves overdue calls back and refuses those that have waited too long.
    pub(super) fn look_at_waiting(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        for service in self.services.values_mut() {
            service.waiting.settle(now, &service.first_answer);
        }
        let waits = self
            .calls
            .iter()
            .filter(|(_, c)| matches!(c.phase, Phase::Waiting));
        let too_long = waits
            .filter(|(_, call)| now.saturating_duration_since(call.arrived) >= self.max_wait(call));
        let too_long: SmallVec<[CallKey; 8]> = too_long.map(|(key, _)| *key).collect();
        self.refuse_waiting(now, too_long, RefusalKind::NoRoom, fx);
        let hopeless = self.without_upstream_in_time(now);
        self.refuse_waiting(now, hopeless, RefusalKind::NoUpstream, fx);
        self.pump_all(now, fx);
    }

    /// Returns the waiting calls whose upstreams have all said that they take
    /// none in the time that the calls have left.
    fn without_upstream_in_time(&self, now: Instant) -> SmallVec<[CallKey; 8]> {
        let waiting = self.services.iter().filter(|(_, s)| !s.waiting.is_empty());
        let stated = waiting.filter_map(|(service, _)| {
            let at = self.stated_return(now, service)?;
            Some((service, at))
        });
        let stated: SmallVec<[(&ServiceName, Instant); 2]> = stated.collect();
        let hopeless = |call: &Call| {
            let of_service = stated.iter().find(|(service, _)| **service == call.service);
            let waits = matches!(call.phase, Phase::Waiting);
            waits && of_service.is_some_and(|(_, at)| *at >= call.arrived + self.max_wait(call))
        };
        let calls = self.calls.iter();
        let hopeless = calls.filter(|(_, call)| hopeless(call));
        hopeless.map(|(key, _)| *key).collect()
    }

    /// Refuses waiting calls, the first ones first.
    fn refuse_waiting(
        &mut self,
        now: Instant,
        mut keys: SmallVec<[CallKey; 8]>,
        kind: RefusalKind,
        fx: &mut Vec<DispatchEffect>,
    ) {
        keys.sort_unstable();
        for key in keys {
            let ran = self.calls.get(&key).is_some_and(|call| call.maybe_ran);
            let kind = if ran { RefusalKind::Unknown } else { kind };
            self.refuse(now, key, kind, fx);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

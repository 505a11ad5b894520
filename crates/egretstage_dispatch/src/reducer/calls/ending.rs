//! Ends of attempts, and refusals of calls.

use super::{Call, MAX_RETRY_DELAY_SHARE, STOPPING_DELAY, UNREADY_DELAY, millis};
use crate::attempts::{NextStep, next_step};
use crate::reducer::Dispatcher;
use crate::{
    AttemptEnd, CallHead, CallKey, DecisionLine, DispatchEffect, NotRunCause, Refusal, RefusalKind,
    UnknownCause,
};
use compact_str::ToCompactString;
use egretstage_wire::RequestId;
use std::time::{Duration, Instant};

/// Shortest retry delay for callers of groups that accept no calls or are too slow, as
/// a share of the longest. Callers return at times spread between the two instead of all at
/// one moment.
const MIN_RETRY_DELAY_SHARE: f32 = 0.75;

/// Longest time from the end of a back-off request to a caller's return; the
/// callers' returns are spread over its last quarter.
const MAX_BACK_OFF_OVERRUN: Duration = Duration::from_millis(400);

/// Returns whether the upstream ended while it ran the call.
fn is_upstream_ended(end: AttemptEnd) -> bool {
    let cause = UnknownCause::UpstreamEnded;
    end == AttemptEnd::Unknown { cause }
}

/// Returns the share of the longest retry delay that a caller gets, derived from a
/// hash of its request's identifier.
fn retry_delay_share(request: &RequestId) -> f32 {
    let hash = rapidhash::v3::rapidhash_v3(request.as_str().as_bytes()) >> 48;
    let fraction = f32::from(u16::try_from(hash).unwrap_or(u16::MAX)) / f32::from(u16::MAX);
    MIN_RETRY_DELAY_SHARE + (1.0 - MIN_RETRY_DELAY_SHARE) * fraction
}

impl Dispatcher {
    /// Handles an attempt that ended without an answer to pass on.
    pub(in crate::reducer) fn attempt_ended(
        &mut self,
        now: Instant,
        key: CallKey,
        end: AttemptEnd,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let upstream = self.release_upstream(key);
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let called_upstream = upstream.and_then(|upstream| self.upstreams.get(upstream));
        fx.push(DispatchEffect::Log(Box::new(DecisionLine {
            verb: "attempt",
            request: Some(call.head.request.clone()),
            upstream: called_upstream.map(|upstream| upstream.listed.instance.clone()),
            reason: Some(end.reason()),
            attempts: Some(call.attempts),
            prompt_parts: is_upstream_ended(end).then(|| {
                let parts = call.head.prompt_parts.iter();
                let parts: Vec<String> = parts.map(ToString::to_string).collect();
                parts.join(" ").into()
            }),
            content: is_upstream_ended(end).then(|| call.content.to_compact_string()),
            ..DecisionLine::default()
        })));
        if let AttemptEnd::NotSent { .. } = end {
            call.attempts -= 1;
            call.unsent_attempts += 1;
        }
        let maybe_ran = matches!(end, AttemptEnd::Unknown { .. } | AttemptEnd::Failure { .. });
        let step = next_step(&call.route, &end, call.attempts, call.maybe_ran);
        call.maybe_ran |= maybe_ran;
        let too_many_unsent = call.unsent_attempts > self.limits.max_unsent_attempts;
        let is_full = matches!(
            end,
            AttemptEnd::NotRun {
                cause: NotRunCause::Full
            }
        );
        let is_moved = matches!(
            end,
            AttemptEnd::Unknown {
                cause: UnknownCause::SlowRank
            }
        );
        if let Some(upstream) = upstream
            && !is_full
            && !is_moved
        {
            self.upstreams.record_answer(upstream, Duration::ZERO, true);
        }
        if is_full && let Some(upstream) = upstream {
            self.upstreams.record_full(upstream);
            self.group_refused(now, upstream, fx);
        }
        let is_misdirected = matches!(
            end,
            AttemptEnd::NotRun {
                cause: NotRunCause::OtherUpstream
            }
        );
        if is_misdirected && let Some(upstream) = upstream {
            self.upstreams.record_misdirected(now, upstream);
        }
        if is_upstream_ended(end)
            && let Some(upstream) = upstream
        {
            self.record_upstream_end(now, key, upstream, fx);
        }
        let step = match step {
            NextStep::Retry if self.must_not_repeat(now, key, end) => self.unanswered_step(key),
            NextStep::Retry if too_many_unsent => self.unanswered_step(key),
            NextStep::Retry if !self.take_retry(key, end) => self.step_without_retry(key, end),
            step => step,
        };
        match step {
            NextStep::Retry => self.retry(now, key, fx),
            NextStep::EndNotRun => self.refuse(now, key, RefusalKind::NoUpstream, fx),
            NextStep::EndUnknown => self.refuse(now, key, RefusalKind::Unknown, fx),
            NextStep::EndWithAnswer => fx.push(DispatchEffect::PassOn { call: key }),
        }
    }

    /// Returns whether a call may end the next upstream as well.
    fn must_not_repeat(&self, now: Instant, key: CallKey, end: AttemptEnd) -> bool {
        self.calls.get(&key).is_some_and(|call| {
            let is_suspect = is_upstream_ended(end) && self.is_suspect(call);
            is_suspect || self.harmful_refusal(now, call).is_some()
        })
    }

    /// Returns the step that ends a call without an upstream's answer.
    pub(super) fn unanswered_step(&self, key: CallKey) -> NextStep {
        match self.calls.get(&key) {
            Some(call) if call.maybe_ran => NextStep::EndUnknown,
            _ => NextStep::EndNotRun,
        }
    }

    /// Takes a retry from the service's budget, unless nothing was sent; returns
    /// whether the call may be sent again.
    pub(super) fn take_retry(&mut self, key: CallKey, end: AttemptEnd) -> bool {
        let Some(call) = self.calls.get(&key) else {
            return false;
        };
        let service = call.service.clone();
        matches!(end, AttemptEnd::NotSent { .. }) || self.service(&service).retry_budget.try_take()
    }

    /// Returns the step that ends a call when the retry budget is used up.
    pub(super) fn step_without_retry(&self, key: CallKey, end: AttemptEnd) -> NextStep {
        match end {
            AttemptEnd::Failure { .. } => NextStep::EndWithAnswer,
            _ => self.unanswered_step(key),
        }
    }

    /// Lets a call wait again, or refuses it if its service has no ready upstream.
    pub(super) fn retry(&mut self, now: Instant, key: CallKey, fx: &mut Vec<DispatchEffect>) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let service = call.service.clone();
        if self.upstreams.ready(now, &service).next().is_none() {
            let kind = if call.maybe_ran {
                RefusalKind::Unknown
            } else {
                RefusalKind::NoUpstream
            };
            self.refuse(now, key, kind, fx);
            return;
        }
        self.enqueue(now, key);
        self.start_waiting(now, &service, fx);
    }

    /// Ends a call without an upstream's answer.
    pub(in crate::reducer) fn refuse(
        &mut self,
        now: Instant,
        key: CallKey,
        kind: RefusalKind,
        fx: &mut Vec<DispatchEffect>,
    ) {
        self.release_upstream(key);
        let Some(call) = self.remove_call(key) else {
            return;
        };
        let retry_after = self.retry_after(now, &call, kind);
        let age = now.saturating_duration_since(call.arrived);
        let mut line = self.refusal_line(&call.head, kind, retry_after);
        let (running, bound) = self.running_and_bound(now, &call.service);
        line.running = Some(running);
        line.bound = (bound != u32::MAX).then_some(bound);
        line.waiting = Some(self.service(&call.service).waiting.len());
        line.age_ms = Some(millis(age));
        line.attempts = Some(call.attempts);
        line.peers_age_ms = self.peers.oldest_age(now).map(millis);
        line.route = Some(call.route.name.clone());
        line.service = Some(call.service.clone());
        fx.push(DispatchEffect::Log(Box::new(line)));
        let refusal = Refusal { kind, retry_after };
        fx.push(DispatchEffect::Refuse { call: key, refusal });
        self.start_waiting(now, &call.service, fx);
    }

    /// Returns the log line of a refusal.
    pub(super) fn refusal_line(
        &self,
        head: &CallHead,
        kind: RefusalKind,
        retry_after: Option<Duration>,
    ) -> DecisionLine {
        DecisionLine {
            verb: "refuse",
            request: Some(head.request.clone()),
            reason: Some(kind.into()),
            retry_after_ms: retry_after.map(millis),
            configuration: self.table.as_ref().map(|table| table.version()),
            ..DecisionLine::default()
        }
    }

    /// Returns the delay after which a refused caller may retry; `None` if it
    /// shouldn't.
    pub(super) fn retry_after(
        &mut self,
        now: Instant,
        call: &Call,
        kind: RefusalKind,
    ) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(call.arrived);
        let remaining = call.head.budget.saturating_sub(elapsed);
        let max_delay = remaining.mul_f32(MAX_RETRY_DELAY_SHARE);
        match kind {
            RefusalKind::NoRoom | RefusalKind::ExpiredNotRun => {
                let limited_wait = self.wait_for_limited_start(now, call);
                let limited_interval = self.limited_start_interval(now, &call.service);
                let service = self.service(&call.service);
                let interval = limited_interval.or_else(|| service.start_rate.time_for(now, 1));
                // The actual delay, even if it is longer than callers accept.
                let earliest = limited_wait.unwrap_or_default();
                let max_delay = max_delay.max(earliest);
                let slots = &mut service.retry_slots;
                Some(slots.assign(now, interval, earliest, max_delay))
            }
            RefusalKind::NoUpstream if self.back_off_until(now, &call.service).is_some() => {
                // The actual delay, even if it is longer than callers accept.
                let until = self.back_off_until(now, &call.service);
                let wait = until.map(|at| at.saturating_duration_since(now));
                wait.map(|wait| {
                    wait + MAX_BACK_OFF_OVERRUN.mul_f32(retry_delay_share(&call.head.request))
                })
            }
            RefusalKind::NoUpstream if self.no_group_accepts_calls(now, &call.service) => {
                Some(max_delay.mul_f32(retry_delay_share(&call.head.request)))
            }
            RefusalKind::HarmfulPart | RefusalKind::HarmfulRequest => {
                self.harmful_refusal(now, call).map(|(_, time)| time)
            }
            // Ranks are slow for seconds, so the longest delay is the best.
            RefusalKind::TooSlow => Some(max_delay.mul_f32(retry_delay_share(&call.head.request))),
            RefusalKind::NoUpstream
            | RefusalKind::Unready
            | RefusalKind::ConfigurationUnreadable => Some(UNREADY_DELAY.min(max_delay)),
            RefusalKind::Stopping => Some(STOPPING_DELAY),
            RefusalKind::NoRoute
            | RefusalKind::UnknownKey
            | RefusalKind::ExpiredUnknown
            | RefusalKind::Unknown => None,
        }
    }
}

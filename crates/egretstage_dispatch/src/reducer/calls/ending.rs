//! How attempts end, and calls without an upstream's answer.

use super::{Call, MAX_DELAY_SHARE, STOPPING_DELAY, UNREADY_DELAY, millis};
use crate::attempts::{NextStep, next_step};
use crate::reducer::Dispatcher;
use crate::{
    AttemptEnd, CallHead, CallKey, DecisionLine, DispatchEffect, NotRunCause, Refusal, RefusalKind,
};
use egretstage_wire::RequestId;
use std::time::{Duration, Instant};

/// Share of the longest delay after which the first callers of a closed group
/// come back: the others follow until the longest, not all at one moment.
const EARLIEST_RETURN_SHARE: f32 = 0.75;

/// Time over which callers return after upstreams want calls again.
const RETURN_SPREAD: Duration = Duration::from_millis(400);

/// Returns the share of the longest delay after which a caller comes back.
fn spread(request: &RequestId) -> f32 {
    let drawn = rapidhash::v3::rapidhash_v3(request.as_str().as_bytes()) >> 48;
    let drawn = f32::from(u16::try_from(drawn).unwrap_or(u16::MAX)) / f32::from(u16::MAX);
    EARLIEST_RETURN_SHARE + (1.0 - EARLIEST_RETURN_SHARE) * drawn
}

impl Dispatcher {
    pub(in crate::reducer) fn attempt_ended(
        &mut self,
        now: Instant,
        key: CallKey,
        end: AttemptEnd,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let upstream = self.release(key);
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let called = upstream.and_then(|upstream| self.upstreams.get(upstream));
        fx.push(DispatchEffect::Log(Box::new(DecisionLine {
            verb: "attempt",
            request: Some(call.head.request.clone()),
            upstream: called.map(|upstream| upstream.listed.instance.clone()),
            reason: Some(end.reason()),
            attempts: Some(call.attempts),
            ..DecisionLine::default()
        })));
        if let AttemptEnd::NotSent { .. } = end {
            call.attempts -= 1;
            call.unsent += 1;
        }
        let ran = matches!(end, AttemptEnd::Unknown { .. } | AttemptEnd::Failure { .. });
        let step = next_step(&call.route, &end, call.attempts, call.maybe_ran);
        call.maybe_ran |= ran;
        let out_of_tries = call.unsent > self.limits.max_unsent;
        let full = matches!(
            end,
            AttemptEnd::NotRun {
                cause: NotRunCause::Full
            }
        );
        if let Some(upstream) = upstream
            && !full
        {
            self.upstreams.answered(upstream, Duration::ZERO, true);
        }
        if full && let Some(upstream) = upstream {
            self.group_refused(now, upstream, fx);
        }
        let disowned = matches!(
            end,
            AttemptEnd::NotRun {
                cause: NotRunCause::OtherUpstream
            }
        );
        if disowned && let Some(upstream) = upstream {
            self.upstreams.disowned(now, upstream);
        }
        let step = match step {
            NextStep::Retry if out_of_tries => self.give_up(key),
            NextStep::Retry if !self.may_retry(key, end) => self.without_retry(key, end),
            step => step,
        };
        match step {
            NextStep::Retry => self.send_again(now, key, fx),
            NextStep::EndNotRun => self.refuse(now, key, RefusalKind::NoUpstream, fx),
            NextStep::EndUnknown => self.refuse(now, key, RefusalKind::Unknown, fx),
            NextStep::EndWithAnswer => fx.push(DispatchEffect::PassOn { call: key }),
        }
    }

    pub(super) fn give_up(&self, key: CallKey) -> NextStep {
        match self.calls.get(&key) {
            Some(call) if call.maybe_ran => NextStep::EndUnknown,
            _ => NextStep::EndNotRun,
        }
    }

    /// Takes a retry from the service's budget, unless nothing was sent.
    pub(super) fn may_retry(&mut self, key: CallKey, end: AttemptEnd) -> bool {
        let Some(call) = self.calls.get(&key) else {
            return false;
        };
        let service = call.service.clone();
        matches!(end, AttemptEnd::NotSent { .. }) || self.service(&service).retries.try_take()
    }

    pub(super) fn without_retry(&self, key: CallKey, end: AttemptEnd) -> NextStep {
        match end {
            AttemptEnd::Failure { .. } => NextStep::EndWithAnswer,
            _ => self.give_up(key),
        }
    }

    pub(super) fn send_again(&mut self, now: Instant, key: CallKey, fx: &mut Vec<DispatchEffect>) {
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
        self.enqueue(key);
        self.pump(now, &service, fx);
    }

    /// Ends a call without an upstream's answer.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        key: CallKey,
        kind: RefusalKind,
        fx: &mut Vec<DispatchEffect>,
    ) {
        self.release(key);
        let Some(call) = self.forget(key) else {
            return;
        };
        let retry_after = self.retry_after(now, &call, kind);
        let waited = now.saturating_duration_since(call.arrived);
        let mut line = self.refusal_line(&call.head, kind, retry_after);
        let (running, bound) = self.room(now, &call.service);
        line.running = Some(running);
        line.bound = (bound != u32::MAX).then_some(bound);
        line.waiting = Some(self.service(&call.service).waiting.len());
        line.age_ms = Some(millis(waited));
        line.attempts = Some(call.attempts);
        line.peers_age_ms = self.peers.oldest(now).map(millis);
        line.route = Some(call.route.name.clone());
        line.service = Some(call.service.clone());
        fx.push(DispatchEffect::Log(Box::new(line)));
        let refusal = Refusal { kind, retry_after };
        fx.push(DispatchEffect::Refuse { call: key, refusal });
        self.pump(now, &call.service, fx);
    }

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

    pub(super) fn retry_after(
        &mut self,
        now: Instant,
        call: &Call,
        kind: RefusalKind,
    ) -> Option<Duration> {
        let spent = now.saturating_duration_since(call.arrived);
        let left = call.head.budget.saturating_sub(spent);
        let longest = left.mul_f32(MAX_DELAY_SHARE);
        match kind {
            RefusalKind::NoRoom | RefusalKind::ExpiredNotRun => {
                let service = self.service(&call.service);
                let interval = service.starts.time_for(now, 1);
                Some(service.returns.assign(now, interval, longest))
            }
            RefusalKind::NoUpstream if self.stated_return(now, &call.service).is_some() => {
                // The true time, also when it is beyond the caller's reach.
                let stated = self.stated_return(now, &call.service);
                let wait = stated.map(|at| at.saturating_duration_since(now));
                wait.map(|wait| wait + RETURN_SPREAD.mul_f32(spread(&call.head.request)))
            }
            RefusalKind::NoUpstream if self.all_closed(now, &call.service) => {
                Some(longest.mul_f32(spread(&call.head.request)))
            }
            RefusalKind::NoUpstream | RefusalKind::Unready => Some(UNREADY_DELAY.min(longest)),
            RefusalKind::Stopping => Some(STOPPING_DELAY),
            RefusalKind::NoRoute
            | RefusalKind::UnknownKey
            | RefusalKind::ExpiredUnknown
            | RefusalKind::Unknown => None,
        }
    }
}

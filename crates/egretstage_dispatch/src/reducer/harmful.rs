//! Refuses calls that end upstreams: those whose prompts have a harmful part, and harmful
//! requests.

use super::Dispatcher;
use super::calls::Call;
use crate::harmful_requests::RunEnd;
use crate::{
    CallKey, DecisionLine, DispatchEffect, PromptPart, RefusalKind, RequestHash, UpstreamKey,
    UpstreamStart, UpstreamState,
};
use compact_str::ToCompactString;
use smallvec::SmallVec;
use std::time::{Duration, Instant};

impl Dispatcher {
    /// Records that an upstream ended while it ran a call, unless it was leaving.
    pub(super) fn record_upstream_end(
        &mut self,
        now: Instant,
        key: CallKey,
        upstream: UpstreamKey,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let (Some(call), Some(upstream)) = (self.calls.get(&key), self.upstreams.get(upstream))
        else {
            return;
        };
        let is_leaving =
            upstream.listed.state == UpstreamState::Draining || upstream.signals.is_leaving();
        if is_leaving {
            return;
        }
        let upstream = UpstreamStart::from(&upstream.listed);
        let parts = call.prompt_parts();
        let parts = self.harmful_parts.record_end(now, upstream, parts);
        let mut requests = SmallVec::<[RequestHash; 1]>::new();
        if let Some(began) = call.sent_at() {
            let end = RunEnd {
                upstream,
                began,
                at: now,
            };
            if self.harmful_requests.record_end(call.content(), end) {
                requests.push(call.content());
            }
        }
        self.refuse_harmful(now, &parts, &requests, fx);
    }

    /// Returns the refusal of a call that is harmful, and how long it counts as that.
    pub(super) fn harmful_refusal(
        &self,
        now: Instant,
        call: &Call,
    ) -> Option<(RefusalKind, Duration)> {
        let part = self.harmful_parts.harmful_for(now, call.prompt_parts());
        let request = self.harmful_requests.harmful_for(now, call.content());
        match (part, request) {
            (Some(time), _) => Some((RefusalKind::HarmfulPart, time)),
            (None, Some(time)) => Some((RefusalKind::HarmfulRequest, time)),
            (None, None) => None,
        }
    }

    /// Records that an upstream has answered a call, or that its stream went on after the
    /// first event: neither its request nor its prompt's parts end upstreams.
    pub(super) fn clear_call(&mut self, key: CallKey) {
        if let Some(call) = self.calls.get(&key) {
            self.harmful_parts.clear(call.prompt_parts());
            self.harmful_requests.clear(call.content());
        }
    }

    /// Returns whether a call may end the next upstream as well, after an attempt at whose
    /// end the upstream had ended.
    pub(super) fn is_suspect(&self, call: &Call) -> bool {
        self.harmful_parts.is_suspect(call.prompt_parts())
            || !self.harmful_requests.is_cleared(call.content())
    }

    /// Refuses the calls that have become harmful with these prompt parts and requests, but
    /// for those whose answers have begun.
    pub(super) fn refuse_harmful(
        &mut self,
        now: Instant,
        parts: &[PromptPart],
        requests: &[RequestHash],
        fx: &mut Vec<DispatchEffect>,
    ) {
        if parts.is_empty() && requests.is_empty() {
            return;
        }
        for part in parts {
            fx.push(DispatchEffect::Log(Box::new(DecisionLine {
                verb: "part",
                reason: Some("harmful"),
                prompt_parts: Some(part.to_compact_string()),
                ..DecisionLine::default()
            })));
        }
        for request in requests {
            fx.push(DispatchEffect::Log(Box::new(DecisionLine {
                verb: "request",
                reason: Some("harmful"),
                content: Some(request.to_compact_string()),
                ..DecisionLine::default()
            })));
        }
        let calls = self.calls.iter();
        let calls = calls.filter(|(_, call)| call.last_event().is_none());
        let calls = calls.filter_map(|(key, call)| {
            let (kind, _) = self.harmful_refusal(now, call)?;
            Some((call.maybe_runs(), *key, kind))
        });
        let mut calls: SmallVec<[(bool, CallKey, RefusalKind); 8]> = calls.collect();
        // The waiting ones come first: a call that ends starts the next one.
        calls.sort_unstable_by_key(|(maybe_runs, key, _)| (*maybe_runs, *key));
        for (maybe_runs, key, kind) in calls {
            let kind = if maybe_runs {
                RefusalKind::Unknown
            } else {
                kind
            };
            self.refuse(now, key, kind, fx);
        }
    }
}

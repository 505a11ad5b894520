//! Refuses calls whose prompts have a harmful part.

use super::Dispatcher;
use crate::{
    CallKey, DecisionLine, DispatchEffect, PromptPart, RefusalKind, UpstreamKey, UpstreamStart,
    UpstreamState,
};
use compact_str::ToCompactString;
use smallvec::SmallVec;
use std::time::Instant;

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
        let end = UpstreamStart::from(&upstream.listed);
        let parts = call.prompt_parts();
        let harmful = self.harmful_parts.record_end(now, end, parts);
        self.refuse_harmful(now, &harmful, fx);
    }

    /// Refuses the calls with parts that have become harmful, but for those whose
    /// answers have begun.
    pub(super) fn refuse_harmful(
        &mut self,
        now: Instant,
        harmful: &[PromptPart],
        fx: &mut Vec<DispatchEffect>,
    ) {
        if harmful.is_empty() {
            return;
        }
        for part in harmful {
            fx.push(DispatchEffect::Log(Box::new(DecisionLine {
                verb: "part",
                reason: Some("harmful"),
                prompt_parts: Some(part.to_compact_string()),
                ..DecisionLine::default()
            })));
        }
        let calls = self.calls.iter();
        let calls = calls.filter(|(_, call)| {
            let harmful_for = self.harmful_parts.harmful_for(now, call.prompt_parts());
            harmful_for.is_some() && call.last_event().is_none()
        });
        let calls = calls.map(|(key, call)| (call.maybe_runs(), *key));
        let mut calls: SmallVec<[(bool, CallKey); 8]> = calls.collect();
        // The waiting ones come first: a call that ends starts the next one.
        calls.sort_unstable();
        for (maybe_runs, key) in calls {
            let kind = if maybe_runs {
                RefusalKind::Unknown
            } else {
                RefusalKind::HarmfulPart
            };
            self.refuse(now, key, kind, fx);
        }
    }
}

//! Starts at cold upstreams, and the log lines about them.

use super::Dispatcher;
use super::calls::{Call, millis};
use crate::{ColdChange, DecisionLine, DispatchEffect, ListedUpstream};
use egretstage_wire::ServiceName;
use std::time::Instant;

impl Dispatcher {
    /// Applies an upstream's record, before it replaces the one that is known.
    pub(super) fn record_cold(&mut self, now: Instant, listed: &ListedUpstream) {
        if let Some(known) = self.upstreams.find(&listed.instance)
            && !known.listed.is_same_start(listed)
        {
            self.cold_starts.record_unlisted(&known.listed);
        }
        self.cold_starts.record_listed(now, listed);
    }

    /// Logs which upstreams have turned cold or warm.
    pub(super) fn log_cold_changes(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        let changes = self.cold_starts.remove_expired(now);
        fx.extend(changes.into_iter().map(change_line));
    }

    /// Returns whether a cold upstream of a service has a free slot, but no start for this
    /// entry.
    fn has_slot_without_start(&self, now: Instant, service: &ServiceName) -> bool {
        self.cold_starts.is_active(now)
            && self.upstreams.ready(now, service).any(|(_, upstream)| {
                upstream.calls() < upstream.listed.slots
                    && self.cold_starts.starts_left(now, upstream.start()) == Some(0)
            })
    }

    /// Returns the log line of a new call that waits although a cold upstream has a free
    /// slot.
    pub(super) fn cold_wait_line(&self, now: Instant, call: &Call) -> Option<DispatchEffect> {
        let service = call.service();
        self.has_slot_without_start(now, service).then(|| {
            DispatchEffect::Log(Box::new(DecisionLine {
                verb: "wait",
                request: Some(call.request().clone()),
                service: Some(service.clone()),
                reason: Some("cold"),
                age_ms: Some(millis(now.saturating_duration_since(call.arrived()))),
                ..DecisionLine::default()
            }))
        })
    }
}

fn change_line(change: ColdChange) -> DispatchEffect {
    let reason = match (change.cold_for, change.is_listed) {
        (Some(_), _) => "cold",
        (None, true) => "warm",
        (None, false) => "cold-gone",
    };
    DispatchEffect::Log(Box::new(DecisionLine {
        verb: "upstream",
        upstream: Some(change.instance),
        service: Some(change.service),
        reason: Some(reason),
        cold_ms: change.cold_for.map(millis),
        cold_upstreams: Some(change.cold_upstreams),
        ..DecisionLine::default()
    }))
}

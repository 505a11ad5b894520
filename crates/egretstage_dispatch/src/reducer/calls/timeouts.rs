//! Refusals of calls that have expired or waited too long.

use super::{Call, Phase};
use crate::reducer::Dispatcher;
use crate::{CallKey, DispatchEffect, RefusalKind};
use egretstage_wire::ServiceName;
use smallvec::SmallVec;
use std::time::Instant;

impl Dispatcher {
    /// Ends the calls that have expired.
    pub(in crate::reducer) fn end_expired_calls(
        &mut self,
        now: Instant,
        fx: &mut Vec<DispatchEffect>,
    ) {
        while let Some((at, key)) = self.expiries.first().copied() {
            if at > now {
                return;
            }
            self.expiries.remove(&(at, key));
            let Some(call) = self.calls.get(&key) else {
                continue;
            };
            let is_running = matches!(call.phase, Phase::Running { .. });
            let kind = if is_running || call.maybe_ran {
                RefusalKind::ExpiredUnknown
            } else {
                RefusalKind::ExpiredNotRun
            };
            self.refuse(now, key, kind, fx);
        }
    }

    /// Demotes overdue calls, and refuses calls that have waited too long, that slow
    /// ranks can't answer before they expire, or whose upstreams have asked for no
    /// calls until the end of their wait.
    pub(in crate::reducer) fn check_waiting_calls(
        &mut self,
        now: Instant,
        fx: &mut Vec<DispatchEffect>,
    ) {
        for service in self.services.values_mut() {
            service
                .waiting
                .demote_overdue(now, &service.first_byte_latency);
        }
        let waiting = self
            .calls
            .iter()
            .filter(|(_, c)| matches!(c.phase, Phase::Waiting));
        let waiting_from = |call: &Call| {
            if call.is_resumed() {
                call.waiting_since
            } else {
                call.arrived
            }
        };
        let too_long = waiting.filter(|(_, call)| {
            now.saturating_duration_since(waiting_from(call)) >= self.max_wait(call)
        });
        let too_long: SmallVec<[CallKey; 8]> = too_long.map(|(key, _)| *key).collect();
        self.refuse_waiting(now, too_long, RefusalKind::NoRoom, fx);
        let waiting = self
            .calls
            .iter()
            .filter(|(_, c)| matches!(c.phase, Phase::Waiting));
        let too_slow = waiting.filter(|(_, call)| self.is_too_slow_for(now, call));
        let too_slow: SmallVec<[CallKey; 8]> = too_slow.map(|(key, _)| *key).collect();
        self.refuse_waiting(now, too_slow, RefusalKind::TooSlow, fx);
        let backed_off = self.waiting_within_back_off(now);
        self.refuse_waiting(now, backed_off, RefusalKind::NoUpstream, fx);
        self.start_all_waiting(now, fx);
    }

    /// Refuses the waiting calls of services whose last ready upstreams were in evacuated
    /// zones. Where others only ask for no calls for a while, the calls wait for the end.
    pub(in crate::reducer) fn refuse_waiting_without_upstream(
        &mut self,
        now: Instant,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let waiting = self.services.iter().filter(|(_, s)| !s.waiting.is_empty());
        let is_stranded = |name: &ServiceName| {
            self.upstreams.ready(now, name).next().is_none()
                && self.upstreams.emptied(now, name).next().is_some()
                && self.back_off_until(now, name).is_none()
        };
        let stranded = waiting.filter(|(name, _)| is_stranded(name));
        let stranded: SmallVec<[ServiceName; 4]> = stranded.map(|(name, _)| name.clone()).collect();
        let calls = self.calls.iter().filter(|(_, call)| {
            matches!(call.phase, Phase::Waiting) && stranded.contains(&call.service)
        });
        let calls: SmallVec<[CallKey; 8]> = calls.map(|(key, _)| *key).collect();
        self.refuse_waiting(now, calls, RefusalKind::NoUpstream, fx);
    }

    /// Returns the waiting calls whose upstreams have all asked for no calls until at
    /// least the end of the calls' longest wait.
    fn waiting_within_back_off(&self, now: Instant) -> SmallVec<[CallKey; 8]> {
        let waiting = self.services.iter().filter(|(_, s)| !s.waiting.is_empty());
        let back_offs = waiting.filter_map(|(service, _)| {
            let until = self.back_off_until(now, service)?;
            Some((service, until))
        });
        let back_offs: SmallVec<[(&ServiceName, Instant); 2]> = back_offs.collect();
        let is_within = |call: &Call| {
            let back_off = back_offs
                .iter()
                .find(|(service, _)| **service == call.service);
            let is_waiting = matches!(call.phase, Phase::Waiting);
            is_waiting
                && back_off.is_some_and(|(_, until)| *until >= call.arrived + self.max_wait(call))
        };
        let calls = self.calls.iter();
        let within = calls.filter(|(_, call)| is_within(call));
        within.map(|(key, _)| *key).collect()
    }

    /// Refuses waiting calls in the order of their keys, so that the order is
    /// deterministic.
    fn refuse_waiting(
        &mut self,
        now: Instant,
        mut keys: SmallVec<[CallKey; 8]>,
        kind: RefusalKind,
        fx: &mut Vec<DispatchEffect>,
    ) {
        keys.sort_unstable();
        for key in keys {
            let maybe_ran = self.calls.get(&key).is_some_and(|call| call.maybe_ran);
            let kind = if maybe_ran {
                RefusalKind::Unknown
            } else {
                kind
            };
            self.refuse(now, key, kind, fx);
        }
    }
}

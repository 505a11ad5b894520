//! How waiting calls get to upstreams.

use super::{Phase, millis};
use crate::groups::GroupLoad;
use crate::reducer::Dispatcher;
use crate::{Attempt, CallKey, DecisionLine, DispatchEffect, UpstreamKey, placement};
use compact_str::CompactString;
use egretstage_wire::ServiceName;
use smallvec::SmallVec;
use std::time::Instant;

impl Dispatcher {
    pub(super) fn enqueue(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.phase = Phase::Waiting;
        let (priority, freshness) = (call.priority, call.freshness);
        let (arrived, objective) = (call.arrived, call.objective);
        let service = call.service.clone();
        let waiting = &mut self.service(&service).waiting;
        waiting.push(key, priority, freshness, arrived, objective);
    }

    pub(in crate::reducer) fn pump_all(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        let waits = self.services.iter().filter(|(_, s)| !s.waiting.is_empty());
        let names: SmallVec<[ServiceName; 4]> = waits.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.pump(now, &name, fx);
        }
    }

    /// Starts waiting calls as long as there is room.
    pub(super) fn pump(
        &mut self,
        now: Instant,
        service: &ServiceName,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let state = self.service(service);
        state.waiting.settle(now, &state.first_answer);
        while let Some(key) = self.service(service).waiting.first() {
            let Some(upstream) = self.place(now, service, key) else {
                return;
            };
            let state = self.service(service);
            state.waiting.remove(key);
            state.starts.started(now);
            self.send(now, key, upstream, fx);
        }
    }

    /// Returns the loads of a service's groups.
    pub(in crate::reducer) fn loads(
        &self,
        now: Instant,
        service: &ServiceName,
    ) -> SmallVec<[GroupLoad; 4]> {
        match self.services.get(service) {
            Some(state) => state.groups.loads(now, &self.upstreams, service),
            None => SmallVec::new(),
        }
    }

    /// Returns how many calls a service runs and may run, at all entries.
    pub(super) fn room(&self, now: Instant, service: &ServiceName) -> (u32, u32) {
        self.loads(now, service)
            .iter()
            .fold((0, 0), |(running, bound), load| {
                (running + load.running, bound.saturating_add(load.bound))
            })
    }

    /// Chooses an upstream for a call, if there is room: first a group, then
    /// one of its ranks.
    pub(super) fn place(
        &self,
        now: Instant,
        service: &ServiceName,
        key: CallKey,
    ) -> Option<UpstreamKey> {
        let call = self.calls.get(&key)?;
        let mut loads = self.loads(now, service);
        loads.retain(|load| load.has_room());
        loads.sort_by(GroupLoad::cmp_used);
        let queue = if call.route.kind.is_stream() {
            0
        } else {
            self.limits.plain_queue
        };
        let of_group = |load: &GroupLoad| {
            placement::choose(
                &self.upstreams,
                now,
                service,
                &self.zone,
                &call.tried,
                |upstream| {
                    let room = upstream.listed.slots + queue;
                    if upstream.group() == load.group {
                        room
                    } else {
                        0
                    }
                },
                self.incarnation ^ key.0,
            )
        };
        // The least used group may offer only what the call was sent to already.
        let mut upstreams = loads.iter().filter_map(of_group);
        let first = upstreams.next()?;
        let is_new = |upstream: &UpstreamKey| !call.tried.contains(upstream);
        let new = std::iter::once(first).chain(upstreams).find(is_new);
        Some(new.unwrap_or(first))
    }

    pub(super) fn send(
        &mut self,
        now: Instant,
        key: CallKey,
        upstream: UpstreamKey,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let (running, bound) = match self.calls.get(&key) {
            Some(call) => self.room(now, &call.service),
            None => return,
        };
        let (Some(call), Some(target)) =
            (self.calls.get_mut(&key), self.upstreams.get_mut(upstream))
        else {
            return;
        };
        target.own_calls += 1;
        self.changed = true;
        call.phase = Phase::Running {
            upstream,
            since: now,
        };
        call.attempts += 1;
        call.tried.push(upstream);
        let line = DecisionLine {
            verb: if call.attempts == 1 { "place" } else { "retry" },
            request: Some(call.head.request.clone()),
            route: Some(call.route.name.clone()),
            organisation: call.organisation.clone(),
            service: Some(call.service.clone()),
            upstream: Some(target.listed.instance.clone()),
            reason: Some(call.freshness.into()),
            attempts: Some(call.attempts),
            running: Some(running),
            bound: (bound != u32::MAX).then_some(bound),
            age_ms: Some(millis(now.saturating_duration_since(call.arrived))),
            configuration: self.table.as_ref().map(|table| table.version()),
            peers_age_ms: self.peers.oldest(now).map(millis),
            ..DecisionLine::default()
        };
        let attempt = Box::new(Attempt {
            upstream,
            instance: target.listed.instance.clone(),
            address: target.listed.address,
            expires: call.expires,
            organisation: call.organisation.clone(),
            streams: call.route.kind.is_stream(),
            repeatable: call.route.kind.is_repeatable(),
            number: call.attempts,
        });
        let first = call.attempts == 1;
        let service = call.service.clone();
        let group = CompactString::from(target.group());
        let state = self.service(&service);
        if first {
            state.retries.record_request();
        }
        state.groups.tried(now, &group);
        fx.push(DispatchEffect::Log(Box::new(line)));
        fx.push(DispatchEffect::Send { call: key, attempt });
    }
}

//! Placement of waiting calls at upstreams.

use super::{Call, Phase, millis};
use crate::groups::GroupLoad;
use crate::reducer::Dispatcher;
use crate::waiting::QueueClass;
use crate::{Attempt, CallKey, DecisionLine, DispatchEffect, UpstreamKey, placement};
use compact_str::CompactString;
use egretstage_wire::ServiceName;
use smallvec::SmallVec;
use std::time::Instant;

impl Dispatcher {
    /// Adds a call to the waiting calls of its service.
    pub(super) fn enqueue(&mut self, now: Instant, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.phase = Phase::Waiting;
        call.waiting_since = now;
        let urgency = call.urgency;
        let class = if call.is_resumed() {
            QueueClass::Resumed
        } else {
            call.class
        };
        let (arrived, objective) = (call.arrived, call.objective);
        let service = call.service.clone();
        let waiting = &mut self.service(&service).waiting;
        waiting.push(key, urgency, class, arrived, objective);
    }

    /// Starts waiting calls of all services as long as there is capacity.
    pub(in crate::reducer) fn start_all_waiting(
        &mut self,
        now: Instant,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let waiting = self.services.iter().filter(|(_, s)| !s.waiting.is_empty());
        let names: SmallVec<[ServiceName; 4]> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.start_waiting(now, &name, fx);
        }
    }

    /// Starts waiting calls of a service as long as there is capacity.
    pub(super) fn start_waiting(
        &mut self,
        now: Instant,
        service: &ServiceName,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let state = self.service(service);
        state.waiting.demote_overdue(now, &state.first_byte_latency);
        while let Some(key) = self.service(service).next_to_start(now) {
            let upstream = self.choose_upstream(now, service, key);
            let urgency = self.calls.get(&key).map(|call| call.urgency);
            let state = self.service(service);
            let Some(upstream) = upstream else {
                if let Some(room) = &mut state.room
                    && let Some((most_urgent, _)) = state.waiting.first_of_each_urgency().next()
                {
                    room.record_wait(now, most_urgent);
                }
                return;
            };
            if let Some((room, urgency)) = state.room.as_mut().zip(urgency) {
                room.record_start(now, urgency);
            }
            state.waiting.remove(key);
            state.start_rate.record_start(now);
            self.send(now, key, upstream, fx);
        }
    }

    /// Returns the loads of a service's groups.
    pub(in crate::reducer) fn group_loads(
        &self,
        now: Instant,
        service: &ServiceName,
    ) -> SmallVec<[GroupLoad; 4]> {
        let Some(state) = self.services.get(service) else {
            return SmallVec::new();
        };
        let mut loads = state.groups.loads(now, &self.upstreams, service);
        for load in &mut loads {
            self.apply_limits(now, service, load);
        }
        loads
    }

    /// Leaves room in groups for calls that are more urgent than one of a service.
    fn keep_room(&self, now: Instant, call: &Call, loads: &mut [GroupLoad]) {
        let state = self.services.get(&call.service);
        let Some(room) = state.and_then(|state| state.room.as_ref()) else {
            return;
        };
        if room.is_owed_start(now, call.urgency) {
            return;
        }
        let share = room.share(now, call.urgency);
        let bounded = loads.iter_mut().filter(|load| load.is_bounded());
        for load in bounded {
            load.bound = part_of(load.bound, share);
        }
    }

    /// Logs when room begins or ends to be kept for more urgent calls.
    pub(in crate::reducer) fn log_kept_room(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        for (name, state) in &mut self.services {
            let is_kept = state.room.as_ref().is_some_and(|room| room.is_kept(now));
            if std::mem::replace(&mut state.was_room_kept, is_kept) != is_kept {
                fx.push(DispatchEffect::Log(Box::new(DecisionLine {
                    verb: "room",
                    service: Some(name.clone()),
                    reason: Some(if is_kept { "kept" } else { "open" }),
                    waiting: Some(state.waiting.len()),
                    ..DecisionLine::default()
                })));
            }
        }
    }

    /// Returns the number of calls that a service runs and that it may run, over
    /// all entries.
    pub(super) fn running_and_bound(&self, now: Instant, service: &ServiceName) -> (u32, u32) {
        self.group_loads(now, service)
            .iter()
            .fold((0, 0), |(running, bound), load| {
                (running + load.running, bound.saturating_add(load.bound))
            })
    }

    /// Chooses an upstream for a call, if there is capacity: first a group, then
    /// one of its ranks.
    pub(super) fn choose_upstream(
        &self,
        now: Instant,
        service: &ServiceName,
        key: CallKey,
    ) -> Option<UpstreamKey> {
        let call = self.calls.get(&key)?;
        let mut loads = self.group_loads(now, service);
        // A stream that moves within a group that is full has freed its place there.
        let is_resumed = call.is_resumed();
        if !is_resumed {
            self.keep_room(now, call, &mut loads);
        }
        let mean = GroupLoad::sum(&loads);
        loads.retain(|load| load.has_capacity() || (is_resumed && load.bound > 0));
        loads.sort_by(GroupLoad::cmp_utilization);
        self.prefer_home_groups(now, service, &mean, &mut loads);
        let max_queue = if call.route.kind.is_stream() {
            0
        } else {
            self.limits.max_plain_queue
        };
        let may_leave = self.may_leave_zone(now, service);
        let choose_in_group = |load: &GroupLoad| {
            placement::choose(
                &self.upstreams,
                now,
                service,
                self.zone_preference(service, load, key),
                &call.tried,
                |upstream| {
                    if upstream.group() != load.group || !self.may_start_at(now, upstream) {
                        return 0;
                    }
                    if !self.is_beyond_zone(upstream) {
                        upstream.listed.slots + max_queue
                    } else if call.tried.is_empty() && !may_leave {
                        0
                    } else {
                        upstream.listed.slots
                    }
                },
                self.incarnation ^ key.0,
            )
        };
        // In the least utilized group, the call may have been sent to all upstreams
        // before.
        let mut upstreams = loads.iter().filter_map(choose_in_group);
        let first = upstreams.next()?;
        let is_untried = |upstream: &UpstreamKey| !call.tried.contains(upstream);
        let untried = std::iter::once(first).chain(upstreams).find(is_untried);
        Some(untried.unwrap_or(first))
    }

    /// Sends a call to an upstream.
    pub(super) fn send(
        &mut self,
        now: Instant,
        key: CallKey,
        upstream: UpstreamKey,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let (running, bound) = match self.calls.get(&key) {
            Some(call) => self.running_and_bound(now, &call.service),
            None => return,
        };
        let (Some(call), Some(target)) =
            (self.calls.get_mut(&key), self.upstreams.get_mut(upstream))
        else {
            return;
        };
        target.own_calls += 1;
        let start = target.start();
        self.load_changed = true;
        call.phase = Phase::Running {
            upstream,
            since: now,
        };
        call.sent_at = Some(now);
        call.attempts += 1;
        call.tried.push(upstream);
        let line = DecisionLine {
            verb: if call.attempts == 1 { "place" } else { "retry" },
            request: Some(call.head.request.clone()),
            route: Some(call.route.name.clone()),
            organisation: call.organisation.clone(),
            service: Some(call.service.clone()),
            upstream: Some(target.listed.instance.clone()),
            reason: Some(call.class.into()),
            attempts: Some(call.attempts),
            running: Some(running),
            bound: (bound != u32::MAX).then_some(bound),
            age_ms: Some(millis(now.saturating_duration_since(call.arrived))),
            configuration: self.table.as_ref().map(|table| table.version()),
            peers_age_ms: self.peers.oldest_age(now).map(millis),
            ..DecisionLine::default()
        };
        let attempt = Box::new(Attempt {
            upstream,
            instance: target.listed.instance.clone(),
            address: target.listed.address,
            expires: call.expires,
            organisation: call.organisation.clone(),
            is_stream: call.route.kind.is_stream(),
            repeatable: call.route.kind.is_repeatable(),
            number: call.attempts,
        });
        let is_first = call.attempts == 1;
        let service = call.service.clone();
        let group = CompactString::from(target.group());
        let state = self.service(&service);
        if is_first {
            state.retry_budget.record_request();
        }
        state.groups.record_sent(now, &group);
        self.take_start(now, start);
        fx.push(DispatchEffect::Log(Box::new(line)));
        fx.push(DispatchEffect::Send { call: key, attempt });
    }
}

/// Returns a part of a bound, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "bounds are small, and the conversion saturates"
)]
fn part_of(bound: u32, share: f32) -> u32 {
    (bound as f32 * share) as u32
}

//! Circuit breakers of model groups, and detection of stalled ones.

use super::Dispatcher;
use crate::group_activity::GroupActivity;
use crate::groups::{GroupLoad, Groups};
use crate::upstream::Upstream;
use crate::{DecisionLine, DispatchEffect, UpstreamKey};
use compact_str::CompactString;
use egretstage_wire::{InstanceId, ServiceName, SlowRanks};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::Instant;

/// Reason why a group is considered able or unable to take calls.
#[derive(Clone, Copy, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum GroupStatusReason {
    /// A rank's record states that the group takes no calls: the circuit opens.
    Broken,
    /// Its ranks refused calls: the circuit opens.
    Refuses,
    /// A rank's record states that the group has re-formed: the circuit closes.
    Formed,
    /// One of its ranks answers a call: the circuit closes.
    Answers,
    /// Its streams have no events: the group has stalled.
    Stands,
    /// One of its streams has an event again: the group has resumed.
    GoesOn,
    /// Its slowest rank is slower than usual, or its slowdown has changed.
    Slow,
    /// All its ranks have their usual speed again.
    UsualSpeed,
}

/// The group that an upstream belongs to, with its service.
struct GroupRef {
    service: ServiceName,
    group: CompactString,
    instance: InstanceId,
}

impl Dispatcher {
    /// Returns whether a rank's record states that its group takes calls; `None`
    /// if the upstream is unknown or has no group.
    pub(super) fn record_accepts_calls(&self, instance: &InstanceId) -> Option<bool> {
        let membership = self.upstreams.find(instance)?.listed.membership.as_ref()?;
        Some(membership.accepts_calls)
    }

    /// Opens or closes the circuit of a group when the record of a rank has
    /// changed.
    ///
    /// An unchanged record is ignored: it may have been written before the group
    /// answered again.
    pub(super) fn update_group_record(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        accepted_before: Option<bool>,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let Some(accepts_calls) = self.record_accepts_calls(instance) else {
            return;
        };
        if accepts_calls == accepted_before.unwrap_or(true) {
            return;
        }
        let Some(group_ref) = self.upstreams.find(instance).map(GroupRef::from) else {
            return;
        };
        let groups = &mut self.service(&group_ref.service).groups;
        if accepts_calls {
            if groups.close_circuit(&group_ref.group) {
                fx.push(group_ref.log_line(GroupStatusReason::Formed));
            }
        } else if groups.open_circuit(now, &group_ref.group) {
            fx.push(group_ref.log_line(GroupStatusReason::Broken));
        }
    }

    /// Records that an upstream refused a call, which provably didn't run.
    pub(super) fn group_refused(
        &mut self,
        now: Instant,
        upstream: UpstreamKey,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let Some(called) = self.upstreams.get(upstream) else {
            return;
        };
        let (group_ref, until) = (GroupRef::from(called), called.signals.back_off_until());
        if self
            .groups_of(&group_ref)
            .record_refusal(now, &group_ref.group, until)
        {
            fx.push(group_ref.log_line(GroupStatusReason::Refuses));
        }
    }

    /// Records that an upstream answers a call.
    pub(super) fn group_answered(&mut self, upstream: UpstreamKey, fx: &mut Vec<DispatchEffect>) {
        if let Some(group_ref) = self.upstreams.get(upstream).map(GroupRef::from)
            && self.groups_of(&group_ref).close_circuit(&group_ref.group)
        {
            fx.push(group_ref.log_line(GroupStatusReason::Answers));
        }
    }

    /// Applies a decider's report of slow ranks, unless a newer one is known.
    pub(super) fn apply_slow_ranks(
        &mut self,
        now: Instant,
        report: &SlowRanks,
        fx: &mut Vec<DispatchEffect>,
    ) {
        if self.slow_ranks.apply(now, report.clone()) {
            self.set_slow_ranks(report, fx);
        }
    }

    /// Sets the slow ranks of a group.
    pub(super) fn set_slow_ranks(&mut self, report: &SlowRanks, fx: &mut Vec<DispatchEffect>) {
        let slowest = report.slowest();
        for service in self.upstreams.set_slow_ranks(report) {
            let of_group = |(_, upstream): &(_, &Upstream)| upstream.group() == report.group;
            let ranks = self.upstreams.iter().filter(of_group).count();
            let groups = &mut self.service(&service).groups;
            if !groups.set_slow_ranks(report, ranks) {
                continue;
            }
            let reason = if slowest.is_slow() {
                GroupStatusReason::Slow
            } else {
                GroupStatusReason::UsualSpeed
            };
            fx.push(group_line(service, report.group.clone(), None, reason));
        }
    }

    /// Returns whether a service has groups, and each of them either has an open
    /// circuit without a trial due, or has stalled.
    pub(super) fn no_group_accepts_calls(&self, now: Instant, service: &ServiceName) -> bool {
        let loads = self.group_loads(now, service);
        let accepts_none =
            |load: &GroupLoad| (load.circuit_open || load.stalled) && load.bound == 0;
        !loads.is_empty() && loads.iter().all(accepts_none)
    }

    /// Detects groups that have stalled.
    pub(super) fn check_stalled_groups(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        let mut stalled: HashMap<ServiceName, SmallVec<[CompactString; 2]>> = HashMap::new();
        for ((service, group), activity) in self.group_activity() {
            if activity.is_stalled(now) {
                stalled.entry(service).or_default().push(group);
            }
        }
        for (service, state) in &mut self.services {
            let groups = stalled.remove(service).unwrap_or_default();
            for group in state.groups.set_stalled(groups) {
                fx.push(group_line(
                    service.clone(),
                    group,
                    None,
                    GroupStatusReason::Stands,
                ));
            }
        }
    }

    /// Returns the activity of each group that runs streams which have had an
    /// event.
    fn group_activity(&self) -> HashMap<(ServiceName, CompactString), GroupActivity> {
        let mut activity: HashMap<_, GroupActivity> = HashMap::new();
        for call in self.calls.values() {
            let Some((upstream, last_event)) = call.last_event() else {
                continue;
            };
            if let Some(upstream) = self.upstreams.get(upstream)
                && !upstream.group().is_empty()
            {
                let group = (
                    call.service().clone(),
                    CompactString::from(upstream.group()),
                );
                activity.entry(group).or_default().add(last_event);
            }
        }
        activity
    }

    /// Records that a stream of a group had an event.
    pub(super) fn group_resumed(&mut self, upstream: UpstreamKey, fx: &mut Vec<DispatchEffect>) {
        if let Some(group_ref) = self.upstreams.get(upstream).map(GroupRef::from)
            && self.groups_of(&group_ref).resume(&group_ref.group)
        {
            fx.push(group_ref.log_line(GroupStatusReason::GoesOn));
        }
    }

    /// Returns whether a silent stream should move to another upstream: its own is
    /// gone or in no group, other streams of its group have events, or another
    /// group has capacity.
    pub(super) fn should_move_stream(&self, now: Instant, upstream: UpstreamKey) -> bool {
        let Some(group_ref) = self.upstreams.get(upstream).map(GroupRef::from) else {
            return true;
        };
        let activity = self.group_activity();
        let group = (group_ref.service.clone(), group_ref.group.clone());
        if group_ref.group.is_empty()
            || activity
                .get(&group)
                .is_some_and(|activity| activity.is_active(now))
        {
            return true;
        }
        let loads = self.group_loads(now, &group_ref.service);
        let mut others = loads.iter().filter(|load| load.group != group_ref.group);
        others.any(|load| load.has_capacity() && !load.circuit_open)
    }

    /// Returns until when the upstreams of a service have asked for no calls, if
    /// none takes them now.
    pub(super) fn back_off_until(&self, now: Instant, service: &ServiceName) -> Option<Instant> {
        if let Some(until) = self.upstreams.back_off_until(now, service) {
            return Some(until);
        }
        if !self.no_group_accepts_calls(now, service) {
            return None;
        }
        let groups = &self.services.get(service)?.groups;
        let loads = self.group_loads(now, service);
        let until = loads.iter().map(|load| groups.back_off_until(&load.group));
        // A group that sent no back-off request may take calls at any moment.
        until.collect::<Option<Vec<Instant>>>()?.into_iter().min()
    }

    fn groups_of(&mut self, group_ref: &GroupRef) -> &mut Groups {
        &mut self.service(&group_ref.service).groups
    }
}

impl From<&crate::upstream::Upstream> for GroupRef {
    fn from(upstream: &crate::upstream::Upstream) -> Self {
        Self {
            service: upstream.listed.service.clone(),
            group: upstream.group().into(),
            instance: upstream.listed.instance.clone(),
        }
    }
}

impl GroupRef {
    fn log_line(self, reason: GroupStatusReason) -> DispatchEffect {
        group_line(self.service, self.group, Some(self.instance), reason)
    }
}

fn group_line(
    service: ServiceName,
    group: CompactString,
    upstream: Option<InstanceId>,
    reason: GroupStatusReason,
) -> DispatchEffect {
    DispatchEffect::Log(Box::new(DecisionLine {
        verb: "group",
        service: Some(service),
        group: Some(group),
        upstream,
        reason: Some(reason.into()),
        ..DecisionLine::default()
    }))
}

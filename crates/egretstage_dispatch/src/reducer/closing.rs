//! What closes model groups and opens them again, and which of them stand.

use super::Dispatcher;
use crate::groups::{GroupLoad, Groups};
use crate::standing::GroupPulse;
use crate::{DecisionLine, DispatchEffect, UpstreamKey};
use compact_str::CompactString;
use egretstage_wire::{InstanceId, ServiceName};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::Instant;

/// Why a group is closed or open from now on.
#[derive(Clone, Copy, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum ClosingReason {
    /// A rank's record says that the group is broken.
    Broken,
    /// Its ranks state that they don't run calls.
    Refuses,
    /// A rank's record says that the group was formed anew.
    Formed,
    /// One of its ranks answers a call.
    Answers,
    /// Its streams show no events.
    Stands,
    /// One of its streams shows an event again.
    GoesOn,
}

/// The group that an upstream belongs to.
struct GroupOf {
    service: ServiceName,
    group: CompactString,
    instance: InstanceId,
}

impl Dispatcher {
    /// Tells whether a rank's record says that its group takes work.
    pub(super) fn says_open(&self, instance: &InstanceId) -> Option<bool> {
        let membership = self.upstreams.find(instance)?.listed.membership.as_ref()?;
        Some(membership.accepts_calls)
    }

    /// Closes or opens a group when the record of a rank has changed.
    ///
    /// Only a change counts: a record that was read before the group answered
    /// again says nothing new.
    pub(super) fn group_listed(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        said_open: Option<bool>,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let Some(says_open) = self.says_open(instance) else {
            return;
        };
        if says_open == said_open.unwrap_or(true) {
            return;
        }
        let Some(of) = self.upstreams.find(instance).map(GroupOf::from) else {
            return;
        };
        let groups = &mut self.service(&of.service).groups;
        if says_open {
            if groups.answered(&of.group) {
                fx.push(of.line(ClosingReason::Formed));
            }
        } else if groups.close(now, &of.group) {
            fx.push(of.line(ClosingReason::Broken));
        }
    }

    /// Notes that an upstream stated that it didn't run a call.
    pub(super) fn group_refused(
        &mut self,
        now: Instant,
        upstream: UpstreamKey,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let Some(called) = self.upstreams.get(upstream) else {
            return;
        };
        let (of, until) = (GroupOf::from(called), called.notices.busy_until());
        if self.groups(&of).refused(now, &of.group, until) {
            fx.push(of.line(ClosingReason::Refuses));
        }
    }

    /// Notes that an upstream runs a call.
    pub(super) fn group_answered(&mut self, upstream: UpstreamKey, fx: &mut Vec<DispatchEffect>) {
        if let Some(of) = self.upstreams.get(upstream).map(GroupOf::from)
            && self.groups(&of).answered(&of.group)
        {
            fx.push(of.line(ClosingReason::Answers));
        }
    }

    /// Tells whether each group of a service is closed, and not to be tried
    /// now, or stands.
    pub(super) fn all_closed(&self, now: Instant, service: &ServiceName) -> bool {
        let loads = self.loads(now, service);
        let takes_none = |load: &GroupLoad| (load.closed || load.stands) && load.bound == 0;
        !loads.is_empty() && loads.iter().all(takes_none)
    }

    /// Looks which groups stand.
    pub(super) fn look_at_groups(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        let mut standing: HashMap<ServiceName, SmallVec<[CompactString; 2]>> = HashMap::new();
        for ((service, group), pulse) in self.pulses() {
            if pulse.stands(now) {
                standing.entry(service).or_default().push(group);
            }
        }
        for (service, state) in &mut self.services {
            let groups = standing.remove(service).unwrap_or_default();
            for group in state.groups.stand(groups) {
                fx.push(group_line(
                    service.clone(),
                    group,
                    None,
                    ClosingReason::Stands,
                ));
            }
        }
    }

    /// Returns what is seen of the streams of each group that have begun.
    fn pulses(&self) -> HashMap<(ServiceName, CompactString), GroupPulse> {
        let mut pulses: HashMap<_, GroupPulse> = HashMap::new();
        for call in self.calls.values() {
            let Some((upstream, last_event)) = call.last_event() else {
                continue;
            };
            if let Some(upstream) = self.upstreams.get(upstream)
                && !upstream.group().is_empty()
            {
                let of = (
                    call.service().clone(),
                    CompactString::from(upstream.group()),
                );
                pulses.entry(of).or_default().add(last_event);
            }
        }
        pulses
    }

    /// Notes that a stream of a group shows an event.
    pub(super) fn group_goes_on(&mut self, upstream: UpstreamKey, fx: &mut Vec<DispatchEffect>) {
        if let Some(of) = self.upstreams.get(upstream).map(GroupOf::from)
            && self.groups(&of).goes_on(&of.group)
        {
            fx.push(of.line(ClosingReason::GoesOn));
        }
    }

    /// Tells whether a silent stream does better at another upstream: the
    /// others of its group go on, or another group has room.
    pub(super) fn is_better_moved(&self, now: Instant, upstream: UpstreamKey) -> bool {
        let Some(of) = self.upstreams.get(upstream).map(GroupOf::from) else {
            return true;
        };
        let pulses = self.pulses();
        let group = (of.service.clone(), of.group.clone());
        if of.group.is_empty() || pulses.get(&group).is_some_and(|pulse| pulse.beats(now)) {
            return true;
        }
        let loads = self.loads(now, &of.service);
        let mut others = loads.iter().filter(|load| load.group != of.group);
        others.any(|load| load.has_room() && !load.closed)
    }

    /// Returns when upstreams of a service have said that they take calls
    /// again, if none takes them now.
    pub(super) fn stated_return(&self, now: Instant, service: &ServiceName) -> Option<Instant> {
        if let Some(until) = self.upstreams.busy_until(now, service) {
            return Some(until);
        }
        if !self.all_closed(now, service) {
            return None;
        }
        let groups = &self.services.get(service)?.groups;
        let loads = self.loads(now, service);
        let until = loads.iter().map(|load| groups.closed_until(&load.group));
        // One that doesn't say when may open at any moment.
        until.collect::<Option<Vec<Instant>>>()?.into_iter().min()
    }

    fn groups(&mut self, of: &GroupOf) -> &mut Groups {
        &mut self.service(&of.service).groups
    }
}

impl From<&crate::upstream::Upstream> for GroupOf {
    fn from(upstream: &crate::upstream::Upstream) -> Self {
        Self {
            service: upstream.listed.service.clone(),
            group: upstream.group().into(),
            instance: upstream.listed.instance.clone(),
        }
    }
}

impl GroupOf {
    fn line(self, reason: ClosingReason) -> DispatchEffect {
        group_line(self.service, self.group, Some(self.instance), reason)
    }
}

fn group_line(
    service: ServiceName,
    group: CompactString,
    upstream: Option<InstanceId>,
    reason: ClosingReason,
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

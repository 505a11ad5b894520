//! What closes model groups and opens them again.

use super::Dispatcher;
use crate::groups::Groups;
use crate::{DecisionLine, DispatchEffect, UpstreamKey};
use compact_str::CompactString;
use egretstage_wire::{InstanceId, ServiceName};
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
        let seat = self.upstreams.find(instance)?.listed.seat.as_ref()?;
        Some(seat.open)
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

    /// Tells whether each group of a service is closed and not to be tried now.
    pub(super) fn all_closed(&self, now: Instant, service: &ServiceName) -> bool {
        let loads = self.loads(now, service);
        !loads.is_empty() && loads.iter().all(|load| load.closed && load.bound == 0)
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
        DispatchEffect::Log(Box::new(DecisionLine {
            verb: "group",
            service: Some(self.service),
            group: Some(self.group),
            upstream: Some(self.instance),
            reason: Some(reason.into()),
            ..DecisionLine::default()
        }))
    }
}

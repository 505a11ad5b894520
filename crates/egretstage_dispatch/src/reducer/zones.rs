//! Effects of an evacuation: where calls may start, and what happens to those that wait.

use super::Dispatcher;
use super::calls::millis;
use crate::evacuated_zones::{EvacuatedZones, ZoneChanges};
use crate::{DecisionLine, DispatchEffect, ZoneSet};
use egretstage_wire::{InstanceId, ServiceName};
use smallvec::SmallVec;
use std::time::Instant;

/// Services with the slots of their ready upstreams.
type ReadySlots = SmallVec<[(ServiceName, u32); 4]>;

impl Dispatcher {
    /// Applies the evacuated zones that were read in the store.
    pub(super) fn apply_read_zones(
        &mut self,
        now: Instant,
        set: ZoneSet,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let previous = self.upstreams.evacuated_zones().report();
        self.change_zones(now, None, |zones| zones.apply_read(now, set), fx);
        // Taking back spreads as fast as an evacuation does.
        self.load_changed |= previous != self.upstreams.evacuated_zones().report();
    }

    /// Applies the evacuated zones that another entry reports.
    pub(super) fn apply_reported_zones(
        &mut self,
        now: Instant,
        peer: &InstanceId,
        set: &ZoneSet,
        fx: &mut Vec<DispatchEffect>,
    ) {
        self.change_zones(now, Some(peer), |zones| zones.apply_report(now, set), fx);
    }

    /// Ends evacuations that a restored store lacks and the operator hasn't written again.
    pub(super) fn end_zone_graces(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        let end = self.upstreams.evacuated_zones().next_end();
        if end.is_some_and(|at| at <= now) {
            self.change_zones(now, None, |zones| zones.end_graces(now), fx);
        }
    }

    fn change_zones(
        &mut self,
        now: Instant,
        peer: Option<&InstanceId>,
        change: impl FnOnce(&mut EvacuatedZones) -> ZoneChanges,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let before = self.ready_slots(now);
        let changes = self.upstreams.change_evacuated_zones(change);
        if changes.is_empty() {
            return;
        }
        let zones = self.upstreams.evacuated_zones();
        for change in &changes {
            fx.push(DispatchEffect::Log(Box::new(DecisionLine {
                verb: "zone",
                zone: Some(change.zone.clone()),
                reason: Some(change.reason.into()),
                evacuated: Some(zones.len()),
                position: Some(zones.position()),
                peer: peer.cloned(),
                peers_age_ms: self.peers.oldest_age(now).map(millis),
                ..DecisionLine::default()
            })));
        }
        let upstreams = self.upstreams.iter();
        let is_emptied = changes.iter().map(|change| &change.zone);
        let is_emptied: SmallVec<[_; 2]> = is_emptied.filter(|z| zones.contains(z)).collect();
        let emptied = upstreams.filter(|(_, u)| is_emptied.contains(&&u.listed.zone));
        fx.extend(emptied.map(|(_, u)| DispatchEffect::CloseIdle(u.listed.instance.clone())));
        self.reduce_start_rates(now, &before);
        self.refuse_waiting_without_upstream(now, fx);
        self.start_all_waiting(now, fx);
    }

    fn ready_slots(&self, now: Instant) -> ReadySlots {
        let slots = |service: &ServiceName| {
            let ready = self.upstreams.ready(now, service);
            let slots = ready.map(|(_, upstream)| upstream.listed.slots);
            slots.fold(0, u32::saturating_add)
        };
        let services = self.services.keys();
        services.map(|name| (name.clone(), slots(name))).collect()
    }

    /// Reduces the rates at which calls start by the share of the slots that is gone: the
    /// waits that are predicted with them would be too short for the length of their window.
    fn reduce_start_rates(&mut self, now: Instant, before: &ReadySlots) {
        let after = self.ready_slots(now);
        for (service, slots) in after {
            let earlier = before.iter().find(|(name, _)| *name == service);
            let earlier = earlier.map_or(slots, |(_, slots)| *slots);
            if slots < earlier {
                self.service(&service).start_rate.reduce(slots, earlier);
            }
        }
    }
}

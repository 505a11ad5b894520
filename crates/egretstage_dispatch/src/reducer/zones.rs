//! Effects of an evacuation: where calls may start, and what happens to those that wait.

use super::Dispatcher;
use super::calls::millis;
use crate::evacuated_zones::{EvacuatedZones, ZoneChange, ZoneChangeReason, ZoneChanges};
use crate::upstream::Upstream;
use crate::{DecisionLine, DispatchEffect, ZoneSet};
use egretstage_wire::{InstanceId, ZoneName};
use smallvec::SmallVec;
use std::time::Instant;

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
        let returned = changes.iter().map(|change| &change.zone);
        let returned: SmallVec<[_; 2]> = returned.filter(|z| !zones.contains(z)).collect();
        let upstreams = self.upstreams.iter();
        for (_, upstream) in upstreams.filter(|(_, u)| returned.contains(&&u.listed.zone)) {
            // It may have turned cold while its zone was empty.
            self.cold_starts.expect_cold(now, upstream.start());
        }
        let evacuated = changes
            .iter()
            .filter(|change| self.is_newly_evacuated(change));
        let evacuated: SmallVec<[ZoneName; 2]> = evacuated.map(|c| c.zone.clone()).collect();
        if !evacuated.is_empty() {
            self.reduce_start_rates(now, &evacuated);
            self.refuse_waiting_without_upstream(now, fx);
        }
        self.start_all_waiting(now, fx);
    }

    /// Returns whether a change has evacuated a zone that took calls before.
    fn is_newly_evacuated(&self, change: &ZoneChange) -> bool {
        let is_evacuated = self.upstreams.evacuated_zones().contains(&change.zone);
        is_evacuated && change.reason != ZoneChangeReason::Kept
    }

    /// Reduces the rates at which calls start by the share of the slots that is gone: the
    /// waits that are predicted with them would be too short for the length of their window.
    fn reduce_start_rates(&mut self, now: Instant, evacuated: &[ZoneName]) {
        let slots = |upstream: &Upstream| upstream.listed.slots;
        for (service, state) in &mut self.services {
            let left = self.upstreams.ready(now, service);
            let left = left.map(|(_, u)| slots(u)).fold(0, u32::saturating_add);
            let gone = self.upstreams.emptied(now, service);
            let gone = gone
                .filter(|u| evacuated.contains(&u.listed.zone))
                .map(slots);
            let gone = gone.fold(0, u32::saturating_add);
            if gone > 0 {
                state.start_rate.reduce(left, left.saturating_add(gone));
            }
        }
    }
}

//! The share of each service's calls that leaves the availability zone.

use super::Dispatcher;
use crate::placement::ZonePreference;
use crate::upstream::Upstream;
use crate::zone_shares::{ShareReason, ZoneLoad};
use crate::{CallKey, DecisionLine, DispatchEffect, ZoneTag};
use egretstage_wire::{ServiceName, ZoneName};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Time between two plans: each reads the newest reports of all other entries.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two log lines of a service's share.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Returns the zone to name in load reports.
    pub(super) fn reported_zone(&self) -> Option<ZoneTag> {
        self.limits.cross_zone_cost?;
        Some(ZoneTag::from(&self.zone))
    }

    /// Returns the zone at which a call should run, and how much that counts.
    pub(super) fn zone_preference(
        &self,
        service: &ServiceName,
        key: CallKey,
    ) -> ZonePreference<'_> {
        let state = self.services.get(service);
        match (self.limits.cross_zone_cost, state) {
            (Some(_), Some(state)) => {
                let draw = (self.incarnation ^ key.0).to_le_bytes();
                let draw = rapidhash::v3::rapidhash_v3(&draw);
                ZonePreference::Chosen {
                    home: &self.zone,
                    chosen: state.zone_share.zone_for(&self.zone, draw),
                }
            }
            _ => ZonePreference::Slight(&self.zone),
        }
    }

    /// Returns whether an upstream is in another zone, and calls between zones have a cost:
    /// the queue at such an upstream is left to the callers of its own zone.
    pub(super) fn is_beyond_zone(&self, upstream: &Upstream) -> bool {
        self.limits.cross_zone_cost.is_some() && upstream.listed.zone != self.zone
    }

    /// Plans which share of each service's calls leaves the zone, if that has a cost.
    ///
    /// The ranks of a model group step together, so a stream waits no shorter elsewhere.
    pub(super) fn plan_zone_shares(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        let Some(cost) = self.limits.cross_zone_cost else {
            return;
        };
        if now < self.next_zone_plan {
            return;
        }
        self.next_zone_plan = now + PLAN_INTERVAL;
        let names: SmallVec<[ServiceName; 4]> = self.services.keys().cloned().collect();
        for name in names {
            let Some((loads, holding)) = self.zone_loads(now, &name) else {
                continue;
            };
            let cost_ms = cost.as_secs_f32() * 1000.0;
            let Some(state) = self.services.get_mut(&name) else {
                continue;
            };
            let share = &mut state.zone_share;
            share.update(now, &self.zone, loads, holding, cost_ms);
            let (out, reason): (f32, ShareReason) = (share.out(), share.reason());
            let has_changed = (out - state.logged_share).abs() > f32::EPSILON;
            if !has_changed || state.next_share_line.is_some_and(|at| now < at) {
                continue;
            }
            state.logged_share = out;
            state.next_share_line = Some(now + LINE_INTERVAL);
            fx.push(DispatchEffect::Log(Box::new(DecisionLine {
                verb: "zone-share",
                service: Some(name),
                reason: Some(reason.into()),
                share_out: Some(out),
                peers_age_ms: self.peers.oldest_age(now).map(super::millis),
                ..DecisionLine::default()
            })));
        }
    }

    /// Returns the loads of a service's zones, and the usual time of an answer in
    /// milliseconds; `None` for the ranks of model groups, and before the first answer.
    fn zone_loads(
        &self,
        now: Instant,
        service: &ServiceName,
    ) -> Option<(SmallVec<[ZoneLoad; 4]>, f32)> {
        let of_service = |upstream: &Upstream| {
            upstream.listed.service == *service && upstream.group().is_empty()
        };
        let mut loads = SmallVec::<[ZoneLoad; 4]>::new();
        let typical_ms = crate::placement::typical_answer_ms(&self.upstreams, now, service)?;
        let upstreams = self.upstreams.iter().map(|(_, upstream)| upstream);
        for upstream in upstreams.filter(|u| of_service(u)) {
            let load = load_of(&mut loads, &upstream.listed.zone);
            if upstream.is_ready(now) && self.may_start_at(now, upstream) {
                load.slots += upstream.sound_slots(typical_ms);
            }
            load_of(&mut loads, &self.zone).demand += to_f32(upstream.own_calls);
        }
        if loads.is_empty() {
            return None;
        }
        for (zone, load) in self.peers.loads() {
            let upstream = self.upstreams.get_by_tag(load.upstream);
            let Some(upstream) = upstream.filter(|upstream| of_service(upstream)) else {
                continue;
            };
            let mut zones = loads.iter_mut();
            let calls = f32::from(load.calls);
            let of_callers = zones.find(|load| zone == Some(ZoneTag::from(&load.zone)));
            match of_callers {
                Some(zone) => zone.demand += calls,
                None => load_of(&mut loads, &upstream.listed.zone).unknown += calls,
            }
        }
        Some((loads, typical_ms))
    }
}

/// Returns the load of a zone among those of all zones.
fn load_of<'a>(loads: &'a mut SmallVec<[ZoneLoad; 4]>, zone: &ZoneName) -> &'a mut ZoneLoad {
    let known = loads.iter().position(|load| load.zone == *zone);
    let index = known.unwrap_or_else(|| {
        loads.push(ZoneLoad {
            zone: zone.clone(),
            slots: 0.0,
            demand: 0.0,
            unknown: 0.0,
        });
        loads.len() - 1
    });
    &mut loads[index]
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f32(count: u32) -> f32 {
    count as f32
}

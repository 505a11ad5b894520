//! The share of each service's calls that leaves the availability zone.

use super::Dispatcher;
use crate::groups::GroupLoad;
use crate::placement::ZonePreference;
use crate::upstream::Upstream;
use crate::zone_shares::{ShareReason, ZoneLoad, ZoneShare};
use crate::{CallKey, DecisionLine, DispatchEffect, ZoneTag};
use egretstage_wire::{ServiceName, ZoneName};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Time between two plans: each reads the newest reports of all other entries.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Change of the share of streams at ranks elsewhere that is logged.
const RANKS_LINE_STEP: f32 = 0.125;

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
        load: &GroupLoad,
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
                    ranks_may_differ: load.running < load.bound / 2,
                }
            }
            _ => ZonePreference::Slight(&self.zone),
        }
    }

    /// Moves groups at home to the front of those that a call may use, if calls between
    /// zones have a cost: as long as the group is hardly used more than all groups together,
    /// the choice costs nobody a longer pass.
    pub(super) fn prefer_home_groups(
        &self,
        now: Instant,
        service: &ServiceName,
        mean: &GroupLoad,
        loads: &mut [GroupLoad],
    ) {
        if self.limits.cross_zone_cost.is_none() || loads.len() < 2 {
            return;
        }
        let is_at_home = |load: &GroupLoad| {
            let ready = self.upstreams.ready(now, service);
            let at_home = ready.filter(|(_, upstream)| {
                upstream.group() == load.group && upstream.listed.zone == self.zone
            });
            at_home.count() * 2 > load.ranks.saturating_sub(load.emptied_ranks) as usize
        };
        let is_preferred = |load: &GroupLoad| load.is_used_evenly(mean) && is_at_home(load);
        loads.sort_by_cached_key(|load| !is_preferred(load));
    }

    /// Returns whether an upstream is in another zone, and calls between zones have a cost:
    /// the queue at such an upstream is left to the callers of its own zone.
    pub(super) fn is_beyond_zone(&self, upstream: &Upstream) -> bool {
        self.limits.cross_zone_cost.is_some() && upstream.listed.zone != self.zone
    }

    /// Returns whether a call may leave the zone when all upstreams at home are full: not
    /// for a wait that is as long elsewhere.
    pub(super) fn may_leave_zone(&self, now: Instant, service: &ServiceName) -> bool {
        let share = self.services.get(service).map(|state| &state.zone_share);
        share.is_none_or(|share| share.reason() != ShareReason::NoRoomElsewhere)
            || !self
                .upstreams
                .ready(now, service)
                .any(|(_, upstream)| upstream.listed.zone == self.zone)
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
            let of_ranks = self.share_at_ranks_elsewhere(&name);
            let loads = self.zone_loads(now, &name);
            let Some(state) = self.services.get_mut(&name) else {
                continue;
            };
            let share = &mut state.zone_share;
            let (out, reason) = match (of_ranks, loads) {
                (Some(out), _) => (out, "even-ranks"),
                (None, Some((loads, holding_ms))) => {
                    let cost_ms = cost.as_secs_f32() * 1000.0;
                    share.update(now, &self.zone, loads, holding_ms, cost_ms);
                    (share.out(), share.reason().into())
                }
                (None, None) => {
                    // What was planned with answers of upstreams that are gone says nothing.
                    *share = ZoneShare::default();
                    (share.out(), share.reason().into())
                }
            };
            let is_new = if of_ranks.is_some() {
                (out - state.logged_share).abs() >= RANKS_LINE_STEP
            } else {
                (out - state.logged_share).abs() > f32::EPSILON
            };
            if !is_new || state.next_share_line.is_some_and(|at| now < at) {
                continue;
            }
            state.logged_share = out;
            state.next_share_line = Some(now + LINE_INTERVAL);
            fx.push(DispatchEffect::Log(Box::new(DecisionLine {
                verb: "zone-share",
                service: Some(name),
                reason: Some(reason),
                share_out: Some(out),
                peers_age_ms: self.peers.oldest_age(now).map(super::millis),
                ..DecisionLine::default()
            })));
        }
    }

    /// Returns the share of this entry's streams that ranks in other zones run; `None` for
    /// a service without model groups.
    fn share_at_ranks_elsewhere(&self, service: &ServiceName) -> Option<f32> {
        let upstreams = self.upstreams.iter().map(|(_, upstream)| upstream);
        let ranks = upstreams.filter(|u| u.listed.service == *service && !u.group().is_empty());
        let (mut at_ranks, mut all, mut out) = (false, 0, 0);
        for rank in ranks {
            at_ranks = true;
            all += rank.own_calls;
            if rank.listed.zone != self.zone {
                out += rank.own_calls;
            }
        }
        at_ranks.then(|| to_f32(out) / to_f32(all.max(1)))
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
        let ready = self.upstreams.ready(now, service);
        for (_, upstream) in ready.filter(|(_, u)| of_service(u) && self.may_start_at(now, u)) {
            load_of(&mut loads, &upstream.listed.zone).slots += upstream.sound_slots(typical_ms);
        }
        let upstreams = self.upstreams.iter().map(|(_, upstream)| upstream);
        for upstream in upstreams.filter(|u| of_service(u)) {
            load_of(&mut loads, &upstream.listed.zone);
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

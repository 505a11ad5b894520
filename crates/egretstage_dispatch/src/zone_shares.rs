//! Decides which share of a zone's calls leaves it, and where to.
//!
//! Load pattern: the callers of one availability zone want 1.5 times the room of its
//! upstreams, beside two idle zones. All entries of a zone decide at once, on reports
//! that are up to a second old. Each entry computes the same plan from the calls of all
//! zones' callers, wherever these run: sending some away doesn't change that input, so
//! that entries neither herd nor swing. Calls go out until the expected wait at home
//! exceeds that elsewhere by no more than the operator's cost of a call that leaves, and
//! never beyond the room that another zone has left after its own callers.

use egretstage_wire::ZoneName;
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Step in which the share changes.
const STEP: f32 = 1.0 / 16.0;

/// Largest number of steps by which the share grows at once.
const STEPS_OUT: f32 = 2.0;

/// Time between two steps in which more calls leave.
const STEP_OUT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two steps in which more calls stay.
const STEP_BACK_INTERVAL: Duration = Duration::from_millis(300);

/// Time constant with which the demand of a zone is smoothed.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Number of halvings in a search: the error is below a thousandth of the range.
const HALVINGS: u32 = 12;

/// Longest wait that is weighed, in milliseconds.
const MAX_WAIT_MS: f32 = 2_000.0;

/// Part of its callers' demand below which the slots at home count as lost.
const LOST_HOME_PART: f32 = 0.5;

/// Load of a service in a zone, in calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneLoad {
    /// The zone.
    pub zone: ZoneName,
    /// Calls that its upstreams run at once; a slow, failing or limited one counts less.
    pub slots: f32,
    /// Calls of its own callers, wherever they run.
    pub demand: f32,
    /// Calls that its upstreams run for callers of an unknown zone.
    pub unknown: f32,
}

/// Why a share of the calls leaves the zone, or none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ShareReason {
    /// The wait at home is below the cost of leaving.
    #[default]
    HomeHasRoom,
    /// The wait at home is above the wait elsewhere and the cost of leaving.
    HomeIsBusy,
    /// The upstreams at home that take calls have slots for less than half of its callers'
    /// demand, and for less than half as many of them as those of the other zones.
    HomeIsLost,
    /// No other zone has room left after its own callers.
    NoRoomElsewhere,
}

/// Share of a zone's calls that should leave it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZonePlan {
    /// The share, from 0 to 1.
    pub out: f32,
    /// Where the calls go: the room that each other zone has left, in calls.
    pub to: SmallVec<[(ZoneName, f32); 2]>,
    /// Why.
    pub reason: ShareReason,
}

/// Returns the expected wait for a free slot in milliseconds, if `load` calls run on
/// average at `slots` slots and take `holding_ms` each.
///
/// The approximation is Sakasegawa's for several servers.
///
/// ```
/// # use egretstage_dispatch::zone_shares::expected_wait_ms;
/// assert!(expected_wait_ms(6.0, 1.0, 30.0) < 1.0);
/// assert!(expected_wait_ms(6.0, 5.5, 30.0) > 30.0);
/// assert!(expected_wait_ms(6.0, 6.0, 30.0).is_infinite());
/// ```
#[must_use]
pub fn expected_wait_ms(slots: f32, load: f32, holding_ms: f32) -> f32 {
    let used = load / slots;
    if used.is_nan() || used >= 1.0 {
        return f32::INFINITY;
    }
    let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
    holding_ms * used.max(0.0).powf(exponent) / (slots * (1.0 - used))
}

/// Returns the largest load at which the expected wait is no longer than `wait_ms`.
fn load_within(slots: f32, holding_ms: f32, wait_ms: f32) -> f32 {
    let (mut within, mut beyond) = (0.0, slots);
    for _ in 0..HALVINGS {
        let load = f32::midpoint(within, beyond);
        if expected_wait_ms(slots, load, holding_ms) <= wait_ms {
            within = load;
        } else {
            beyond = load;
        }
    }
    within
}

/// Returns whether a zone has lost most of its slots, rather than that all zones are full.
fn is_lost(own: &ZoneLoad, zones: &[ZoneLoad]) -> bool {
    let others = || zones.iter().filter(|zone| zone.zone != own.zone);
    let slots: f32 = others().map(|zone| zone.slots).sum();
    let demand: f32 = others().map(|zone| zone.demand).sum();
    own.slots < own.demand * LOST_HOME_PART
        && own.slots * demand < own.demand * slots * LOST_HOME_PART
}

/// Plans which share of the calls of the zone `home` leaves it.
///
/// A call takes `holding_ms`; a caller accepts `cost_ms` of waiting at home rather than
/// a call that leaves.
#[must_use]
pub fn plan(home: &ZoneName, zones: &[ZoneLoad], holding_ms: f32, cost_ms: f32) -> ZonePlan {
    let over = |zone: &ZoneLoad, wait_ms: f32| {
        let kept = load_within(zone.slots, holding_ms, wait_ms + cost_ms) - zone.unknown;
        (zone.demand - kept.max(0.0)).max(0.0)
    };
    let left = |zone: &ZoneLoad, wait_ms: f32| {
        let room = load_within(zone.slots, holding_ms, wait_ms);
        (room - zone.unknown - zone.demand).max(0.0)
    };
    let Some(own) = zones.iter().find(|load| load.zone == *home) else {
        return ZonePlan::default();
    };
    if own.demand <= 0.0 || over(own, 0.0) <= 0.0 {
        return ZonePlan::default();
    }
    // The lowest wait elsewhere at which the zones with room take what the others have
    // too much.
    let all_over = |wait_ms: f32| zones.iter().map(|zone| over(zone, wait_ms)).sum::<f32>();
    let all_left = |wait_ms: f32| zones.iter().map(|zone| left(zone, wait_ms)).sum::<f32>();
    let (mut low, mut wait_ms) = (0.0, MAX_WAIT_MS);
    for _ in 0..HALVINGS {
        let middle = f32::midpoint(low, wait_ms);
        if all_left(middle) >= all_over(middle) {
            wait_ms = middle;
        } else {
            low = middle;
        }
    }
    let (over_all, left_all) = (all_over(wait_ms), all_left(wait_ms));
    let taken = if over_all > 0.0 {
        (left_all / over_all).min(1.0)
    } else {
        0.0
    };
    let others = zones.iter().filter(|zone| zone.zone != *home);
    let to = others.map(|zone| (zone.zone.clone(), left(zone, wait_ms)));
    let out = over(own, wait_ms) * taken / own.demand;
    let reason = if is_lost(own, zones) {
        ShareReason::HomeIsLost
    } else if out > 0.0 {
        ShareReason::HomeIsBusy
    } else {
        ShareReason::NoRoomElsewhere
    };
    ZonePlan {
        out,
        to: to.filter(|(_, left)| *left > 0.0).collect(),
        reason,
    }
}

/// The share of a service's calls that leaves the zone, which follows the plan in steps.
#[derive(Clone, Debug, Default)]
pub struct ZoneShare {
    out: f32,
    to: SmallVec<[(ZoneName, f32); 2]>,
    reason: ShareReason,
    demand: SmallVec<[(ZoneName, f32); 4]>,
    observed_at: Option<Instant>,
    next_step: Option<Instant>,
    /// Until when the latest lack of room elsewhere counts.
    no_room_until: Option<Instant>,
}

impl ZoneShare {
    /// Returns the share of the calls that leaves the zone, from 0 to 1.
    #[must_use]
    pub fn out(&self) -> f32 {
        self.out
    }

    /// Returns why.
    #[must_use]
    pub fn reason(&self) -> ShareReason {
        self.reason
    }

    /// Follows the loads of the zones; returns whether the share has changed.
    pub fn update(
        &mut self,
        now: Instant,
        home: &ZoneName,
        mut zones: SmallVec<[ZoneLoad; 4]>,
        holding_ms: f32,
        cost_ms: f32,
    ) -> bool {
        self.smooth(now, &mut zones);
        let plan = plan(home, &zones, holding_ms, cost_ms);
        if plan.reason == ShareReason::NoRoomElsewhere {
            self.no_room_until = Some(now + STEP_BACK_INTERVAL);
        }
        let is_held = self.no_room_until.is_some_and(|until| now < until);
        self.reason = match plan.reason {
            ShareReason::HomeIsLost => plan.reason,
            _ if is_held => ShareReason::NoRoomElsewhere,
            reason => reason,
        };
        if !plan.to.is_empty() {
            self.to = plan.to;
        }
        if self.next_step.is_some_and(|at| now < at) {
            return false;
        }
        let before = self.out;
        let within_plan = if plan.out < STEP {
            plan.out
        } else {
            (plan.out / STEP).floor() * STEP
        };
        let interval = if within_plan >= self.out + STEP / 2.0 {
            self.out = (self.out + STEP * STEPS_OUT).min(within_plan);
            STEP_OUT_INTERVAL
        } else if plan.out <= self.out - STEP || plan.out < STEP / 2.0 {
            self.out -= STEP;
            STEP_BACK_INTERVAL
        } else {
            return false;
        };
        self.out = self.out.clamp(0.0, 1.0);
        let has_changed = (self.out - before).abs() > f32::EPSILON;
        if has_changed {
            self.next_step = Some(now + interval);
        }
        has_changed
    }

    /// Replaces the demand of each zone by its smoothed value.
    fn smooth(&mut self, now: Instant, zones: &mut [ZoneLoad]) {
        let before = self.observed_at.replace(now);
        let elapsed = before.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let constants = elapsed.as_secs_f32() / DEMAND_TIME_CONSTANT.as_secs_f32();
        let weight = 1.0 - (-constants).exp();
        for load in zones.iter_mut() {
            let mut known = self.demand.iter().filter(|(zone, _)| *zone == load.zone);
            if let Some((_, demand)) = known.next() {
                load.demand = demand + weight * (load.demand - demand);
            }
        }
        self.demand = zones.iter().map(|z| (z.zone.clone(), z.demand)).collect();
    }

    /// Returns the zone at which a call should run. `draw` differs from call to call.
    #[must_use]
    pub fn zone_for<'a>(&'a self, home: &'a ZoneName, draw: u64) -> &'a ZoneName {
        let draw = to_unit(draw);
        if draw >= self.out {
            return home;
        }
        let total: f32 = self.to.iter().map(|(_, left)| left).sum();
        let mut point = draw / self.out * total;
        for (zone, left) in &self.to {
            if point < *left {
                return zone;
            }
            point -= left;
        }
        self.to.last().map_or(home, |(zone, _)| zone)
    }
}

/// Returns the number from 0 to 1 that evenly distributed bits stand for.
fn to_unit(bits: u64) -> f32 {
    let [upper, lower, ..] = bits.to_be_bytes();
    f32::from(u16::from_be_bytes([upper, lower])) / (f32::from(u16::MAX) + 1.0)
}

//! Starts at upstreams that limit the calls of all entries together, or are cold.

use super::Dispatcher;
use super::calls::Call;
use crate::groups::GroupLoad;
use crate::upstream::Upstream;
use crate::{CallRate, DecisionLine, DispatchEffect, LoadReport, UpstreamStart};
use egretstage_wire::{InstanceId, ServiceName};
use std::time::{Duration, Instant};

/// Weight of a waiting call in the demand of an entry, relative to one that arrived
/// recently: it uses a start at once.
const WAITING_CALL_WEIGHT: u32 = 8;

impl Dispatcher {
    /// Applies the limits and the starts that another entry reports.
    pub(super) fn apply_reported_limits(
        &mut self,
        now: Instant,
        report: &LoadReport,
        fx: &mut Vec<DispatchEffect>,
    ) {
        for (start, limit) in self.start_limits.apply_report(now, report) {
            let mut upstreams = self.upstreams.iter();
            if let Some((_, upstream)) = upstreams.find(|(_, u)| u.start() == start) {
                let instance = upstream.listed.instance.clone();
                let reason = if limit.is_some() {
                    "reported-limited"
                } else {
                    "reported-unlimited"
                };
                fx.push(limit_line(instance, reason, limit));
            }
        }
    }

    /// Hands out starts at the upstreams whose starts this entry distributes.
    pub(super) fn hand_out_starts(&mut self, now: Instant) {
        self.start_limits.remove_expired(now);
        if self.start_limits.is_empty() {
            return;
        }
        for (_, upstream) in self.upstreams.iter() {
            let start = upstream.start();
            if !self.start_limits.is_limited(start) {
                continue;
            }
            let service = self.services.get_mut(&upstream.listed.service);
            // Nothing starts in an evacuated zone.
            let service = service.filter(|_| !upstream.is_evacuated());
            let demand = service.map_or(0, |service| {
                let waiting = u32::try_from(service.waiting.len()).unwrap_or(u32::MAX);
                let waiting = waiting.saturating_mul(WAITING_CALL_WEIGHT);
                service.arrivals.recent(now).saturating_add(waiting)
            });
            let left = self.start_limits.starts_left(now, start);
            let demand = demand.saturating_sub(left);
            self.start_limits.set_demand(start, demand);
        }
        self.load_changed |= self.start_limits.hand_out(now).to_others;
    }

    /// Returns whether no upstream limits starts, and none counts as cold.
    fn allows_all_starts(&self, now: Instant) -> bool {
        self.start_limits.is_empty() && !self.cold_starts.is_active(now)
    }

    /// Returns whether a call may start at an upstream, as far as its limit and, while it is
    /// cold, its bound go.
    pub(super) fn may_start_at(&self, now: Instant, upstream: &Upstream) -> bool {
        self.starts_left_at(now, upstream) != Some(0)
    }

    /// Returns the starts that this entry may use now at an upstream; `None` if they are
    /// unlimited.
    pub(super) fn starts_left_at(&self, now: Instant, upstream: &Upstream) -> Option<u32> {
        if self.allows_all_starts(now) {
            return None;
        }
        let start = upstream.start();
        let of_limit = self.start_limits.is_limited(start);
        let of_limit = of_limit.then(|| self.start_limits.starts_left(now, start));
        let of_bound = self.cold_starts.starts_left(now, start);
        [of_limit, of_bound].into_iter().flatten().min()
    }

    /// Returns the rate at which this entry is expected to get starts at an upstream, in calls
    /// per second; `None` if they are unlimited.
    fn expected_rate_at(&self, now: Instant, upstream: &Upstream) -> Option<f64> {
        let start = upstream.start();
        let of_limit = self.start_limits.expected_rate(now, start);
        let of_bound = self.cold_starts.rate(now, start);
        of_limit.into_iter().chain(of_bound).reduce(f64::min)
    }

    /// Reduces the bounds of groups to the slots at which calls may start: ranks that take
    /// no start only count with the calls that they run.
    pub(super) fn apply_limits(&self, now: Instant, service: &ServiceName, load: &mut GroupLoad) {
        if self.allows_all_starts(now) || load.group.is_empty() {
            return;
        }
        let ready = self.upstreams.ready(now, service);
        let of_group = ready.filter(|(_, upstream)| upstream.group() == load.group);
        let places = of_group.map(|(_, upstream)| {
            if self.may_start_at(now, upstream) {
                upstream.listed.slots.max(upstream.calls())
            } else {
                upstream.calls()
            }
        });
        let places: u32 = places.sum();
        load.bound = load.bound.min(places + load.emptied_running);
    }

    /// Returns the expected time between two starts of this entry at a service whose
    /// upstreams all limit them; `None` if one doesn't.
    pub(super) fn limited_start_interval(
        &self,
        now: Instant,
        service: &ServiceName,
    ) -> Option<Duration> {
        if self.allows_all_starts(now) {
            return None;
        }
        let ready = self.upstreams.ready(now, service);
        let rates = ready.map(|(_, upstream)| self.expected_rate_at(now, upstream));
        let rate = rates.sum::<Option<f64>>()?;
        if rate > 0.0 {
            return Duration::try_from_secs_f64(1.0 / rate).ok();
        }
        // This entry has no share at any of them.
        self.time_until_warm(now, service)
    }

    /// Returns the expected wait of a new call until it starts, if all upstreams of its
    /// service limit the starts.
    pub(super) fn wait_for_limited_start(&self, now: Instant, call: &Call) -> Option<Duration> {
        let service = call.service();
        let interval = self.limited_start_interval(now, service)?;
        let ready = self.upstreams.ready(now, service);
        let left = ready.filter_map(|(_, upstream)| self.starts_left_at(now, upstream));
        let left: u32 = left.sum();
        let ahead = self.services.get(service).map_or(0, |state| {
            let ahead = state.waiting.ahead_of(call.urgency(), call.class());
            u32::try_from(ahead).unwrap_or(u32::MAX)
        });
        let wait = interval.saturating_mul(ahead.saturating_add(1).saturating_sub(left));
        let wait = wait.saturating_add(self.time_until_joined(now, service));
        let until_warm = self.time_until_warm(now, service);
        let until_warm = until_warm.filter(|_| self.start_limits.is_empty());
        Some(until_warm.map_or(wait, |until_warm| wait.min(until_warm)))
    }

    /// Returns the time until the first of a service's cold upstreams is warm.
    fn time_until_warm(&self, now: Instant, service: &ServiceName) -> Option<Duration> {
        let ready = self.upstreams.ready(now, service);
        let warm_at = ready.filter_map(|(_, u)| self.cold_starts.warm_at(now, u.start()));
        Some(warm_at.min()?.saturating_duration_since(now))
    }

    /// Returns the time until this entry may use its share at one of a service's upstreams.
    fn time_until_joined(&self, now: Instant, service: &ServiceName) -> Duration {
        let ready = self.upstreams.ready(now, service);
        let times = ready.map(|(_, u)| self.cold_starts.time_until_joined(now, u.start()));
        times.min().unwrap_or_default()
    }

    /// Uses a start at an upstream, if it limits them or may be cold.
    pub(super) fn take_start(&mut self, now: Instant, start: UpstreamStart) {
        self.cold_starts.record_start(now, start);
        if !self.start_limits.is_empty() {
            self.start_limits.take_start(now, start);
        }
    }
}

/// Returns the log line of a changed limit.
pub(super) fn limit_line(
    instance: InstanceId,
    reason: &'static str,
    limit: Option<CallRate>,
) -> DispatchEffect {
    DispatchEffect::Log(Box::new(DecisionLine {
        verb: "upstream",
        upstream: Some(instance),
        reason: Some(reason),
        limit_per_s: limit.map(CallRate::per_second),
        ..DecisionLine::default()
    }))
}

//! The reducer over all that happens to calls, upstreams and other entries.

mod calls;
mod closing;
mod service;
mod stop;

use crate::waiting::Budgets;
use crate::{
    CallKey, DecisionLine, DispatchEffect, DispatchEvent, GroupTag, ListedUpstream, LoadReport,
    PeerLoads, RoutingTable, UpstreamKey, UpstreamLoad, UpstreamSignal, UpstreamState, UpstreamTag,
    Upstreams,
};
use calls::Call;
use egretstage_runtime::Reducer;
use egretstage_wire::{InstanceId, ServiceName, ZoneName};
use service::ServiceState;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Limits of a dispatcher's decisions.
#[derive(Clone, Copy, Debug)]
pub struct DispatchLimits {
    /// Least time between two reports of the entry's load, if it has changed.
    pub report_interval: Duration,
    /// Time between two such reports for each other entry that they go to.
    pub report_time_per_entry: Duration,
    /// Longest time between two reports.
    pub idle_report_interval: Duration,
    /// Time between two looks at the waiting calls.
    pub tick: Duration,
    /// Longest wait of a stream: callers give up a stream that shows nothing
    /// for two seconds.
    pub max_stream_wait: Duration,
    /// Calls beyond its slots that a plain upstream is given.
    pub plain_queue: u32,
    /// Most tries of a call for which no connection could be opened.
    pub max_unsent: u32,
    /// Retries allowed for each thousand calls of a service.
    pub retries_per_thousand: u32,
    /// Most retries of a service that may be saved up at this entry.
    pub retry_burst: u32,
    /// Time after a stop from which callers are asked to use another entry:
    /// the platform's balancer has noticed by then.
    pub close_after: Duration,
    /// Time after a stop from which no stream is begun.
    pub refuse_streams_after: Duration,
    /// Time after a stop at which the process ends in any case.
    pub stop_within: Duration,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(50),
            report_time_per_entry: Duration::from_millis(3),
            idle_report_interval: Duration::from_millis(400),
            tick: Duration::from_millis(50),
            max_stream_wait: Duration::from_millis(1_400),
            plain_queue: 2,
            max_unsent: 3,
            retries_per_thousand: 150,
            retry_burst: 12,
            close_after: Duration::from_millis(2_500),
            refuse_streams_after: Duration::from_secs(3),
            stop_within: Duration::from_millis(7_500),
        }
    }
}

/// Decides where calls run, and which run at all.
#[derive(Debug)]
pub struct Dispatcher {
    entry: InstanceId,
    zone: ZoneName,
    incarnation: u64,
    limits: DispatchLimits,
    table: Option<Arc<RoutingTable>>,
    upstreams: Upstreams,
    peers: PeerLoads,
    calls: HashMap<CallKey, Call>,
    services: HashMap<ServiceName, ServiceState>,
    /// Budgets that callers of each route bring.
    budgets: HashMap<compact_str::CompactString, Budgets>,
    expiries: BTreeSet<(Instant, CallKey)>,
    tick_at: Instant,
    report_at: Instant,
    idle_report_at: Instant,
    reports: u64,
    changed: bool,
    ready: bool,
    stopping: Option<stop::Stopping>,
}

impl Dispatcher {
    /// Starts without configuration, upstreams or calls.
    #[must_use]
    pub fn new(
        now: Instant,
        entry: InstanceId,
        zone: ZoneName,
        incarnation: u64,
        limits: DispatchLimits,
    ) -> Self {
        Self {
            entry,
            zone,
            incarnation,
            limits,
            table: None,
            upstreams: Upstreams::default(),
            peers: PeerLoads::default(),
            calls: HashMap::new(),
            services: HashMap::new(),
            budgets: HashMap::new(),
            expiries: BTreeSet::new(),
            tick_at: now + limits.tick,
            report_at: now,
            idle_report_at: now,
            reports: 0,
            changed: true,
            ready: false,
            stopping: None,
        }
    }

    fn service(&mut self, name: &ServiceName) -> &mut ServiceState {
        let limits = &self.limits;
        self.services
            .entry(name.clone())
            .or_insert_with(|| ServiceState::new(limits))
    }

    fn configured(&mut self, table: Arc<RoutingTable>, fx: &mut Vec<DispatchEffect>) {
        let held = self.table.as_ref().map_or(0, |held| held.version());
        if table.version() <= held {
            return;
        }
        for profile in table.services() {
            let max_pause = table.max_pause(&profile.name);
            let service = self.service(&profile.name);
            service.configure(profile, max_pause);
        }
        fx.push(DispatchEffect::Log(Box::new(DecisionLine {
            verb: "configure",
            configuration: Some(table.version()),
            ..DecisionLine::default()
        })));
        fx.push(DispatchEffect::Configured(Arc::clone(&table)));
        self.table = Some(table);
        self.changed = true;
    }

    fn listed(&mut self, now: Instant, listed: ListedUpstream, fx: &mut Vec<DispatchEffect>) {
        let (instance, state) = (listed.instance.clone(), listed.state);
        let before = self.upstreams.find(&instance).map(|u| u.listed.state);
        let said_open = self.says_open(&instance);
        self.upstreams.list(listed);
        self.count_peer_calls(&[UpstreamTag::from(&instance)]);
        self.group_listed(now, &instance, said_open, fx);
        if before == Some(state) {
            return;
        }
        if state == UpstreamState::Draining {
            fx.push(DispatchEffect::CloseIdle(instance.clone()));
        }
        fx.push(upstream_line(instance, state.into()));
    }

    fn unlisted(&mut self, now: Instant, instance: &InstanceId, fx: &mut Vec<DispatchEffect>) {
        if self.upstreams.find(instance).is_some() {
            self.upstreams.remove(now, instance);
            fx.push(DispatchEffect::CloseIdle(instance.clone()));
            fx.push(upstream_line(instance.clone(), "gone"));
        }
    }

    /// Takes in what an upstream says of itself in an answer.
    fn said(
        &mut self,
        now: Instant,
        upstream: UpstreamKey,
        signal: UpstreamSignal,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let instance = upstream.listed.instance.clone();
        match signal {
            UpstreamSignal::Leaving if upstream.notices.leaves() => {
                fx.push(DispatchEffect::CloseIdle(instance.clone()));
                fx.push(upstream_line(instance, "says-leaving"));
            }
            UpstreamSignal::Leaving => {}
            UpstreamSignal::BackOff(time) => {
                upstream.notices.busy(now, time);
                fx.push(upstream_line(instance, "says-busy"));
            }
        }
    }

    fn peer_reported(&mut self, now: Instant, report: LoadReport) {
        if report.entry != self.entry {
            let changed = self.peers.reported(now, report);
            self.count_peer_calls(&changed);
        }
    }

    fn count_peer_calls(&mut self, changed: &[UpstreamTag]) {
        for tag in changed {
            if let Some(upstream) = self.upstreams.tagged_mut(*tag) {
                upstream.peer_calls = self.peers.calls_at(*tag);
            }
        }
    }

    /// Takes over what the other entries say that streams cost.
    fn hear_costs(&mut self, now: Instant) {
        for (service, state) in &mut self.services {
            let loads = state.groups.loads(now, &self.upstreams, service);
            for load in loads {
                let others = self.peers.cost_of(GroupTag::from(load.group.as_str()));
                state.groups.hear_others(load.group, others);
            }
        }
    }

    /// Returns the time between two reports: each goes to all other entries.
    fn report_interval(&self) -> Duration {
        let entries = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let for_all = self.limits.report_time_per_entry.saturating_mul(entries);
        let longest = self.limits.idle_report_interval;
        self.limits.report_interval.max(for_all).min(longest)
    }

    /// Says whether the entry takes new work, when that has changed.
    fn tell_ready(&mut self, fx: &mut Vec<DispatchEffect>) {
        let knows_upstreams = self.upstreams.iter().next().is_some();
        let ready = self.table.is_some() && knows_upstreams && self.stopping.is_none();
        if ready != self.ready {
            self.ready = ready;
            fx.push(DispatchEffect::Ready(ready));
            fx.push(DispatchEffect::Log(Box::new(DecisionLine {
                verb: "ready",
                reason: Some(if ready { "yes" } else { "no" }),
                configuration: self.table.as_ref().map(|table| table.version()),
                ..DecisionLine::default()
            })));
        }
    }

    fn report(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        let due = (self.changed && now >= self.report_at) || now >= self.idle_report_at;
        if !due {
            return;
        }
        self.reports += 1;
        self.changed = false;
        self.report_at = now + self.report_interval();
        self.idle_report_at = now + self.limits.idle_report_interval;
        let used = self.upstreams.iter().filter(|(_, u)| u.own_calls > 0);
        let load = |(_, upstream): (_, &crate::upstream::Upstream)| UpstreamLoad {
            upstream: UpstreamTag::from(&upstream.listed.instance),
            calls: u16::try_from(upstream.own_calls).unwrap_or(u16::MAX),
        };
        fx.push(DispatchEffect::Report(Box::new(LoadReport {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            number: self.reports,
            configuration: self.table.as_ref().map_or(0, |table| table.version()),
            loads: used.map(load).collect(),
            costs: self
                .services
                .values()
                .flat_map(|s| s.groups.costs(now))
                .collect(),
        })));
    }

    /// Does what is due, after each event and each wake-up.
    fn due(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        self.expire(now, fx);
        if now >= self.tick_at {
            self.tick_at = now + self.limits.tick;
            self.upstreams.forget_disowned(now);
            let changed = self.peers.forget_silent(now);
            self.count_peer_calls(&changed);
            self.hear_costs(now);
            self.look_at_groups(now, fx);
            self.look_at_waiting(now, fx);
        }
        self.go_on_stopping(now, fx);
        self.tell_ready(fx);
        self.report(now, fx);
    }
}

fn upstream_line(instance: InstanceId, reason: &'static str) -> DispatchEffect {
    DispatchEffect::Log(Box::new(DecisionLine {
        verb: "upstream",
        upstream: Some(instance),
        reason: Some(reason),
        ..DecisionLine::default()
    }))
}

impl Reducer for Dispatcher {
    type Event = DispatchEvent;
    type Effect = DispatchEffect;

    fn reduce(&mut self, now: Instant, event: DispatchEvent, fx: &mut Vec<DispatchEffect>) {
        match event {
            DispatchEvent::Arrived { call, head } => self.arrived(now, call, *head, fx),
            DispatchEvent::Ended { call, whole } => self.ended(now, call, whole, fx),
            DispatchEvent::FirstByte { call } => self.first_byte(now, call, fx),
            DispatchEvent::Pause { call, pause } => self.pause(now, call, pause, fx),
            DispatchEvent::Silent { call } => self.silent(now, call, fx),
            DispatchEvent::AttemptEnded { call, end } => self.attempt_ended(now, call, end, fx),
            DispatchEvent::Configured(table) => self.configured(table, fx),
            DispatchEvent::Listed(listed) => {
                self.listed(now, *listed, fx);
                self.pump_all(now, fx);
            }
            DispatchEvent::Unlisted(instance) => self.unlisted(now, &instance, fx),
            DispatchEvent::SignalReceived { upstream, signal } => {
                self.said(now, upstream, signal, fx)
            }
            DispatchEvent::PeerReported(report) => {
                self.peer_reported(now, *report);
                self.pump_all(now, fx);
            }
            DispatchEvent::Stop => self.stop(now, fx),
        }
        self.due(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        self.due(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let waits = self.services.values().any(|s| !s.waiting.is_empty());
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let streams = self.calls.values().any(|call| call.last_event().is_some());
        let tick = (waits || streams).then_some(self.tick_at);
        let report = self.changed.then_some(self.report_at);
        let stop = self.stopping.as_ref().map(|_| self.tick_at);
        [expiry, tick, report, stop, Some(self.idle_report_at)]
            .into_iter()
            .flatten()
            .min()
    }
}

//! The reducer over the events of calls, upstreams and other entries.

mod calls;
mod cold;
mod group_status;
mod harmful;
mod limits;
mod service;
mod stop;
mod zone_shares;
mod zones;

use crate::configuration_lag::ConfigurationLag;
use crate::slow_ranks::SlowRanksReports;
use crate::waiting::RouteBudgets;
use crate::{
    CallKey, ColdStarts, ConfigurationSource, DecisionLine, DispatchEffect, DispatchEvent,
    GroupTag, HarmfulParts, HarmfulRequests, ListedUpstream, LoadReport, PeerLoads, RoutingTable,
    StartLimits, UpstreamKey, UpstreamLoad, UpstreamSignal, UpstreamState, UpstreamTag, Upstreams,
};
use calls::{Call, millis};
use compact_str::CompactString;
use egretstage_runtime::Reducer;
use egretstage_wire::{InstanceId, ServiceName, ZoneName};
use limits::limit_line;
use service::ServiceState;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Limits and intervals of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatchLimits {
    /// Shortest time between two reports of the entry's load, which are sent when
    /// the load has changed.
    pub report_interval: Duration,
    /// Shortest time between two such reports per other entry that receives them;
    /// with many entries, it adds up to more than `report_interval` and replaces
    /// it.
    pub report_interval_per_entry: Duration,
    /// Longest time between two reports, even if the load hasn't changed.
    pub idle_report_interval: Duration,
    /// Time between two checks of waiting calls, groups and peer reports.
    pub check_interval: Duration,
    /// Longest wait of a stream: callers abandon a stream that sends nothing for
    /// two seconds.
    pub max_stream_wait: Duration,
    /// Maximum number of calls beyond its slots that an upstream gets on routes
    /// without streams.
    pub max_plain_queue: u32,
    /// Maximum number of attempts of a call that end before a byte is written; one
    /// more ends the call.
    pub max_unsent_attempts: u32,
    /// Retries allowed per thousand calls of a service.
    pub retries_per_thousand: u32,
    /// Maximum number of unused retries that a service accumulates at this entry.
    pub retry_burst: u32,
    /// Time after a stop request at which callers are asked to use another entry:
    /// the platform's balancer has noticed the stop by then.
    pub close_connections_after: Duration,
    /// Time after a stop request from which no stream is started.
    pub refuse_streams_after: Duration,
    /// Time after a stop request at which the process ends, even if calls still
    /// run.
    pub stop_within: Duration,
    /// Wait at home that a caller accepts rather than a call that leaves the availability
    /// zone; `None` if calls between zones are almost free.
    pub cross_zone_cost: Option<Duration>,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(50),
            report_interval_per_entry: Duration::from_millis(3),
            idle_report_interval: Duration::from_millis(400),
            check_interval: Duration::from_millis(50),
            max_stream_wait: Duration::from_millis(1_400),
            max_plain_queue: 2,
            max_unsent_attempts: 3,
            retries_per_thousand: 150,
            retry_burst: 12,
            close_connections_after: Duration::from_millis(2_500),
            refuse_streams_after: Duration::from_secs(3),
            stop_within: Duration::from_millis(7_500),
            cross_zone_cost: None,
        }
    }
}

/// Decides which calls run, and at which upstreams.
#[derive(Debug)]
pub struct Dispatcher {
    entry: InstanceId,
    zone: ZoneName,
    incarnation: u64,
    limits: DispatchLimits,
    table: Option<Arc<RoutingTable>>,
    configuration_lag: ConfigurationLag,
    upstreams: Upstreams,
    peers: PeerLoads,
    slow_ranks: SlowRanksReports,
    harmful_parts: HarmfulParts,
    harmful_requests: HarmfulRequests,
    start_limits: StartLimits,
    cold_starts: ColdStarts,
    calls: HashMap<CallKey, Call>,
    /// Requests whose bodies are being read.
    reading: HashSet<CallKey>,
    services: HashMap<ServiceName, ServiceState>,
    /// Time budgets of the callers, by route.
    budgets: HashMap<CompactString, RouteBudgets>,
    expiries: BTreeSet<(Instant, CallKey)>,
    next_check: Instant,
    /// When the shares of the calls that leave the zone are planned next.
    next_zone_plan: Instant,
    /// When a changed load may be reported.
    next_report: Instant,
    /// When the load is reported even without a change.
    next_idle_report: Instant,
    /// Number of reports so far.
    report_count: u64,
    /// Whether the load or configuration has changed since the last report.
    load_changed: bool,
    ready: bool,
    stopping: Option<stop::Stopping>,
}

impl Dispatcher {
    /// Creates a dispatcher without configuration, upstreams or calls.
    #[must_use]
    pub fn new(
        now: Instant,
        entry: InstanceId,
        zone: ZoneName,
        incarnation: u64,
        limits: DispatchLimits,
    ) -> Self {
        Self {
            start_limits: StartLimits::new(now, entry.clone(), incarnation),
            cold_starts: ColdStarts::new(now, entry.clone()),
            entry,
            zone,
            incarnation,
            limits,
            table: None,
            configuration_lag: ConfigurationLag::default(),
            upstreams: Upstreams::default(),
            peers: PeerLoads::default(),
            slow_ranks: SlowRanksReports::default(),
            harmful_parts: HarmfulParts::default(),
            harmful_requests: HarmfulRequests::default(),
            calls: HashMap::new(),
            reading: HashSet::new(),
            services: HashMap::new(),
            budgets: HashMap::new(),
            expiries: BTreeSet::new(),
            next_check: now + limits.check_interval,
            next_zone_plan: now,
            next_report: now,
            next_idle_report: now,
            report_count: 0,
            load_changed: true,
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

    /// Returns the version of the active configuration, 0 for none.
    fn active_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    fn apply_configuration(
        &mut self,
        now: Instant,
        table: Arc<RoutingTable>,
        source: ConfigurationSource,
        fx: &mut Vec<DispatchEffect>,
    ) {
        if table.version() <= self.active_version() {
            return;
        }
        let behind = self.configuration_lag.record_active(now, table.version());
        for profile in table.services() {
            let limits = table.stream_limits(&profile.name);
            let service = self.service(&profile.name);
            service.configure(profile, limits);
            service.set_has_urgencies(table.has_urgencies(&profile.name));
            self.cold_starts.configure(now, &profile.name, profile.cold);
        }
        fx.push(DispatchEffect::Log(Box::new(DecisionLine {
            verb: "configure",
            reason: Some(source.into()),
            configuration: Some(table.version()),
            behind_ms: behind.map(millis),
            ..DecisionLine::default()
        })));
        fx.push(DispatchEffect::Configured(Arc::clone(&table)));
        self.table = Some(table);
        self.load_changed = true;
    }

    fn list_upstream(
        &mut self,
        now: Instant,
        listed: ListedUpstream,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let (instance, state) = (listed.instance.clone(), listed.state);
        let previous_state = self.upstreams.find(&instance).map(|u| u.listed.state);
        let accepted_before = self.record_accepts_calls(&instance);
        let group = CompactString::from(listed.membership.as_ref().map_or("", |m| &m.group));
        self.record_cold(now, &listed);
        self.upstreams.upsert(listed);
        if let Some(report) = self.slow_ranks.of_group(&group) {
            self.upstreams.set_slow_ranks(report);
        }
        self.update_peer_calls(&[UpstreamTag::from(&instance)]);
        self.update_group_record(now, &instance, accepted_before, fx);
        if previous_state == Some(state) {
            return;
        }
        if state == UpstreamState::Draining {
            fx.push(DispatchEffect::CloseIdle(instance.clone()));
        }
        fx.push(upstream_line(instance, state.into()));
    }

    fn unlist_upstream(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        fx: &mut Vec<DispatchEffect>,
    ) {
        if let Some(upstream) = self.upstreams.find(instance) {
            self.cold_starts.record_unlisted(&upstream.listed);
            self.upstreams.remove(now, instance);
            fx.push(DispatchEffect::CloseIdle(instance.clone()));
            fx.push(upstream_line(instance.clone(), "gone"));
        }
    }

    /// Applies a signal that an upstream sent about itself in an answer.
    fn apply_signal(
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
            UpstreamSignal::Leaving if upstream.signals.set_leaving() => {
                fx.push(DispatchEffect::CloseIdle(instance.clone()));
                fx.push(upstream_line(instance, "says-leaving"));
            }
            UpstreamSignal::Leaving => {}
            UpstreamSignal::BackOff(time) => {
                upstream.signals.record_back_off(now, time);
                fx.push(upstream_line(instance, "says-busy"));
            }
            UpstreamSignal::Limit(limit) => {
                let start = upstream.start();
                if self.start_limits.record_answer(now, start, limit) {
                    self.load_changed = true;
                    let reason = if limit.is_some() {
                        "says-limited"
                    } else {
                        "says-unlimited"
                    };
                    fx.push(limit_line(instance, reason, limit));
                }
            }
        }
    }

    fn apply_peer_report(
        &mut self,
        now: Instant,
        report: LoadReport,
        fx: &mut Vec<DispatchEffect>,
    ) {
        if report.entry != self.entry {
            self.cold_starts.record_report(now, &report.entry);
            if !self.peers.is_outdated(&report) {
                self.apply_reported_limits(now, &report, fx);
                self.apply_reported_version(now, &report, fx);
            }
            if let Some(set) = &report.zones {
                self.apply_reported_zones(now, &report.entry, set, fx);
            }
            let parts = self.harmful_parts.apply_report(now, &report.suspects);
            let requests = self.harmful_requests.apply_report(now, &report.requests);
            self.refuse_harmful(now, &parts, &requests, fx);
            let changed = self.peers.apply_report(now, report);
            self.update_peer_calls(&changed);
        }
    }

    /// Applies the version of the configuration that another entry has.
    fn apply_reported_version(
        &mut self,
        now: Instant,
        report: &LoadReport,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let (active, reported) = (self.active_version(), report.configuration);
        let lag = &mut self.configuration_lag;
        if lag.record_report(now, active, &report.entry, reported) {
            fx.push(DispatchEffect::Log(Box::new(DecisionLine {
                verb: "behind",
                configuration: Some(reported),
                peer: Some(report.entry.clone()),
                ..DecisionLine::default()
            })));
        }
    }

    /// Updates the other entries' calls at the upstreams with these tags.
    fn update_peer_calls(&mut self, changed: &[UpstreamTag]) {
        for tag in changed {
            if let Some(upstream) = self.upstreams.get_mut_by_tag(*tag) {
                upstream.peer_calls = self.peers.calls_at(*tag);
            }
        }
    }

    /// Applies the costs of streams that the other entries report.
    fn update_peer_costs(&mut self, now: Instant) {
        for (service, state) in &mut self.services {
            let loads = state.groups.loads(now, &self.upstreams, service);
            for load in loads {
                let peer_cost = self.peers.group_cost(GroupTag::from(load.group.as_str()));
                state.groups.set_peer_cost(load.group, peer_cost);
            }
        }
    }

    /// Returns the shortest time between two reports, which grows with the number
    /// of entries that receive them.
    fn report_interval(&self) -> Duration {
        let entries = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let for_all_entries = self
            .limits
            .report_interval_per_entry
            .saturating_mul(entries);
        let max_interval = self.limits.idle_report_interval;
        self.limits
            .report_interval
            .max(for_all_entries)
            .min(max_interval)
    }

    /// Reports whether the entry takes new calls, if that has changed.
    fn report_readiness(&mut self, fx: &mut Vec<DispatchEffect>) {
        let has_upstreams = self.upstreams.iter().next().is_some();
        let ready = self.table.is_some() && has_upstreams && self.stopping.is_none();
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

    /// Reports the load of this entry, if that is due.
    fn report_load(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        let has_changed = self.load_changed
            || self.harmful_parts.is_report_due(now)
            || self.harmful_requests.is_report_due(now);
        let due = (has_changed && now >= self.next_report) || now >= self.next_idle_report;
        if !due {
            return;
        }
        self.report_count += 1;
        self.load_changed = false;
        self.next_report = now + self.report_interval();
        self.next_idle_report = now + self.limits.idle_report_interval;
        let used_upstreams = self.upstreams.iter().filter(|(_, u)| u.own_calls > 0);
        let load = |(_, upstream): (_, &crate::upstream::Upstream)| UpstreamLoad {
            upstream: UpstreamTag::from(&upstream.listed.instance),
            calls: u16::try_from(upstream.own_calls).unwrap_or(u16::MAX),
        };
        fx.push(DispatchEffect::Report(Box::new(LoadReport {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            number: self.report_count,
            configuration: self.active_version(),
            loads: used_upstreams.map(load).collect(),
            costs: self
                .services
                .values()
                .flat_map(|s| s.groups.recent_costs(now))
                .collect(),
            suspects: self.harmful_parts.take_report(now),
            requests: self.harmful_requests.take_report(now),
            limits: self.start_limits.report(now, self.report_count),
            zones: self.upstreams.evacuated_zones().report(),
            zone: self.reported_zone(),
        })));
    }

    /// Runs the work that is due; called after each event and each wake-up.
    fn run_due_work(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        self.end_expired_calls(now, fx);
        self.end_zone_graces(now, fx);
        if let Some(peer) = self.configuration_lag.take_fetch(now) {
            fx.push(DispatchEffect::FetchConfiguration { peer });
        }
        if now >= self.next_check {
            self.next_check = now + self.limits.check_interval;
            self.upstreams.end_misdirected_pauses(now);
            for report in self.slow_ranks.take_expired(now) {
                self.set_slow_ranks(&report, fx);
            }
            self.harmful_parts.remove_expired(now);
            self.harmful_requests.remove_expired(now);
            let changed = self.peers.remove_expired(now);
            self.update_peer_calls(&changed);
            self.update_peer_costs(now);
            self.check_stalled_groups(now, fx);
            self.hand_out_starts(now);
            self.log_cold_changes(now, fx);
            self.plan_zone_shares(now, fx);
            self.move_streams_off_slow_ranks(now, fx);
            self.check_waiting_calls(now, fx);
            self.log_kept_room(now, fx);
        }
        self.continue_stop(now, fx);
        self.report_readiness(fx);
        self.report_load(now, fx);
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
        self.cold_starts.record_run(now);
        match event {
            DispatchEvent::HeadArrived { call } => {
                self.reading.insert(call);
            }
            DispatchEvent::Arrived {
                call,
                head,
                content,
            } => {
                self.reading.remove(&call);
                self.call_arrived(now, call, *head, content, fx);
            }
            DispatchEvent::Ended { call, whole } => {
                self.reading.remove(&call);
                self.call_ended(now, call, whole, fx);
            }
            DispatchEvent::FirstByte { call } => self.first_byte(now, call, fx),
            DispatchEvent::Pause { call, pause } => self.pause_ended(now, call, pause, fx),
            DispatchEvent::Silent { call } => self.stream_silent(now, call, fx),
            DispatchEvent::AttemptEnded { call, end } => self.attempt_ended(now, call, end, fx),
            DispatchEvent::Configured { table, source } => {
                self.apply_configuration(now, table, source, fx);
            }
            DispatchEvent::ZonesRead(set) => self.apply_read_zones(now, *set, fx),
            DispatchEvent::Listed(listed) => {
                self.list_upstream(now, *listed, fx);
                self.start_all_waiting(now, fx);
            }
            DispatchEvent::Unlisted(instance) => self.unlist_upstream(now, &instance, fx),
            DispatchEvent::SignalReceived { upstream, signal } => {
                self.apply_signal(now, upstream, signal, fx);
            }
            DispatchEvent::PeerReported(report) => {
                self.apply_peer_report(now, *report, fx);
                self.start_all_waiting(now, fx);
            }
            DispatchEvent::SlowRanksReported(report) => {
                self.apply_slow_ranks(now, &report, fx);
                self.start_all_waiting(now, fx);
            }
            DispatchEvent::Stop => self.begin_stop(now, fx),
        }
        self.run_due_work(now, fx);
    }

    fn wake(&mut self, now: Instant, fx: &mut Vec<DispatchEffect>) {
        self.cold_starts.record_run(now);
        self.run_due_work(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        let has_waiting = self.services.values().any(|s| !s.waiting.is_empty());
        let expiry = self.expiries.first().map(|(at, _)| *at);
        let has_streams = self.calls.values().any(|call| call.last_event().is_some());
        let has_limits = !self.start_limits.is_empty();
        let check = (has_waiting || has_streams || has_limits).then_some(self.next_check);
        let report = self.load_changed.then_some(self.next_report);
        let stop = self.stopping.as_ref().map(|_| self.next_check);
        let fetch = self.configuration_lag.next_fetch();
        [
            expiry,
            check,
            report,
            stop,
            fetch,
            self.upstreams.evacuated_zones().next_end(),
            Some(self.next_idle_report),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

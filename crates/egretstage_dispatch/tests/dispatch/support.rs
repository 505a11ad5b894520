//! Test harness: a dispatcher in virtual time, with a routing table.

use egretstage_dispatch::{
    Attempt, CallHead, CallKey, CallerLimits, ColdProfile, ConfigurationSource, DispatchEffect,
    DispatchEvent, DispatchLimits, Dispatcher, EngineProfile, GroupMembership, LimitReport,
    ListedUpstream, LoadReport, Organisation, Prompt, PromptParts, Refusal, RequestHash,
    RequestReport, Route, RouteKind, RoutingTable, ServiceProfile, SuspectReport, UpstreamLoads,
    UpstreamState, WeightedService,
};
use egretstage_runtime::VirtualLoop;
use smallvec::smallvec;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest pause between two events of a stream.
pub(crate) const MAX_PAUSE: Duration = Duration::from_millis(120);

/// Maximum number of attempts of a call that may be repeated.
pub(crate) const MAX_ATTEMPTS: u32 = 2;

/// Engine of the service "drafting".
pub(crate) const ENGINE: EngineProfile = EngineProfile {
    slots: 12,
    step_ms: 4.5,
    stream_step_ms: 0.15,
    steps_per_event: 4,
    read_per_s: 60_000.0,
    experts: None,
};

pub(crate) struct Harness {
    pub(crate) sim: VirtualLoop<Dispatcher>,
    next_call: u64,
    /// Parts of the prompts of the calls that arrive from now on.
    pub(crate) prompt_parts: PromptParts,
    /// What the calls that arrive from now on request; each its own if `None`.
    pub(crate) content: Option<RequestHash>,
}

pub(crate) fn route(name: &str, kind: RouteKind, service: &str, timeout_ms: u64) -> Route {
    Route {
        name: name.into(),
        host: "desk.example".into(),
        path_prefix: format!("/{name}/").as_str().into(),
        services: smallvec![WeightedService {
            service: service.try_into().expect("valid name"),
            weight: 1,
        }],
        kind,
        timeout: Duration::from_millis(timeout_ms),
        objective: Duration::from_millis(500),
        priority: 1,
        max_attempts: if kind.is_repeatable() {
            MAX_ATTEMPTS
        } else {
            1
        },
        public: false,
    }
}

pub(crate) fn table(version: u64, api_key: &str) -> Arc<RoutingTable> {
    table_with_cold(version, api_key, None)
}

/// Returns a routing table whose services bound the calls at cold upstreams.
pub(crate) fn table_with_cold(
    version: u64,
    api_key: &str,
    cold: Option<ColdProfile>,
) -> Arc<RoutingTable> {
    let stream = RouteKind::Stream {
        resumable: true,
        max_pause: MAX_PAUSE,
    };
    let routes = vec![
        route("draft", stream, "drafting", 8_000),
        route("book", RouteKind::NonIdempotent, "booking", 1_500),
        route("look", RouteKind::Idempotent, "booking", 1_500),
    ];
    let organisations = vec![organisation("carrier", None, api_key)];
    table_of(version, routes, organisations, ENGINE, cold)
}

pub(crate) fn organisation(name: &str, priority: Option<u8>, api_key: &str) -> Organisation {
    Organisation {
        name: name.try_into().expect("valid name"),
        priority,
        api_keys: smallvec![api_key.into()],
    }
}

/// Returns a table of these routes to the services "drafting" and "booking".
pub(crate) fn table_with(
    version: u64,
    routes: Vec<Route>,
    organisations: Vec<Organisation>,
    engine: EngineProfile,
) -> Arc<RoutingTable> {
    table_of(version, routes, organisations, engine, None)
}

fn table_of(
    version: u64,
    routes: Vec<Route>,
    organisations: Vec<Organisation>,
    engine: EngineProfile,
    cold: Option<ColdProfile>,
) -> Arc<RoutingTable> {
    let services = vec![
        ServiceProfile {
            name: "drafting".try_into().expect("valid name"),
            max_connections: 100,
            engine: Some(engine),
            cold,
        },
        ServiceProfile {
            name: "booking".try_into().expect("valid name"),
            max_connections: 100,
            engine: None,
            cold,
        },
    ];
    let limits = CallerLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let table = RoutingTable::new(version, routes, services, organisations, limits);
    Arc::new(table.expect("valid routing table"))
}

/// Returns the event of a configuration that was read in the store.
pub(crate) fn configured(table: Arc<RoutingTable>) -> DispatchEvent {
    let source = ConfigurationSource::Store;
    DispatchEvent::Configured { table, source }
}

/// Returns the event of another entry's report that it has a version of the
/// configuration.
pub(crate) fn report_of(entry: &str, number: u64, version: u64) -> DispatchEvent {
    DispatchEvent::PeerReported(Box::new(LoadReport {
        entry: entry.try_into().expect("valid name"),
        incarnation: 1,
        number,
        configuration: version,
        loads: UpstreamLoads::default(),
        costs: smallvec![],
        zones: None,
        suspects: SuspectReport::default(),
        requests: RequestReport::default(),
        limits: LimitReport::default(),
        zone: None,
    }))
}

pub(crate) fn upstream(name: &str, service: &str, group: Option<&str>) -> ListedUpstream {
    ListedUpstream {
        instance: name.try_into().expect("valid name"),
        started_ms: Some(1),
        service: service.try_into().expect("valid name"),
        address: "127.0.0.1:9".parse().expect("valid address"),
        zone: "west".try_into().expect("valid name"),
        slots: if group.is_some() { 12 } else { 6 },
        state: UpstreamState::Ready,
        membership: group.map(|group| GroupMembership {
            group: group.into(),
            accepts_calls: true,
        }),
        cold_for: None,
    }
}

impl Harness {
    /// Creates an entry without configuration or upstreams.
    pub(crate) fn unready() -> Self {
        let (entry, zone) = ("entry".try_into(), "west".try_into());
        let (entry, zone) = (entry.expect("valid name"), zone.expect("valid name"));
        let limits = DispatchLimits::default();
        let dispatcher = Dispatcher::new(Instant::now(), entry, zone, 7, limits);
        Self {
            sim: VirtualLoop::new(dispatcher),
            next_call: 0,
            prompt_parts: PromptParts::new(),
            content: None,
        }
    }

    /// Creates an entry with two ranks of one group and two upstreams without a
    /// group.
    pub(crate) fn ready() -> Self {
        let mut harness = Self::unready();
        harness.sim.event(configured(table(1, "key")));
        for (name, service, group) in [
            ("rank-0", "drafting", Some("g")),
            ("rank-1", "drafting", Some("g")),
            ("desk-0", "booking", None),
            ("desk-1", "booking", None),
        ] {
            harness.list(upstream(name, service, group));
        }
        harness
    }

    pub(crate) fn list(&mut self, upstream: ListedUpstream) -> Vec<DispatchEffect> {
        self.sim.event(DispatchEvent::Listed(Box::new(upstream)))
    }

    /// Returns the key of the next call.
    pub(crate) fn next_key(&self) -> CallKey {
        CallKey(self.next_call)
    }

    /// Reports the arrival of a call; returns its key and the effects.
    pub(crate) fn call(&mut self, path: &str, budget_ms: u64) -> (CallKey, Vec<DispatchEffect>) {
        self.call_with_key(path, budget_ms, "key")
    }

    pub(crate) fn call_with_key(
        &mut self,
        path: &str,
        budget_ms: u64,
        api_key: &str,
    ) -> (CallKey, Vec<DispatchEffect>) {
        let prompt = Prompt {
            tokens: 800,
            max_output: 100,
            expected_output: None,
        };
        self.call_with(path, budget_ms, api_key, prompt)
    }

    pub(crate) fn call_with_prompt(
        &mut self,
        path: &str,
        budget_ms: u64,
        prompt: Prompt,
    ) -> (CallKey, Vec<DispatchEffect>) {
        self.call_with(path, budget_ms, "key", prompt)
    }

    fn call_with(
        &mut self,
        path: &str,
        budget_ms: u64,
        api_key: &str,
        prompt: Prompt,
    ) -> (CallKey, Vec<DispatchEffect>) {
        let call = CallKey(self.next_call);
        self.next_call += 1;
        let head = Box::new(CallHead {
            request: format!("r{}", call.0)
                .as_str()
                .try_into()
                .expect("valid request id"),
            host: "desk.example".into(),
            path: path.into(),
            api_key: Some(api_key.into()),
            budget: Duration::from_millis(budget_ms),
            prompt: Some(prompt),
            prompt_parts: self.prompt_parts.clone(),
        });
        let content = self.content.unwrap_or(RequestHash(call.0));
        let arrived = DispatchEvent::Arrived {
            call,
            head,
            content,
        };
        (call, self.sim.event(arrived))
    }
}

/// Returns the attempt that the effects send for a call.
pub(crate) fn sent(effects: &[DispatchEffect], key: CallKey) -> Option<Attempt> {
    effects.iter().find_map(|effect| match effect {
        DispatchEffect::Send { call, attempt } if *call == key => Some((**attempt).clone()),
        _ => None,
    })
}

/// Returns the calls that the effects send.
pub(crate) fn sent_calls(effects: &[DispatchEffect]) -> Vec<CallKey> {
    let sent = effects.iter().filter_map(|effect| match effect {
        DispatchEffect::Send { call, .. } => Some(*call),
        _ => None,
    });
    sent.collect()
}

/// Returns the refusal of a call among the effects.
pub(crate) fn refused(effects: &[DispatchEffect], key: CallKey) -> Option<Refusal> {
    effects.iter().find_map(|effect| match effect {
        DispatchEffect::Refuse { call, refusal } if *call == key => Some(*refusal),
        _ => None,
    })
}

/// Returns the entry's reports of the next second.
pub(crate) fn reports(harness: &mut Harness) -> Vec<LoadReport> {
    let effects = harness.sim.advance(Duration::from_secs(1));
    let reports = effects.into_iter().filter_map(|effect| match effect {
        DispatchEffect::Report(report) => Some(*report),
        _ => None,
    });
    reports.collect()
}

/// Passes reports to an entry.
pub(crate) fn receive(harness: &mut Harness, reports: &[LoadReport]) {
    for report in reports {
        let mut report = report.clone();
        report.entry = "another".try_into().expect("valid name");
        let event = DispatchEvent::PeerReported(Box::new(report));
        harness.sim.event(event);
    }
}

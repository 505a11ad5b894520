//! The routing table: the service of a call, and the rules for it.

use crate::ColdProfile;
use crate::admission::StreamLimits;
use compact_str::CompactString;
use egretstage_wire::{OrganisationName, ServiceName};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Kind of a route's calls; decides whether a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A call may run any number of times.
    Idempotent,
    /// A call runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream may resume after the last event passed on.
        resumable: bool,
        /// Longest pause between two events for an answer to be in time.
        max_pause: Duration,
    },
}

impl RouteKind {
    /// Returns whether a call that may have run may be sent to another upstream.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable, .. } => *resumable,
        }
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Service with its share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Weight of its share, relative to the other services of the route.
    pub weight: u32,
}

/// Route for the calls to one host below one path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name that the operator gave the route.
    pub name: CompactString,
    /// Host of the calls.
    pub host: CompactString,
    /// Prefix of the paths; begins and ends with a slash.
    pub path_prefix: CompactString,
    /// Services that run its calls.
    pub services: SmallVec<[WeightedService; 2]>,
    /// Kind of its calls.
    pub kind: RouteKind,
    /// Longest time from the arrival of a call to the end of its answer.
    pub timeout: Duration,
    /// Time within which an answer must begin (for streams, with its first event)
    /// to count as in time.
    pub objective: Duration,
    /// Priority of its calls; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of times that a call is sent.
    pub max_attempts: u32,
    /// Whether calls need no API key.
    pub public: bool,
}

impl Route {
    /// Checks the route by itself.
    ///
    /// # Errors
    ///
    /// Returns an error for a route without a service or with an invalid path prefix.
    pub fn check(&self) -> Result<(), RoutingTableError> {
        if self.services.is_empty() {
            return Err(RoutingTableError::NoService(self.name.clone()));
        }
        let prefix = &self.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(RoutingTableError::PathPrefix(self.name.clone()));
        }
        Ok(())
    }
}

/// Layout of the experts of a model group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpertLayout {
    /// Number of layers, each with a map of its own.
    pub layers: u16,
    /// Number of experts of each layer.
    pub experts: u16,
    /// Experts of one layer that a rank can hold.
    pub slots_per_rank: u16,
    /// Experts of one layer that a rank may copy for one map.
    pub copies_per_layer: u16,
    /// Time in which a rank copies one expert of one layer.
    pub copy_time: Duration,
}

/// Timing and capacity of an engine of a model group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Maximum number of calls that an engine runs at once.
    pub slots: u32,
    /// Time of a token step without any call, in milliseconds.
    pub step_ms: f32,
    /// Time that a stream adds to a token step if one engine runs it alone, without
    /// other ranks, in milliseconds.
    pub stream_step_ms: f32,
    /// Token steps between two events of a stream.
    pub steps_per_event: u32,
    /// Prompt tokens that an engine processes per second.
    pub read_per_s: f32,
    /// Layout of its experts, if its ranks divide the work by experts.
    pub experts: Option<ExpertLayout>,
}

impl EngineProfile {
    /// Returns whether a group of `ranks` ranks can keep all its experts without `slow`
    /// of them, so that these get no work.
    #[must_use]
    pub fn can_do_without(&self, slow: usize, ranks: usize) -> bool {
        let sound = ranks.saturating_sub(slow);
        match self.experts {
            Some(layout) => {
                sound * usize::from(layout.slots_per_rank) >= usize::from(layout.experts)
            }
            None => sound > 0,
        }
    }
}

/// Service as the operator configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceProfile {
    /// The service.
    pub name: ServiceName,
    /// Connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// The engine, if model groups run the service.
    pub engine: Option<EngineProfile>,
    /// How the calls at its cold upstreams are bounded, if they are.
    pub cold: Option<ColdProfile>,
}

/// Organisation with the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation.
    pub name: OrganisationName,
    /// Priority of its calls; it takes precedence over that of the route, which orders
    /// the calls within it.
    pub priority: Option<u8>,
    /// Its callers' API keys.
    pub api_keys: SmallVec<[CompactString; 2]>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of all headers, in bytes.
    pub max_header_bytes: usize,
    /// Largest size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time in which the headers of a request must arrive.
    pub header_timeout: Duration,
    /// Longest time that a kept-alive connection may stay idle.
    pub idle_timeout: Duration,
}

/// Error in a routing table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingTableError {
    /// A route names no service.
    NoService(CompactString),
    /// A path prefix doesn't begin and end with a slash.
    PathPrefix(CompactString),
}

impl std::fmt::Display for RoutingTableError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoService(route) => write!(f, "route {route:?} names no service"),
            Self::PathPrefix(route) => write!(
                f,
                "route {route:?}: a path prefix must begin and end with '/'"
            ),
        }
    }
}

impl std::error::Error for RoutingTableError {}

/// Calls that a route applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePattern {
    /// Host of the calls.
    pub host: CompactString,
    /// Prefix of the paths.
    pub path_prefix: CompactString,
}

impl RoutePattern {
    fn matches(&self, host: &str, path: &str) -> bool {
        self.host == host && path.starts_with(self.path_prefix.as_str())
    }
}

/// Objects of a configuration that can't be decoded.
///
/// They are out of use, and the others are in force. Calls that may need one of them
/// are refused as not run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadableObjects {
    /// Routes of which only the pattern can be decoded.
    pub routes: Vec<RoutePattern>,
    /// Whether there are routes of which not even the pattern can be decoded.
    pub has_other_routes: bool,
    /// Whether there are organisations that can't be decoded.
    pub has_organisations: bool,
}

/// Why a call has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMissing {
    /// The configuration has none for it.
    NotConfigured,
    /// Its route can't be decoded, or may be one that can't.
    Unreadable,
}

/// The active configuration, indexed for look-ups.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    version: u64,
    services: HashMap<ServiceName, ServiceProfile>,
    organisations: Vec<Organisation>,
    limits: CallerLimits,
    /// Routes of each host, the longest prefix first.
    by_host: HashMap<CompactString, Vec<Arc<Route>>>,
    /// Index of the organisation that each API key belongs to.
    by_api_key: HashMap<CompactString, usize>,
    unreadable: UnreadableObjects,
}

impl RoutingTable {
    /// Validates and indexes a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error for the first route without a service or with an invalid
    /// path prefix.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServiceProfile>,
        organisations: Vec<Organisation>,
        limits: CallerLimits,
    ) -> Result<Self, RoutingTableError> {
        let mut by_host: HashMap<CompactString, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            route.check()?;
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let indexed_keys = |(index, org): (usize, &Organisation)| {
            let keys = org.api_keys.clone();
            keys.into_iter().map(move |key| (key, index))
        };
        Ok(Self {
            version,
            by_api_key: organisations
                .iter()
                .enumerate()
                .flat_map(indexed_keys)
                .collect(),
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            organisations,
            limits,
            by_host,
            unreadable: UnreadableObjects::default(),
        })
    }

    /// Adds the objects of the configuration that can't be decoded.
    #[must_use]
    pub fn with_unreadable(self, unreadable: UnreadableObjects) -> Self {
        Self { unreadable, ..self }
    }

    /// Returns the objects of the configuration that can't be decoded.
    #[must_use]
    pub fn unreadable(&self) -> &UnreadableObjects {
        &self.unreadable
    }

    /// Returns the version; a later configuration has a higher one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route of a host whose path prefix is the longest that matches a
    /// path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns the route of a call, unless one that can't be decoded may apply instead.
    ///
    /// # Errors
    ///
    /// Returns an error when the call has no route that can be decoded, or when the
    /// path prefix of one that can't be decoded is longer.
    pub fn find_route(&self, host: &str, path: &str) -> Result<&Arc<Route>, RouteMissing> {
        let unreadable = self.unreadable.routes.iter();
        let unreadable = unreadable.filter(|pattern| pattern.matches(host, path));
        let unreadable_length = unreadable.map(|pattern| pattern.path_prefix.len()).max();
        match self.route(host, path) {
            Some(route) if unreadable_length <= Some(route.path_prefix.len()) => Ok(route),
            None if unreadable_length.is_none() && !self.unreadable.has_other_routes => {
                Err(RouteMissing::NotConfigured)
            }
            _ => Err(RouteMissing::Unreadable),
        }
    }

    /// Returns the organisation that an API key belongs to.
    #[must_use]
    pub fn organisation(&self, api_key: &str) -> Option<&Organisation> {
        let index = *self.by_api_key.get(api_key)?;
        self.organisations.get(index)
    }

    /// Returns whether calls of routes that aren't public need an API key.
    #[must_use]
    pub fn needs_api_keys(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns the profile of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceProfile> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceProfile> {
        self.services.values()
    }

    /// Returns whether the routes that lead streams to a service differ in priority.
    #[must_use]
    pub fn has_urgencies(&self, service: &ServiceName) -> bool {
        let routes = self.by_host.values().flatten();
        let to_service = routes.filter(|r| r.services.iter().any(|s| s.service == *service));
        let streams = to_service.filter(|route| route.kind.is_stream());
        let mut priorities = streams.map(|route| route.priority);
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    /// Returns the strictest limits that routes set on a service's streams, if a route
    /// leads streams to it.
    #[must_use]
    pub fn stream_limits(&self, service: &ServiceName) -> Option<StreamLimits> {
        let routes = self.by_host.values().flatten();
        let to_service = routes.filter(|r| r.services.iter().any(|s| s.service == *service));
        let limits = to_service.filter_map(|route| match route.kind {
            RouteKind::Stream { max_pause, .. } => Some(StreamLimits {
                max_pause,
                max_stream: route.timeout,
            }),
            _ => None,
        });
        limits.reduce(|a, b| StreamLimits {
            max_pause: a.max_pause.min(b.max_pause),
            max_stream: a.max_stream.min(b.max_stream),
        })
    }
}

//! Admission, waiting, placement and retries of calls sent straight to upstreams.
//!
//! An entry that calls its upstreams over HTTP itself, without a companion in
//! between, runs one [`Dispatcher`]: a reducer over the events of calls,
//! upstreams, the routing table and the other entries. It does no I/O and
//! reads no clock; `egretstage_gateway` carries out its effects.
//!
//! Each decision has a module of its own, which describes the load pattern that it
//! handles:
//!
//! | decision | module |
//! |---|---|
//! | how many streams a model group runs at once | [`admission`] |
//! | which cost of slow passes this limit allows for | [`slow_passes`] |
//! | which ranks are slow, and until when that counts | `slow_ranks` |
//! | which streams move off slow ranks | `reducer` (`calls/moving`) |
//! | how the operator's priorities order calls | `urgency` |
//! | which part of a bound is kept for more urgent calls | [`urgency_room`] |
//! | in which order waiting calls start | [`waiting`] |
//! | until when a waiting call can be in time | `first_byte_latency` |
//! | whether a model group takes calls at all | [`circuit_breaker`] |
//! | which upstream runs a call | [`placement`] |
//! | which share of a zone's calls leaves it | [`zone_shares`] |
//! | when a refused caller returns | [`retry_slots`] |
//! | whether a failed call is sent again | [`attempts`] |
//! | which prompt parts end upstreams, so that no call with them is sent | [`harmful_parts`] |
//! | which requests end upstreams, so that they aren't sent again | [`harmful_requests`] |
//! | which entry starts a call at an upstream that limits them | [`start_limits`] |
//! | which zones are evacuated, so that nothing is sent there | [`evacuated_zones`] |
//! | how many calls an entry starts at a cold upstream | [`cold_starts`] |
//! | from which entry a newer configuration is fetched | `configuration_lag` |
//! | whether an upstream has signalled that it takes no calls | `signals` |
//! | whether a model group has stalled, or a single stream of it | `group_activity` |

pub mod admission;
pub mod attempts;
mod call;
mod call_rate;
pub mod circuit_breaker;
pub mod cold_starts;
mod configuration_lag;
mod decision_line;
pub mod evacuated_zones;
mod event;
mod evidence;
mod first_byte_latency;
mod group_activity;
mod groups;
pub mod harmful_parts;
pub mod harmful_requests;
mod peers;
pub mod placement;
mod recent_set;
mod reducer;
pub mod retry_slots;
mod routes;
mod signals;
pub mod slow_passes;
mod slow_ranks;
pub mod start_limits;
mod upstream;
mod urgency;
pub mod urgency_room;
pub mod waiting;
pub mod zone_shares;

pub use admission::StreamLimits;
pub use call::{CallHead, CallKey, Prompt, PromptPart, PromptParts, RequestHash};
pub use call_rate::{CallRate, InvalidCallRate};
pub use cold_starts::{ColdChange, ColdProfile, ColdStarts};
pub use decision_line::DecisionLine;
pub use evacuated_zones::{EvacuatedZones, TopicPosition, ZoneSet};
pub use event::{
    Attempt, AttemptEnd, ConfigurationSource, DispatchEffect, DispatchEvent, NotRunCause, Refusal,
    RefusalKind, UnknownCause, UpstreamSignal,
};
pub use first_byte_latency::FirstByteLatency;
pub use harmful_parts::{HarmfulParts, SuspectReport};
pub use harmful_requests::{HarmfulRequests, RequestReport};
pub use peers::{
    ChangedUpstreams, GroupCost, GroupTag, LoadReport, PeerLoads, PeerSum, UpstreamLoad,
    UpstreamLoads, UpstreamStart, UpstreamTag, ZoneTag,
};
pub use reducer::{DispatchLimits, Dispatcher};
pub use routes::{
    CallerLimits, EngineProfile, ExpertLayout, Organisation, Route, RouteKind, RouteMissing,
    RoutePattern, RoutingTable, RoutingTableError, ServiceProfile, UnreadableObjects,
    WeightedService,
};
pub use signals::UpstreamSignals;
pub use start_limits::{LimitReport, StartLimits};
pub use upstream::{GroupMembership, ListedUpstream, UpstreamKey, UpstreamState, Upstreams};
pub use urgency::Urgency;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        Attempt, AttemptEnd, CallHead, CallKey, DecisionLine, DispatchEffect, DispatchEvent,
        DispatchLimits, Dispatcher, ListedUpstream, LoadReport, Refusal, RefusalKind, Route,
        RouteKind, RoutingTable, UpstreamState,
    };
}

//! Admission, waiting, placement and retries of calls sent straight to upstreams.
//!
//! An entry that calls its upstreams over HTTP itself, without a companion in
//! between, runs one [`Dispatcher`]: a reducer over all that happens to calls,
//! upstreams, the routing table and the other entries. It does no I/O and
//! reads no clock; `egretstage_gateway` carries out its effects.
//!
//! Each decision stands in a module of its own, with the load pattern that it
//! answers:
//!
//! | decision | module |
//! |---|---|
//! | how many streams a model group runs at once | [`admission`] |
//! | for how dear passes that is planned | [`dear_passes`] |
//! | in which order calls wait, and when waiting is hopeless | [`waiting`] |
//! | until when a waiting call can be in time | `first_answer` |
//! | whether a model group takes calls at all | [`closure`] |
//! | which upstream runs a call | [`placement`] |
//! | when a refused caller returns | [`returns`] |
//! | whether a failed call is sent again | [`attempts`] |
//! | what upstreams say of themselves in answers | `notices` |
//! | whether a model group stands, and a stream with it | `standing` |

pub mod admission;
pub mod attempts;
mod call;
pub mod closure;
pub mod dear_passes;
mod event;
mod first_answer;
mod groups;
mod line;
mod notices;
mod peers;
pub mod placement;
mod reducer;
pub mod returns;
mod routes;
mod standing;
mod upstream;
pub mod waiting;

pub use call::{CallHead, CallKey, Prompt};
pub use event::{
    Attempt, AttemptEnd, DispatchEffect, DispatchEvent, NotRunCause, Refusal, RefusalKind,
    UnknownCause, UpstreamSignal,
};
pub use first_answer::FirstAnswerTime;
pub use line::DecisionLine;
pub use notices::Notices;
pub use peers::{
    ChangedUpstreams, GroupCost, GroupTag, LoadReport, PeerLoads, PeerSum, UpstreamLoad,
    UpstreamLoads, UpstreamTag,
};
pub use reducer::{DispatchLimits, Dispatcher};
pub use routes::{
    CallerLimits, EngineProfile, ExpertLayout, Organisation, Route, RouteKind, RoutingTable,
    RoutingTableError, ServiceProfile, WeightedService,
};
pub use upstream::{GroupMembership, ListedUpstream, UpstreamKey, UpstreamState, Upstreams};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        Attempt, AttemptEnd, CallHead, CallKey, DecisionLine, DispatchEffect, DispatchEvent,
        DispatchLimits, Dispatcher, ListedUpstream, LoadReport, Refusal, RefusalKind, Route,
        RouteKind, RoutingTable, UpstreamState,
    };
}

//! Chooses an upstream for each request.
//!
//! A [`RoutingPolicy`] sees the [`Candidate`]s that the configuration allows
//! and returns a [`Choice`] with its reason. It does no I/O.

mod candidate;
mod policy;

pub use candidate::{Candidate, Choice, Demand, RouteReason};
pub use policy::{LeastPredictedWait, RoutingPolicy};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{Candidate, Choice, Demand, LeastPredictedWait, RouteReason, RoutingPolicy};
}

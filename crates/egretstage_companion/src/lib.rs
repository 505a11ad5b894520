//! The companion: sole sender of work to the upstream beside it.
//!
//! A [`CompanionReducer`] makes all decisions; [`daemon`] surrounds it with
//! the links from entries and the HTTP client of the upstream.

pub mod daemon;
mod event;
mod group;
mod links;
mod load;
mod meters;
mod reducer;
mod runs;
mod upstream;

pub use event::{
    CompanionEffect, CompanionEvent, PlacementDecision, PlacementLine, RunKey, UpstreamFailure,
    UpstreamRequest,
};
pub use reducer::{CompanionLimits, CompanionReducer};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        CompanionEffect, CompanionEvent, CompanionLimits, CompanionReducer, RunKey,
        UpstreamFailure, UpstreamRequest,
    };
}

//! The companion: sole sender of work to the upstream beside it.
//!
//! A [`CompanionReducer`] makes all decisions; [`daemon`] surrounds it with
//! the links from entries and the HTTP client of the upstream.

mod answer;
mod connections;
pub mod daemon;
mod event;
mod group;
mod keyed;
mod links;
mod load;
mod meters;
mod owners_feed;
mod reader;
mod reducer;
mod runs;
mod starts;
mod streams;
mod timers;
mod upstream;
mod write_gate;

pub use event::{
    CallDecision, CompanionEffect, CompanionEvent, DecisionLine, RunKey, UpstreamFailure,
    UpstreamRequest,
};
pub use keyed::KeyOptions;
pub use reducer::{CompanionLimits, CompanionReducer};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        CompanionEffect, CompanionEvent, CompanionLimits, CompanionReducer, KeyOptions, RunKey,
        UpstreamFailure, UpstreamRequest,
    };
}

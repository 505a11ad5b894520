//! The companion: runs beside an upstream and is the only process that sends
//! calls to it.
//!
//! A [`CompanionReducer`] makes all decisions. [`daemon`] connects it to the
//! links from entries and to the HTTP client of the upstream.

mod answer;
mod connections;
pub mod daemon;
mod event;
mod group;
mod keyed;
mod links;
mod load;
mod metrics;
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

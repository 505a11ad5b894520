//! The entry: callers' HTTP, admission, routing, deadlines.
//!
//! An [`EntryReducer`] makes all decisions without I/O. [`daemon`] connects it to
//! the callers' HTTP server, the links to companions, the platform's instance list
//! and the configuration log.

mod answer;
mod calls;
pub mod daemon;
mod event;
mod feeds;
mod http;
mod keyed;
mod metrics;
mod outcomes;
mod owner_removal;
mod owners_append;
mod reducer;
mod request;
mod responses;
mod resume;
mod routing;
mod sending;
mod status;
mod subset;
mod upstreams;

pub use event::{AnswerPart, CallKey, DecisionLine, EntryEffect, EntryEvent, Refusal, RefusalKind};
pub use reducer::{EntryLimits, EntryReducer};
pub use request::{CallRequest, InvalidRequest, RawRequest, RequestLimits, Target};
pub use sending::INITIAL_CREDIT_CHUNKS;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        AnswerPart, CallKey, CallRequest, DecisionLine, EntryEffect, EntryEvent, EntryLimits,
        EntryReducer, Refusal, RefusalKind, Target,
    };
}

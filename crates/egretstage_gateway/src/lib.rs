//! Forwards callers' requests straight to upstreams over HTTP.
//!
//! The I/O around a [`Dispatcher`](egretstage_dispatch::Dispatcher): the
//! callers' HTTP server, kept connections to upstreams, answers passed on
//! whole or event by event, the feeds from the platform's store, and the load
//! reports between entries. What is spoken with callers, upstreams and the
//! store is a matter of the [`HttpDialect`], the [`RecordDecoder`] and the
//! [`KeyedStore`](egretstage_platform::KeyedStore) of a platform.
//!
//! All of it runs on one thread, because an entry instance has a fraction of a
//! core; only reads of the store block, on threads of their own.

mod announcement;
mod answers;
mod attempt;
pub mod daemon;
mod dialect;
mod driver;
mod events;
mod exchange;
mod feeds;
mod meters;
mod peers;
mod record_relay;
mod relay;
mod server;
mod settings;
mod upstream_pool;

pub use dialect::{
    AnswerHead, CallError, DecodeError, ForwardHead, HttpDialect, Platform, RecordDecoder,
};
pub use events::{EventSplitter, StreamEvent};
pub use settings::GatewaySettings;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        AnswerHead, CallError, DecodeError, ForwardHead, GatewaySettings, HttpDialect, Platform,
        RecordDecoder,
    };
}

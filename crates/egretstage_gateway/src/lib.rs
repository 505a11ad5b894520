//! Forwards callers' requests straight to upstreams over HTTP.
//!
//! Performs the I/O around a [`Dispatcher`](egretstage_dispatch::Dispatcher):
//! the callers' HTTP server, pooled connections to upstreams, answers passed
//! on complete or event by event, feeds from the platform's store, and load
//! reports between entries. The [`HttpDialect`], the [`RecordDecoder`] and the
//! [`KeyedStore`](egretstage_platform::KeyedStore) of a platform define the
//! formats that callers, upstreams and the store use.
//!
//! Everything runs on one thread, because an entry instance has a fraction of
//! a core; only reads of the store block, each on its own thread.

mod announcement;
mod answers;
mod attempt;
mod configuration_fetch;
pub mod daemon;
mod dialect;
mod driver;
mod events;
mod exchange;
mod feeds;
mod metrics;
mod operator_records;
mod peers;
mod record_relay;
mod relay;
mod server;
mod settings;
mod upstream_pool;
mod upstream_stream;

pub use announcement::decode_entry_address;
pub use dialect::{
    AnswerHead, CallError, DecodeError, ForwardHead, HttpDialect, NamedLimit, Platform,
    RecordDecoder,
};
pub use events::{EventSplitter, StreamEvent};
pub use operator_records::{ConfigurationRecord, OperatorRecords};
pub use settings::{GatewaySettings, LimitsSettings, ZonesSettings};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        AnswerHead, CallError, DecodeError, ForwardHead, GatewaySettings, HttpDialect, Platform,
        RecordDecoder,
    };
}

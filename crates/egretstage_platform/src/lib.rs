//! Clients of the platform's log service, instance list and weight store, and
//! the follower of its keyed records.
//!
//! Each service has a trait, so that reducers and tests don't depend on HTTP.

mod held_records;
mod http;
mod instance_list;
mod keyed_follower;
mod keyed_store;
mod limited_transport;
mod log_service;
mod newest_records;
mod record_order;
mod store_era;
mod weight_store;

pub use http::{HttpAnswer, HttpClient, limited_agent};
pub use instance_list::{HttpInstanceList, InstanceList, InstanceState, ListedInstance};
pub use keyed_follower::{KeyedChange, KeyedFollower};
pub use keyed_store::{Changes, ConditionalPut, KeyedRecord, KeyedStore, KeyedTopic, NewestPage};
pub use log_service::{AppendLog, AppendRequest, HttpAppendLog, LogPage, LogRecord};
pub use newest_records::{NewestRecords, read_newest};
pub use record_order::{RecordOrder, RecordVersion, Unordered};
pub use store_era::{HighestEra, StoreEra};
pub use weight_store::{HttpWeightStore, WeightStore, WeightTransfer};

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No answer came; the call may or may not have taken effect.
    #[error("no answer from {url}: {reason}")]
    NoAnswer {
        /// The URL that was called.
        url: String,
        /// What went wrong.
        reason: String,
    },
    /// The service refused the call; it took no effect.
    #[error("{url} refused: status {status}: {body}")]
    Refused {
        /// The URL that was called.
        url: String,
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer, as text.
        body: String,
    },
    /// The answer dates from before the store was restored from a copy.
    #[error("{url} sent an outdated answer of era {era}, after one of era {highest}")]
    StaleEra {
        /// The URL that was called.
        url: String,
        /// The era of the answer.
        era: u64,
        /// The highest era that the store has reported.
        highest: u64,
    },
    /// The answer can't be decoded.
    #[error("the answer from {url} can't be decoded: {reason}")]
    Malformed {
        /// The URL that was called.
        url: String,
        /// What went wrong.
        reason: String,
    },
}

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        AppendLog, AppendRequest, Changes, HttpAppendLog, HttpClient, HttpInstanceList,
        HttpWeightStore, InstanceList, InstanceState, KeyedChange, KeyedFollower, KeyedRecord,
        KeyedStore, KeyedTopic, ListedInstance, LogPage, LogRecord, PlatformError, WeightStore,
        WeightTransfer,
    };
}

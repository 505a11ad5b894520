//! What a platform has to translate.

use compact_str::CompactString;
use egretstage_dispatch::{CallHead, ListedUpstream, NotRunCause, RoutingTable};
use egretstage_platform::KeyedStore;
use egretstage_wire::{InstanceId, OrganisationName, RequestId};
use hyper::HeaderMap;
use hyper::http::{request, response};
use std::sync::Arc;
use std::time::Duration;

/// Why a caller's request can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// A header is missing or has a value that isn't allowed.
    #[error("header {name}: {reason}")]
    Header {
        /// The header.
        name: &'static str,
        /// What is allowed.
        reason: CompactString,
    },
}

/// What is told to an upstream with a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardHead {
    /// How long the caller still waits.
    pub budget: Duration,
    /// The upstream that is meant; no other may run the request.
    pub instance: InstanceId,
    /// The caller's organisation.
    pub organisation: Option<OrganisationName>,
    /// Last event that the caller has, if the answer is to go on after it.
    pub resume_after: Option<CompactString>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub request: Option<RequestId>,
    /// Whether the upstream signed it.
    pub signed: bool,
    /// Why the upstream didn't run the request, if it states so.
    pub not_run: Option<NotRunCause>,
    /// Whether the upstream says that it leaves.
    pub leaving: bool,
    /// For how long the upstream wants no calls from this entry.
    pub back_off: Option<Duration>,
}

/// Translates heads of HTTP messages.
pub trait HttpDialect {
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong and what is allowed.
    fn parse_call_head(&self, req: &request::Parts) -> Result<CallHead, CallError>;

    /// Makes an upstream's headers from a caller's, from which those of one
    /// connection have been taken out.
    fn rewrite_headers(&self, headers: &mut HeaderMap, forward: &ForwardHead);

    /// Reads the head of an upstream's answer.
    fn parse_answer_head(&self, resp: &response::Parts) -> AnswerHead;
}

/// Why a record of the store can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub CompactString);

/// Decodes the records of the store.
pub trait RecordDecoder: Send + Sync {
    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the record.
    fn decode_routing_table(&self, value: &[u8]) -> Result<RoutingTable, DecodeError>;

    /// Decodes an upstream.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the record.
    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<ListedUpstream, DecodeError>;
}

/// Everything that an entry needs of a platform.
pub struct Platform {
    /// Heads of HTTP messages.
    pub dialect: Box<dyn HttpDialect>,
    /// Records of the store.
    pub decoder: Arc<dyn RecordDecoder>,
    /// The store; one client for each thread that reads it.
    pub new_store: Box<dyn Fn() -> Box<dyn KeyedStore>>,
}

impl std::fmt::Debug for Platform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}

//! Defines what a platform provides: the format of HTTP heads, the format of
//! store records, and the store.

use compact_str::CompactString;
use egretstage_dispatch::{CallHead, CallRate, ListedUpstream, NotRunCause, RoutingTable};
use egretstage_platform::{KeyedStore, RecordOrder};
use egretstage_wire::{InstanceId, OrganisationName, RequestId, ZoneName};
use hyper::HeaderMap;
use hyper::http::{request, response};
use std::sync::Arc;
use std::time::Duration;

/// Why a caller's request can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// A header is missing or has a value that isn't allowed.
    #[error("header {name}: {reason}")]
    Header {
        /// The header.
        name: &'static str,
        /// What is wrong with the value, or what is allowed.
        reason: CompactString,
    },
}

/// Information that a forwarded request carries to the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardHead {
    /// Time for which the caller still waits.
    pub budget: Duration,
    /// The only upstream that may run the request.
    pub instance: InstanceId,
    /// The caller's organisation.
    pub organisation: Option<OrganisationName>,
    /// Id of the last event that the caller has received, if the answer is a
    /// stream that resumes after it.
    pub resume_after: Option<CompactString>,
}

/// Information from the head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub request: Option<RequestId>,
    /// Whether the upstream signed it.
    pub signed: bool,
    /// Why the upstream didn't run the request, if the upstream states that.
    pub not_run: Option<NotRunCause>,
    /// Whether the upstream states that it is leaving.
    pub leaving: bool,
    /// Time for which the upstream asks this entry to send no calls.
    pub back_off: Option<Duration>,
    /// Limit that the upstream names for the calls of all entries together.
    pub limit: NamedLimit,
}

/// Limit on the calls of all entries together, as an answer names it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NamedLimit {
    /// The answer names none.
    #[default]
    None,
    /// The answer names this rate.
    Rate(CallRate),
    /// What the answer names is no rate.
    Invalid,
}

/// Translates the heads of HTTP messages.
pub trait HttpDialect {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error when a header is missing or has an invalid value.
    fn parse_call_head(&self, req: &request::Parts) -> Result<CallHead, CallError>;

    /// Converts the headers of a caller's request to those that an upstream gets.
    ///
    /// Headers that apply to a single connection are removed before the call.
    fn rewrite_headers(&self, headers: &mut HeaderMap, forward: &ForwardHead);

    /// Parses the head of an upstream's answer.
    fn parse_answer_head(&self, resp: &response::Parts) -> AnswerHead;
}

/// Why a record of the store can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub CompactString);

/// Decodes the records of the store.
pub trait RecordDecoder: RecordOrder {
    /// Decodes a record of the configuration's topic, or returns `None` if its key isn't
    /// that of the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when the configuration is invalid.
    fn decode_routing_table(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<Option<RoutingTable>, DecodeError>;

    /// Decodes the key of a record of the configuration's topic that evacuates an availability
    /// zone, or returns `None` if it is another key. Each value evacuates the zone.
    ///
    /// Such a key applies as listed ([`RecordOrder::applies_as_listed`]).
    ///
    /// # Errors
    ///
    /// Returns an error when the key holds no valid name.
    fn decode_evacuated_zone(&self, key: &str) -> Result<Option<ZoneName>, DecodeError>;

    /// Decodes an upstream.
    ///
    /// # Errors
    ///
    /// Returns an error when the record is invalid.
    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<ListedUpstream, DecodeError>;
}

/// Everything that an entry needs from a platform.
pub struct Platform {
    /// Translates the heads of HTTP messages.
    pub dialect: Box<dyn HttpDialect>,
    /// Decodes the records of the store.
    pub decoder: Arc<dyn RecordDecoder>,
    /// Creates a client of the store; each thread that reads the store uses its
    /// own.
    pub new_store: Box<dyn Fn() -> Box<dyn KeyedStore>>,
}

impl std::fmt::Debug for Platform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Platform").finish_non_exhaustive()
    }
}

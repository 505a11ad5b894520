//! The log lines of a dispatcher's decisions.

use compact_str::CompactString;
use egretstage_wire::{InstanceId, OrganisationName, RequestId, ServiceName};
use serde::Serialize;

/// A decision, with the inputs that decided it and their age.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DecisionLine {
    /// What was decided: `place`, `attempt` (how one ended without an answer to
    /// pass on), `retry`, `refuse`, `end`, or what the process believes from
    /// now on: `configure`, `upstream`, `group`, `ready`, `stop`.
    pub verb: &'static str,
    /// The request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The route.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<CompactString>,
    /// The caller's organisation.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationName>,
    /// The service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// The upstream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<InstanceId>,
    /// The model group.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub group: Option<CompactString>,
    /// Why.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<&'static str>,
    /// How often the call was sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Calls that the service runs, at all entries.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
    /// Calls that the service may run, at all entries.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bound: Option<u32>,
    /// Calls that wait at this entry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waiting: Option<usize>,
    /// Time since the call arrived, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// Time from the arrival to the answer's first byte, or first event, in
    /// milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_byte_ms: Option<u64>,
    /// Longest pause between two events of the answer, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub longest_pause_ms: Option<u64>,
    /// When the caller is told to return, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Version of the configuration that decided.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub configuration: Option<u64>,
    /// Age of the oldest report of another entry that was counted, in
    /// milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peers_age_ms: Option<u64>,
}

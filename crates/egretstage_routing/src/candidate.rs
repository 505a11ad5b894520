//! What a policy sees and what it answers.

use egretstage_wire::{LoadReport, NotRunReason};
use serde::Serialize;
use std::time::Duration;
use strum::Display;

/// An upstream that may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// Whether it is in the entry's zone.
    pub same_zone: bool,
    /// The newest load report.
    pub load: LoadReport,
    /// Calls sent to it since that report.
    pub sent_since_report: u32,
    /// Calls of this entry that run there.
    pub own_in_flight: u32,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Demand {
    /// Remaining budget.
    pub budget: Duration,
    /// Estimated tokens of the prompt, 0 for a plain call.
    pub prompt_tokens: u32,
    /// Most tokens to generate, 0 for a plain call.
    pub max_tokens: u32,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RouteReason {
    /// It is the only one.
    OnlyCandidate,
    /// Its predicted wait is the shortest.
    ShortestWait,
    /// It owns the request's key.
    KeyOwner,
}

/// The answer of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Sends the request to the candidate at an index.
    Send {
        /// Index into the candidates.
        index: usize,
        /// Why it was chosen.
        reason: RouteReason,
    },
    /// Refuses the request as not run.
    Refuse {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after: Duration,
    },
}

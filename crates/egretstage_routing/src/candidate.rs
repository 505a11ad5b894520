//! Input and output of a routing policy.

use egretstage_wire::{LoadReport, NotRunReason};
use serde::Serialize;
use std::time::Duration;
use strum::Display;

/// An upstream that may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// Whether it is in the entry's availability zone.
    pub same_zone: bool,
    /// The last load report.
    pub load: LoadReport,
    /// Minimum age of that report, in milliseconds: the time since it arrived, or
    /// since the oldest call that it doesn't count was sent.
    pub report_age_ms: u32,
    /// Estimated time without calls, in milliseconds; 0 if it holds calls.
    pub idle_ms: u32,
    /// Mean number of other entries' calls in its reports.
    pub others_mean: f32,
    /// Calls that this entry sent and the report doesn't count.
    pub sent_since_report: u32,
    /// Calls of this entry in flight.
    pub own_in_flight: u32,
    /// Uncached prompt tokens of this entry's calls without a first token.
    pub own_prefill_tokens: u32,
    /// Estimated leading prompt tokens in its prefix cache.
    pub cached_tokens: u32,
    /// Share of its usual work that it may get: 0 if ejected, 1 if healthy, in
    /// between during slow start.
    pub admitted_share: f32,
    /// Time for which it is expected to refuse the organisation's calls, in
    /// milliseconds.
    pub blocked_ms: u32,
}

/// What a request needs of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Demand {
    /// Remaining budget.
    pub budget: Duration,
    /// Estimated number of prompt tokens, 0 for a plain call.
    pub prompt_tokens: u32,
    /// Likely maximum number of output tokens, 0 for a plain call.
    pub output_tokens: u32,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RouteReason {
    /// It is the only candidate.
    OnlyCandidate,
    /// It is next in round-robin order.
    NextInTurn,
    /// It was drawn at random.
    Random,
    /// It has the lowest reported load of those compared.
    LeastLoaded,
    /// It has the earliest predicted first token of those compared.
    EarliestFirstToken,
    /// Like `EarliestFirstToken`, with part of the prompt in its prefix cache.
    CachedPrefix,
    /// No candidate of the sample was predicted to answer in time, so it was
    /// chosen from all eligible candidates.
    InTime,
    /// It owns the request's idempotency key.
    KeyOwner,
}

/// The decision of a policy on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Sends the request to the candidate at an index.
    Send {
        /// Index into the candidates.
        index: usize,
        /// Why the candidate was chosen.
        reason: RouteReason,
    },
    /// Refuses the request, which was not run.
    Refuse {
        /// Why the request is refused.
        reason: NotRunReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Retry time of a caller if no upstream is known.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Choice {
    /// Returns the index of the chosen candidate, if the request isn't refused.
    #[must_use]
    pub fn index(&self) -> Option<usize> {
        match self {
            Self::Send { index, .. } => Some(*index),
            Self::Refuse { .. } => None,
        }
    }

    /// Returns the refusal of a request for which no upstream is known.
    #[must_use]
    pub fn no_upstream() -> Self {
        Self::Refuse {
            reason: NotRunReason::NoUpstream,
            retry_after: NO_UPSTREAM_RETRY_AFTER,
        }
    }
}

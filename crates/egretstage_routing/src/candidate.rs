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
    /// Least age of that report, in milliseconds: since it arrived, or since
    /// the oldest call that it doesn't count.
    pub report_age_ms: u32,
    /// Time for which it has probably been without calls, in milliseconds.
    pub idle_ms: u32,
    /// Mean of the other entries' calls in its reports.
    pub others_mean: f32,
    /// Calls sent to it that the report doesn't count.
    pub sent_since_report: u32,
    /// Calls of this entry that it holds.
    pub own_in_flight: u32,
    /// Uncached prompt tokens of this entry's calls that have no answer yet.
    pub own_prefill_tokens: u32,
    /// Leading tokens of the prompt that it has probably cached.
    pub cached_tokens: u32,
    /// Share of its usual work that it is given: 0 when ejected.
    pub admitted_share: f32,
    /// Time for which it refuses the organisation, in milliseconds.
    pub blocked_ms: u32,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Demand {
    /// Remaining budget.
    pub budget: Duration,
    /// Estimated tokens of the prompt, 0 for a plain call.
    pub prompt_tokens: u32,
    /// Tokens that the answer is unlikely to exceed, 0 for a plain call.
    pub output_tokens: u32,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RouteReason {
    /// It is the only one.
    OnlyCandidate,
    /// It is next in turn.
    NextInTurn,
    /// It was drawn at random.
    Random,
    /// Its load is the smallest.
    LeastLoaded,
    /// Its predicted first token is the earliest.
    EarliestFirstToken,
    /// Its predicted first token is the earliest thanks to a cached prefix.
    CachedPrefix,
    /// Its predicted answer is the only one in time.
    InTime,
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

/// When to come back if no upstream is known.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Choice {
    /// Returns the index of the candidate that gets the request.
    #[must_use]
    pub fn index(&self) -> Option<usize> {
        match self {
            Self::Send { index, .. } => Some(*index),
            Self::Refuse { .. } => None,
        }
    }

    /// Refuses a request for which there is no upstream.
    #[must_use]
    pub fn no_upstream() -> Self {
        Self::Refuse {
            reason: NotRunReason::NoUpstream,
            retry_after: NO_UPSTREAM_RETRY_AFTER,
        }
    }
}

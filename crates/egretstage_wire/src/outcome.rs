//! Outcomes of calls, as they are reported to callers.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream's answer arrived completely.
    Completed,
    /// The call provably didn't run.
    NotRun {
        /// Why the call was refused.
        reason: NotRunReason,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The call may or may not have run.
    Unknown {
        /// Why the outcome isn't known.
        reason: UnknownReason,
    },
}

/// Why a call was refused before it ran.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// No live upstream serves the service.
    NoUpstream,
    /// No upstream can finish within the budget.
    DeadlineTooClose,
    /// The budget ended before the call was sent to the upstream.
    DeadlinePassed,
    /// The organisation or the upstream is over its limit.
    Overloaded,
    /// The companion is shutting down.
    Leaving,
    /// The upstream refused the connection.
    UpstreamUnreachable,
    /// The receiver doesn't own the key.
    NotOwner,
    /// The caller disconnected before the call was sent.
    CallerGone,
    /// The companion can't serve a call of this kind.
    Unsupported,
    /// The entry's release can't read the configuration that the call needs.
    ConfigurationUnreadable,
    /// The owner of the key can't confirm its ownership on the log.
    OwnershipUnconfirmed,
    /// The owner already remembers its maximum number of keys.
    KeysFull,
    /// The key was used before for a different request.
    KeyReused,
}

/// Why it isn't known whether a call ran.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The link to the companion was lost after the call was sent.
    LinkLost,
    /// The upstream's connection broke after the call was sent.
    UpstreamCut,
    /// The deadline passed while the call ran.
    DeadlinePassed,
    /// A former owner of the key may have run the call.
    FormerOwner,
    /// The companion has no record of the call, or no longer stores its whole answer.
    AnswerForgotten,
    /// The call ran to its end, but its whole answer is no longer stored.
    CompletedNotHeld,
}

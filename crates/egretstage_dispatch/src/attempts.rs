//! Decides whether a failed call is sent again.
//!
//! Load pattern: an upstream resets connections, loses answers or answers with
//! errors, while others are healthy. A call that provably didn't run may go to
//! another upstream; one that may have run goes there only on routes whose calls
//! may be repeated. A retry budget for each service limits retries to a share of
//! its calls, so that entries don't overload a failing service further.

use crate::{AttemptEnd, Route};

/// Step after an attempt that gave no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NextStep {
    /// The call may go to another upstream.
    Retry,
    /// The call ends; it provably didn't run.
    EndNotRun,
    /// The call ends; it may have run.
    EndUnknown,
    /// The call ends with the error answer of the upstream.
    EndWithAnswer,
}

/// Decides on the step after an attempt.
///
/// `attempts` is the number of times that the call was sent, and
/// `maybe_ran_earlier` is whether an earlier attempt may have run it.
#[must_use]
pub fn next_step(
    route: &Route,
    end: &AttemptEnd,
    attempts: u32,
    maybe_ran_earlier: bool,
) -> NextStep {
    let attempts_left = attempts < route.max_attempts;
    let repeatable = route.kind.is_repeatable();
    match end {
        AttemptEnd::NotSent { .. } => NextStep::Retry,
        AttemptEnd::NotRun { .. } if attempts_left => NextStep::Retry,
        AttemptEnd::NotRun { .. } if maybe_ran_earlier => NextStep::EndUnknown,
        AttemptEnd::NotRun { .. } => NextStep::EndNotRun,
        AttemptEnd::Unknown { .. } | AttemptEnd::Failure { .. } if repeatable && attempts_left => {
            NextStep::Retry
        }
        AttemptEnd::Unknown { .. } => NextStep::EndUnknown,
        AttemptEnd::Failure { .. } => NextStep::EndWithAnswer,
    }
}

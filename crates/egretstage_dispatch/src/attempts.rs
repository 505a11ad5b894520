//! Whether a failed call is sent again.
//!
//! Load pattern: an upstream resets connections, loses answers or answers with
//! errors, while others are sound. What was proved not to have run may go to
//! another upstream; what may have run goes there only on routes whose calls
//! may be repeated. One budget for each service keeps retries a share of its
//! calls, so that a failing service isn't made worse by its own entries.

use crate::{AttemptEnd, Route};

/// What happens after an attempt that gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NextStep {
    /// The call may go to another upstream.
    Retry,
    /// It ends; it was proved not to have run.
    EndNotRun,
    /// It ends; it may have run.
    EndUnknown,
    /// It ends with the answer that the upstream gave.
    EndWithAnswer,
}

/// Decides what happens after an attempt.
///
/// `attempts` counts the upstreams that the call was sent to, and
/// `maybe_ran_earlier` tells whether an earlier one may have run it.
#[must_use]
pub fn next_step(
    route: &Route,
    end: &AttemptEnd,
    attempts: u32,
    maybe_ran_earlier: bool,
) -> NextStep {
    let more = attempts < route.max_attempts;
    let repeatable = route.kind.is_repeatable();
    match end {
        AttemptEnd::NotSent { .. } => NextStep::Retry,
        AttemptEnd::NotRun { .. } if more => NextStep::Retry,
        AttemptEnd::NotRun { .. } if maybe_ran_earlier => NextStep::EndUnknown,
        AttemptEnd::NotRun { .. } => NextStep::EndNotRun,
        AttemptEnd::Unknown { .. } | AttemptEnd::Failure { .. } if repeatable && more => {
            NextStep::Retry
        }
        AttemptEnd::Unknown { .. } => NextStep::EndUnknown,
        AttemptEnd::Failure { .. } => NextStep::EndWithAnswer,
    }
}

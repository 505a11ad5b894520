//! What a dispatcher keeps for each service.

use super::DispatchLimits;
use crate::groups::Groups;
use crate::returns::{ReturnLimits, ReturnSchedule};
use crate::waiting::{StartRate, WaitingCalls};
use crate::{FirstAnswerTime, ServiceProfile};
use egretstage_routing::{RetryBudget, RetryLimits};
use std::time::Duration;

/// Time over which the starts of waiting calls are counted.
const START_WINDOW: Duration = Duration::from_secs(2);

/// Longest pause that streams may have where no route says so.
const DEFAULT_MAX_PAUSE: Duration = Duration::from_millis(120);

/// What a dispatcher keeps for each service.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    pub(super) waiting: WaitingCalls,
    /// How long its answers take to begin.
    pub(super) first_answer: FirstAnswerTime,
    pub(super) starts: StartRate,
    pub(super) returns: ReturnSchedule,
    pub(super) retries: RetryBudget,
    /// Its model groups, with the bounds of their streams.
    pub(super) groups: Groups,
}

impl ServiceState {
    pub(super) fn new(limits: &DispatchLimits) -> Self {
        Self {
            waiting: WaitingCalls::default(),
            first_answer: FirstAnswerTime::default(),
            starts: StartRate::new(START_WINDOW),
            returns: ReturnSchedule::new(ReturnLimits::default()),
            retries: RetryBudget::new(RetryLimits {
                retries_per_thousand: limits.retries_per_thousand,
                burst: limits.retry_burst,
            }),
            groups: Groups::default(),
        }
    }

    /// Takes over what the operator says of the service.
    pub(super) fn configure(&mut self, profile: &ServiceProfile, max_pause: Option<Duration>) {
        let max_pause = max_pause.unwrap_or(DEFAULT_MAX_PAUSE);
        self.groups.configure(profile.engine, max_pause);
    }
}

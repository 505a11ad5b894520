//! Outcome of a request for its caller.

use super::call::CallId;
use super::event_queue::Event;
use super::metrics::SecondCounts;
use super::options::CallerRetries;
use super::simulation::Simulation;
use rand::Rng;
use std::time::{Duration, Instant};

/// Wait before a retry, of a caller that received no retry time or ignores it.
pub(super) const DEFAULT_RETRY_WAIT: Duration = Duration::from_secs(1);

/// Maximum random extension of a caller's wait, as a share of it.
const MAX_WAIT_JITTER: f64 = 0.2;

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Answered completely before the deadline.
    Answered,
    /// Refused as not run, with the time after which to retry.
    Refused(Duration),
    /// Not answered by the deadline.
    Late,
    /// The answer was lost with the upstream.
    Lost,
}

impl Simulation {
    /// Reports the outcome of a request to its caller, counts it and schedules
    /// the caller's retry, if any.
    pub(super) fn close(&mut self, now: Instant, id: CallId, outcome: Outcome) {
        let call = &mut self.calls[id];
        call.closed = true;
        call.sent = None;
        self.count_outcome(id, outcome);
        let CallerRetries::UpTo(max_retries) = self.scenario.caller_retries else {
            return;
        };
        if outcome == Outcome::Answered || self.calls[id].caller_attempts > max_retries {
            return;
        }
        let wait = match outcome {
            Outcome::Refused(after) if id.is_multiple_of(2) => after,
            _ => DEFAULT_RETRY_WAIT,
        };
        let jitter = 1.0 + self.rng.random_range(0.0..MAX_WAIT_JITTER);
        self.events
            .schedule(now + wait.mul_f64(jitter), Event::CallerRetry(id));
    }

    fn count_outcome(&mut self, id: CallId, outcome: Outcome) {
        let call = &self.calls[id];
        let since_start = call.arrived - self.start;
        let on_time = outcome == Outcome::Answered;
        let tokens = u64::from(call.req.tokens);
        let second = usize::try_from(since_start.as_secs()).unwrap_or(usize::MAX);
        let metrics = &mut self.metrics;
        if metrics.per_second.len() <= second {
            metrics
                .per_second
                .resize(second + 1, SecondCounts::default());
        }
        metrics.per_second[second].offered += 1;
        metrics.per_second[second].on_time += u32::from(on_time);
        if since_start < self.scenario.warm_up {
            return;
        }
        let small = self.scenario.site.organisations[call.req.organisation].small;
        metrics.offered += 1;
        metrics.on_time += u32::from(on_time);
        metrics.small_offered += u32::from(small);
        metrics.small_on_time += u32::from(small && on_time);
        metrics.admitted += u32::from(call.has_run);
        match outcome {
            Outcome::Answered => metrics.on_time_tokens += tokens,
            Outcome::Refused(_) => metrics.refused += 1,
            Outcome::Late => metrics.late += 1,
            Outcome::Lost => metrics.lost += 1,
        }
        if let Some(first) = call.first_token {
            metrics.first_tokens.push(first - call.arrived);
        }
    }
}

//! The end of a request, as its caller sees it.

use super::call::CallId;
use super::event_queue::Event;
use super::metrics::SecondCounts;
use super::options::CallerRetries;
use super::simulation::Simulation;
use rand::Rng;
use std::time::{Duration, Instant};

/// Wait of a caller that isn't told, or doesn't heed, when to come back.
pub(super) const IMPATIENT_WAIT: Duration = Duration::from_secs(1);

/// Largest random part of a caller's wait.
const WAIT_JITTER: f64 = 0.2;

/// What became of a request when its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Answered,
    Refused(Duration),
    Late,
    Lost,
}

impl Simulation {
    /// Tells the caller what became of its request and counts it.
    pub(super) fn close(&mut self, now: Instant, id: CallId, outcome: Outcome) {
        let call = &mut self.calls[id];
        call.closed = true;
        call.sent = None;
        self.count(id, outcome);
        let CallerRetries::UpTo(times) = self.scenario.caller_retries else {
            return;
        };
        if outcome == Outcome::Answered || self.calls[id].asks > times {
            return;
        }
        let wait = match outcome {
            Outcome::Refused(after) if id.is_multiple_of(2) => after,
            _ => IMPATIENT_WAIT,
        };
        let jitter = 1.0 + self.rng.random_range(0.0..WAIT_JITTER);
        self.events
            .add(now + wait.mul_f64(jitter), Event::AskAgain(id));
    }

    fn count(&mut self, id: CallId, outcome: Outcome) {
        let call = &self.calls[id];
        let since = call.arrived - self.start;
        let on_time = outcome == Outcome::Answered;
        let tokens = u64::from(call.req.tokens);
        let second = usize::try_from(since.as_secs()).unwrap_or(usize::MAX);
        let metrics = &mut self.metrics;
        if metrics.seconds.len() <= second {
            metrics.seconds.resize(second + 1, SecondCounts::default());
        }
        metrics.seconds[second].offered += 1;
        metrics.seconds[second].on_time += u32::from(on_time);
        if since < self.scenario.warm_up {
            return;
        }
        let small = self.scenario.site.organisations[call.req.organisation].small;
        metrics.offered += 1;
        metrics.on_time += u32::from(on_time);
        metrics.small_offered += u32::from(small);
        metrics.small_on_time += u32::from(small && on_time);
        metrics.admitted += u32::from(call.ran);
        match outcome {
            Outcome::Answered => metrics.good_tokens += tokens,
            Outcome::Refused(_) => metrics.refused += 1,
            Outcome::Late => metrics.late += 1,
            Outcome::Lost => metrics.lost += 1,
        }
        if let Some(first) = call.first_token {
            metrics.first_tokens.push(first - call.arrived);
        }
    }
}

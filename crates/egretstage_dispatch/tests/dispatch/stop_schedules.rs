//! Random schedules of planned stops in virtual time.
//!
//! Load pattern: callers send on open connections until the process is gone. Heads, ends of
//! bodies, answers and the signal come at random moments.

use crate::support::{Harness, refused, sent_calls};
use egretstage_dispatch::{CallKey, DispatchEffect, DispatchEvent, DispatchLimits};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of schedules in a run of the tests.
const SCHEDULES: u64 = 200;

/// Time of a step.
const STEP: Duration = Duration::from_millis(10);

/// Time for which callers send requests, and for which a schedule lasts, in milliseconds.
const SENDING_MS: u64 = 8_000;
const LENGTH_MS: u64 = 14_000;

/// Latest time of the signal, longest time of a body and of an answer, in milliseconds.
const MAX_SIGNAL_MS: u64 = 4_000;
const MAX_BODY_MS: u64 = 1_500;
const MAX_ANSWER_MS: u64 = 600;

const PATHS: [&str; 3] = ["/book/1", "/look/1", "/draft/1"];

/// A request of a caller, with times in milliseconds.
struct Request {
    head_ms: u64,
    body_end_ms: u64,
    /// Whether the caller leaves in place of ending the body.
    leaves: bool,
    path: &'static str,
    budget_ms: u64,
    answer_ms: u64,
}

/// State of a request whose head has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Reading,
    Arrived,
    /// An upstream runs it until this time, in milliseconds.
    Running(u64),
}

struct Schedule {
    seed: u64,
    harness: Harness,
    requests: Vec<Request>,
    signal_ms: u64,
    now_ms: u64,
    owed: BTreeMap<CallKey, State>,
    /// The last time at which something was owed.
    owed_at_ms: u64,
    stopped_ms: Option<u64>,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(0..30);
        let request = |_| {
            let head_ms = rng.random_range(0..SENDING_MS);
            Request {
                head_ms,
                body_end_ms: head_ms + rng.random_range(0..MAX_BODY_MS),
                leaves: rng.random_bool(0.1),
                path: PATHS[rng.random_range(0..PATHS.len())],
                budget_ms: rng.random_range(300..5_000),
                answer_ms: rng.random_range(10..MAX_ANSWER_MS),
            }
        };
        let mut requests: Vec<Request> = (0..count).map(request).collect();
        // The harness numbers calls in the order of their arrival.
        requests.sort_by_key(|req| (req.leaves, req.body_end_ms));
        Self {
            seed,
            harness: Harness::ready(),
            requests,
            signal_ms: rng.random_range(0..MAX_SIGNAL_MS),
            now_ms: 0,
            owed: BTreeMap::new(),
            owed_at_ms: 0,
            stopped_ms: None,
        }
    }

    fn run(mut self) {
        let step_ms = 10;
        while self.now_ms < LENGTH_MS {
            if self.now_ms / step_ms == self.signal_ms / step_ms {
                self.event(DispatchEvent::Stop);
            }
            for index in 0..self.requests.len() {
                self.advance_request(index, step_ms);
            }
            self.end_answers();
            let effects = self.harness.sim.advance(STEP);
            self.apply(&effects);
            self.now_ms += step_ms;
        }
        self.check_end();
    }

    fn event(&mut self, event: DispatchEvent) {
        let effects = self.harness.sim.event(event);
        self.apply(&effects);
    }

    fn advance_request(&mut self, index: usize, step_ms: u64) {
        let call = CallKey(u64::try_from(index).expect("few requests"));
        let req = &self.requests[index];
        let is_now = |at_ms: u64| at_ms / step_ms == self.now_ms / step_ms;
        let (is_head, is_end) = (is_now(req.head_ms), is_now(req.body_end_ms));
        let (leaves, path, budget_ms) = (req.leaves, req.path, req.budget_ms);
        if is_head {
            // A stop that is due ends before the head.
            self.event(DispatchEvent::HeadArrived { call });
            self.owed.insert(call, State::Reading);
        }
        if is_end && leaves {
            self.owed.remove(&call);
            let whole = false;
            self.event(DispatchEvent::Ended { call, whole });
        } else if is_end {
            self.owed.insert(call, State::Arrived);
            let (key, effects) = self.harness.call(path, budget_ms);
            assert_eq!(key, call);
            self.apply(&effects);
            assert!(
                self.stopped_ms.is_none() || !self.owed.contains_key(&call),
                "seed {}: a call that arrived after the stop isn't refused at once",
                self.seed
            );
        }
    }

    fn end_answers(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |(_, state): &(&CallKey, &State)| matches!(state, State::Running(until) if *until <= now_ms);
        let due: Vec<CallKey> = self
            .owed
            .iter()
            .filter(is_due)
            .map(|(key, _)| *key)
            .collect();
        for call in due {
            self.event(DispatchEvent::FirstByte { call });
            self.owed.remove(&call);
            let whole = true;
            self.event(DispatchEvent::Ended { call, whole });
        }
    }

    fn apply(&mut self, effects: &[DispatchEffect]) {
        for call in sent_calls(effects) {
            assert_eq!(
                self.stopped_ms, None,
                "seed {}: sent after the stop",
                self.seed
            );
            let index = usize::try_from(call.0).expect("few requests");
            let until = self.now_ms + self.requests[index].answer_ms;
            self.owed.insert(call, State::Running(until));
        }
        let answered = |call: &CallKey| refused(effects, *call).is_some();
        self.owed.retain(|call, _| !answered(call));
        if !self.owed.is_empty() && self.stopped_ms.is_none() {
            self.owed_at_ms = self.now_ms;
        }
        let is_stopped = |effect: &DispatchEffect| matches!(effect, DispatchEffect::Stopped);
        if effects.iter().any(is_stopped) {
            assert_eq!(self.stopped_ms, None, "seed {}: stopped twice", self.seed);
            self.stopped_ms = Some(self.now_ms);
            self.check_stop();
        }
    }

    /// Checks that no call is left at the end of a stop, and no body before its latest end.
    fn check_stop(&self) {
        let limits = DispatchLimits::default();
        let elapsed = Duration::from_millis(self.now_ms - self.signal_ms.min(self.now_ms));
        let is_at_latest_end = elapsed + 2 * STEP >= limits.stop_within;
        let left = self.owed.values();
        let mut left = left.filter(|state| **state != State::Reading || !is_at_latest_end);
        assert_eq!(left.next(), None, "seed {}: after {elapsed:?}", self.seed);
        assert!(elapsed <= limits.stop_within + limits.check_interval + STEP);
        let idle = Duration::from_millis(self.now_ms - self.owed_at_ms);
        let least = elapsed.saturating_sub(limits.refuse_streams_after);
        assert!(
            idle.min(least) <= limits.check_interval + 2 * STEP,
            "seed {}: idle for {idle:?}",
            self.seed
        );
    }

    fn check_end(&self) {
        assert!(self.stopped_ms.is_some(), "seed {}: no end", self.seed);
    }
}

#[test]
fn a_stop_answers_each_call_that_has_arrived_and_lasts_no_longer() {
    for seed in 0..SCHEDULES {
        Schedule::new(seed).run();
    }
}

//! Decides whether a model group takes calls, and when to probe it again.
//!
//! Load pattern: a group with a missing rank refuses every call that it wasn't
//! running, for seconds, with a statement that the call didn't run. Calls that
//! are sent on to the next rank are refused there too, and their callers return
//! too early and are refused once more. The circuit therefore opens for all
//! ranks of the group, as soon as its records or two refusals in a row show the
//! failure. A trial call now and then checks whether the group has recovered,
//! since a record may be late for as long as the platform's store is down.

use std::time::{Duration, Instant};

/// Refusals in a row, without an answer between them, that open the circuit. A
/// single one may come from a rank that is full.
const REFUSAL_THRESHOLD: u32 = 2;

/// Time between two trial calls to a group with an open circuit: each one that
/// fails is a refusal for its caller.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Circuit breaker of a model group at one entry.
///
/// ```
/// # use egretstage_dispatch::circuit_breaker::CircuitBreaker;
/// # use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut breaker = CircuitBreaker::default();
/// breaker.record_refusal(now, None);
/// assert!(!breaker.is_open());
/// breaker.record_refusal(now, None);
/// assert!(breaker.is_open() && !breaker.allows_call(now));
/// assert!(breaker.allows_call(now + Duration::from_secs(1)));
/// breaker.close();
/// assert!(!breaker.is_open());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    consecutive_refusals: u32,
    /// When the next trial call may be sent, if the circuit is open.
    next_trial: Option<Instant>,
    /// Earliest end of the back-off requests, if each refusal so far came with
    /// one.
    back_off_until: Option<Instant>,
}

impl CircuitBreaker {
    /// Records that a rank refused a call, with the end of its back-off request
    /// if it sent one.
    ///
    /// If each refusal so far came with a back-off request, the next trial waits for
    /// the earliest of their ends.
    pub fn record_refusal(&mut self, now: Instant, back_off_until: Option<Instant>) {
        self.consecutive_refusals += 1;
        self.back_off_until = match (
            self.consecutive_refusals,
            self.back_off_until,
            back_off_until,
        ) {
            (1, _, until) => until,
            (_, Some(known), Some(until)) => Some(known.min(until)),
            _ => None,
        };
        if self.consecutive_refusals >= REFUSAL_THRESHOLD {
            self.open(now);
            if let (Some(next), Some(back_off)) = (&mut self.next_trial, self.back_off_until) {
                *next = (*next).max(back_off);
            }
        }
    }

    /// Returns until when the group asked for no calls, if its circuit is open.
    #[must_use]
    pub fn back_off_until(&self) -> Option<Instant> {
        self.back_off_until.filter(|_| self.is_open())
    }

    /// Opens the circuit. If it was open, the time of the next trial stays.
    pub fn open(&mut self, now: Instant) {
        self.next_trial.get_or_insert(now + TRIAL_INTERVAL);
    }

    /// Closes the circuit: the group answers calls, or its records say that it
    /// takes them.
    pub fn close(&mut self) {
        *self = Self::default();
    }

    /// Records that a call was sent; with an open circuit it is a trial, and the
    /// next one waits for the trial interval.
    pub fn record_sent(&mut self, now: Instant) {
        if let Some(next) = &mut self.next_trial {
            *next = now + TRIAL_INTERVAL;
        }
    }

    /// Returns whether the circuit is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.next_trial.is_some()
    }

    /// Returns whether a call may be sent: always with a closed circuit, as a
    /// trial with an open one.
    #[must_use]
    pub fn allows_call(&self, now: Instant) -> bool {
        self.next_trial.is_none_or(|next| now >= next)
    }
}

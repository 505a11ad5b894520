//! Whether a model group takes calls, and how an entry finds out that it does again.
//!
//! Load pattern: a group whose rank is missing answers every call that it
//! wasn't running, for seconds, with a statement that it didn't run it. Calls
//! that are sent on to the next rank are refused there too, come back too
//! early, and are refused once more. The group is closed for all its ranks
//! instead, as soon as its records or two refusals in a row show it. A call now
//! and then tries whether it runs again, since a record may be late for as long
//! as the platform's store is away.

use std::time::{Duration, Instant};

/// Refusals in a row, without an answer between them, that close a group. One
/// alone may come from a rank that is full.
const REFUSALS_THAT_CLOSE: u32 = 2;

/// Time between two calls that try whether a closed group takes work: each one
/// that fails costs a caller a refusal.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// What an entry knows of a group's willingness to take calls.
///
/// ```
/// # use egretstage_dispatch::closure::Closure;
/// # use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut closure = Closure::default();
/// closure.refused(now, None);
/// assert!(!closure.is_closed());
/// closure.refused(now, None);
/// assert!(closure.is_closed() && !closure.may_try(now));
/// assert!(closure.may_try(now + Duration::from_secs(1)));
/// closure.answered();
/// assert!(!closure.is_closed());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Closure {
    refusals: u32,
    next_trial: Option<Instant>,
    /// Until when each refusal so far asked for no calls.
    stated: Option<Instant>,
}

impl Closure {
    /// Notes that a rank stated that it didn't run a call, perhaps until when
    /// it wants none.
    ///
    /// The group is tried again when the first of its ranks wants calls.
    pub fn refused(&mut self, now: Instant, until: Option<Instant>) {
        self.refusals += 1;
        self.stated = match (self.refusals, self.stated, until) {
            (1, _, until) => until,
            (_, Some(known), Some(until)) => Some(known.min(until)),
            _ => None,
        };
        if self.refusals >= REFUSALS_THAT_CLOSE {
            self.close(now);
            if let (Some(next), Some(stated)) = (&mut self.next_trial, self.stated) {
                *next = (*next).max(stated);
            }
        }
    }

    /// Returns until when a closed group said that it takes no calls.
    #[must_use]
    pub fn stated(&self) -> Option<Instant> {
        self.stated.filter(|_| self.is_closed())
    }

    /// Closes the group; the time of the next trial stays if it was closed.
    pub fn close(&mut self, now: Instant) {
        self.next_trial.get_or_insert(now + TRIAL_INTERVAL);
    }

    /// Notes that the group runs calls, or that its records say so.
    pub fn answered(&mut self) {
        *self = Self::default();
    }

    /// Notes that a call was sent to a closed group.
    pub fn tried(&mut self, now: Instant) {
        if let Some(next) = &mut self.next_trial {
            *next = now + TRIAL_INTERVAL;
        }
    }

    /// Tells whether the group takes no calls.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.next_trial.is_some()
    }

    /// Tells whether a call may be sent: to an open group always, to a closed
    /// one as a trial.
    #[must_use]
    pub fn may_try(&self, now: Instant) -> bool {
        self.next_trial.is_none_or(|next| now >= next)
    }
}

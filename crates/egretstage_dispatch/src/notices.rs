//! What upstreams said of themselves in answers, beyond their records.
//!
//! Load pattern: a record says `ready` for seconds after an upstream has begun
//! to leave, or after it has said that it wants no calls; a store that is away
//! makes that longer, and a record that lapses and comes back must not undo it.
//! What was said belongs to one start of an upstream: another one under the
//! same name or address has said nothing.

use crate::ListedUpstream;
use egretstage_wire::InstanceId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Longest time that an upstream may keep calls away: a value beyond it is
/// taken for a mistake.
const LONGEST_BUSY: Duration = Duration::from_hours(1);

/// Time for which the words of an upstream without a record are remembered:
/// longer than records lapse in an outage of the store.
const REMEMBERED_FOR: Duration = Duration::from_mins(5);

/// What one start of an upstream has said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notices {
    leaving: bool,
    busy_until: Option<Instant>,
}

impl Notices {
    /// Notes that the upstream leaves; returns whether that is new.
    pub fn leaves(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Notes that the upstream wants no calls for a time.
    ///
    /// ```
    /// # use egretstage_dispatch::Notices;
    /// # use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut notices = Notices::default();
    /// notices.busy(now, Duration::from_secs(3));
    /// notices.busy(now, Duration::from_secs(1));
    /// assert!(!notices.allow_calls(now + Duration::from_secs(2)));
    /// assert!(notices.allow_calls(now + Duration::from_secs(3)));
    /// ```
    pub fn busy(&mut self, now: Instant, time: Duration) {
        let until = now + time.min(LONGEST_BUSY);
        self.busy_until = Some(self.busy_until.map_or(until, |known| known.max(until)));
    }

    /// Returns until when the upstream wants no calls.
    #[must_use]
    pub fn busy_until(&self) -> Option<Instant> {
        self.busy_until
    }

    /// Tells whether the upstream leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Tells whether calls may be sent to the upstream.
    #[must_use]
    pub fn allow_calls(&self, now: Instant) -> bool {
        !self.leaving && self.busy_until.is_none_or(|until| until <= now)
    }

    fn say_nothing(&self) -> bool {
        *self == Self::default()
    }
}

/// What upstreams said whose records are gone.
#[derive(Clone, Debug, Default)]
pub(crate) struct RememberedNotices(HashMap<InstanceId, (ListedUpstream, Notices, Instant)>);

impl RememberedNotices {
    /// Remembers what an upstream said whose record is removed.
    pub(crate) fn remember(&mut self, now: Instant, listed: ListedUpstream, notices: Notices) {
        let fresh = |at: Instant| now.saturating_duration_since(at) < REMEMBERED_FOR;
        self.0.retain(|_, (_, _, at)| fresh(*at));
        if !notices.say_nothing() {
            let name = listed.instance.clone();
            self.0.insert(name, (listed, notices, now));
        }
    }

    /// Returns what an upstream said before its record was removed.
    pub(crate) fn recall(&mut self, listed: &ListedUpstream) -> Notices {
        let remembered = self.0.remove(&listed.instance);
        let same = remembered.filter(|(known, _, _)| known.is_same_start(listed));
        same.map_or_else(Notices::default, |(_, notices, _)| notices)
    }
}

//! Signals that upstreams send about themselves in answers, beyond their records.
//!
//! Load pattern: a record still says `ready` for seconds after an upstream has
//! begun to leave or has asked for no calls, and for longer during an outage of
//! the store. A record that lapses and comes back must not cancel a signal.
//! Signals belong to one start of an upstream: another start under the same name
//! or address has sent none.

use crate::ListedUpstream;
use egretstage_wire::InstanceId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Longest time that a back-off request applies for: a longer one is assumed to
/// be a mistake.
const MAX_BACK_OFF: Duration = Duration::from_hours(1);

/// Time for which signals of an upstream without a record are retained: longer
/// than records lapse in an outage of the store.
const RETENTION: Duration = Duration::from_mins(5);

/// Signals that one start of an upstream has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamSignals {
    leaving: bool,
    back_off_until: Option<Instant>,
}

impl UpstreamSignals {
    /// Records that the upstream is leaving; returns whether that is new.
    pub fn set_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records a back-off request: the upstream asks for no calls for a time.
    ///
    /// ```
    /// # use egretstage_dispatch::UpstreamSignals;
    /// # use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut signals = UpstreamSignals::default();
    /// signals.record_back_off(now, Duration::from_secs(3));
    /// signals.record_back_off(now, Duration::from_secs(1));
    /// assert!(!signals.allow_calls(now + Duration::from_secs(2)));
    /// assert!(signals.allow_calls(now + Duration::from_secs(3)));
    /// ```
    pub fn record_back_off(&mut self, now: Instant, time: Duration) {
        let until = now + time.min(MAX_BACK_OFF);
        self.back_off_until = Some(self.back_off_until.map_or(until, |known| known.max(until)));
    }

    /// Returns until when the upstream has asked for no calls.
    #[must_use]
    pub fn back_off_until(&self) -> Option<Instant> {
        self.back_off_until
    }

    /// Returns whether the upstream is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether calls may be sent to the upstream.
    #[must_use]
    pub fn allow_calls(&self, now: Instant) -> bool {
        !self.leaving && self.back_off_until.is_none_or(|until| until <= now)
    }

    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Signals of upstreams whose records have been removed, with the last record and
/// the time of its removal.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetainedSignals(HashMap<InstanceId, (ListedUpstream, UpstreamSignals, Instant)>);

impl RetainedSignals {
    /// Stores the signals of an upstream whose record is removed.
    pub(crate) fn store(&mut self, now: Instant, listed: ListedUpstream, signals: UpstreamSignals) {
        let is_retained =
            |removed_at: Instant| now.saturating_duration_since(removed_at) < RETENTION;
        self.0
            .retain(|_, (_, _, removed_at)| is_retained(*removed_at));
        if !signals.is_empty() {
            let name = listed.instance.clone();
            self.0.insert(name, (listed, signals, now));
        }
    }

    /// Takes out the signals that this start of an upstream sent before its
    /// record was removed.
    pub(crate) fn take(&mut self, listed: &ListedUpstream) -> UpstreamSignals {
        let retained = self.0.remove(&listed.instance);
        let same_start = retained.filter(|(known, _, _)| known.is_same_start(listed));
        same_start.map_or_else(UpstreamSignals::default, |(_, signals, _)| signals)
    }
}

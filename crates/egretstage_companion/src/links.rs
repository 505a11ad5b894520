//! The links from entries.

use egretstage_link::LinkId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// State of the link from one entry.
#[derive(Clone, Copy, Debug, Default)]
struct EntryLink {
    /// Number of start frames received.
    received_starts: u64,
    /// Whether the entry has acknowledged that the companion is leaving, after
    /// which it sends no more start frames.
    acknowledged_leaving: bool,
    /// Smallest difference so far between the arrival of a start frame on this
    /// clock and its sending on the entry's clock.
    min_difference_ms: Option<i128>,
}

/// The links from entries, ordered by link key.
#[derive(Debug)]
pub(crate) struct EntryLinks {
    links: BTreeMap<LinkId, EntryLink>,
    clock_start: Instant,
}

impl EntryLinks {
    pub(crate) fn new(clock_start: Instant) -> Self {
        Self {
            links: BTreeMap::new(),
            clock_start,
        }
    }

    pub(crate) fn insert(&mut self, link: LinkId) {
        self.links.insert(link, EntryLink::default());
    }

    pub(crate) fn remove(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = LinkId> {
        self.links.keys().copied()
    }

    /// Returns each link with the number of start frames received on it.
    pub(crate) fn received_starts(&self) -> impl Iterator<Item = (LinkId, u64)> {
        self.links
            .iter()
            .map(|(link, state)| (*link, state.received_starts))
    }

    /// Records a start frame and returns its delay.
    ///
    /// The clocks of the two processes need not agree, so the smallest difference
    /// on the link is assumed to be that of a frame without delay. The delay is the
    /// excess over it. This also covers frames that waited while this process was
    /// paused.
    pub(crate) fn record_start(&mut self, now: Instant, link: LinkId, sent_ms: u64) -> Duration {
        let Some(state) = self.links.get_mut(&link) else {
            return Duration::ZERO;
        };
        state.received_starts += 1;
        let own_ms = now.saturating_duration_since(self.clock_start).as_millis();
        let difference_ms = own_ms.cast_signed() - i128::from(sent_ms);
        let min_difference_ms = state.min_difference_ms.get_or_insert(difference_ms);
        *min_difference_ms = difference_ms.min(*min_difference_ms);
        let delay_ms = u64::try_from(difference_ms - *min_difference_ms).unwrap_or(u64::MAX);
        Duration::from_millis(delay_ms)
    }

    /// Records that an entry has acknowledged the companion's leaving.
    pub(crate) fn record_leaving_noted(&mut self, link: LinkId) {
        if let Some(state) = self.links.get_mut(&link) {
            state.acknowledged_leaving = true;
        }
    }

    /// Returns whether all entries have acknowledged the companion's leaving, so
    /// that none sends more start frames.
    pub(crate) fn all_acknowledged_leaving(&self) -> bool {
        self.links.values().all(|state| state.acknowledged_leaving)
    }
}

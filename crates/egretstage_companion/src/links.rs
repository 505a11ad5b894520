//! The links from entries.

use egretstage_link::LinkKey;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What a companion knows of one link.
#[derive(Clone, Copy, Debug, Default)]
struct EntryLink {
    /// Start frames received.
    received: u64,
    /// Whether the entry has promised to send no more start frames.
    leaving_noted: bool,
    /// Least difference seen between this clock and the entry's.
    least_difference_ms: Option<i128>,
}

/// The links from entries, in the order of their opening.
#[derive(Debug)]
pub(crate) struct EntryLinks {
    links: BTreeMap<LinkKey, EntryLink>,
    clock_start: Instant,
}

impl EntryLinks {
    pub(crate) fn new(clock_start: Instant) -> Self {
        Self {
            links: BTreeMap::new(),
            clock_start,
        }
    }

    pub(crate) fn insert(&mut self, link: LinkKey) {
        self.links.insert(link, EntryLink::default());
    }

    pub(crate) fn remove(&mut self, link: LinkKey) {
        self.links.remove(&link);
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = LinkKey> {
        self.links.keys().copied()
    }

    /// Returns each link with the count of start frames received on it.
    pub(crate) fn received(&self) -> impl Iterator<Item = (LinkKey, u64)> {
        self.links
            .iter()
            .map(|(link, state)| (*link, state.received))
    }

    /// Notes a start frame and returns how late it is.
    ///
    /// The clocks of two processes need not agree: the least difference seen
    /// on the link stands for an undelayed frame, and what a frame exceeds it
    /// by is its delay. A frame that waited while this process was paused
    /// shows here.
    pub(crate) fn note_start(&mut self, now: Instant, link: LinkKey, sent_ms: u64) -> Duration {
        let Some(state) = self.links.get_mut(&link) else {
            return Duration::ZERO;
        };
        state.received += 1;
        let own_ms = now.saturating_duration_since(self.clock_start).as_millis();
        let difference = own_ms.cast_signed() - i128::from(sent_ms);
        let least = state.least_difference_ms.get_or_insert(difference);
        *least = difference.min(*least);
        let late_ms = u64::try_from(difference - *least).unwrap_or(u64::MAX);
        Duration::from_millis(late_ms)
    }

    /// Notes an entry's promise to send no more start frames.
    pub(crate) fn note_leaving(&mut self, link: LinkKey) {
        if let Some(state) = self.links.get_mut(&link) {
            state.leaving_noted = true;
        }
    }

    /// Tells whether every entry has promised to send no more start frames.
    pub(crate) fn all_noted_leaving(&self) -> bool {
        self.links.values().all(|state| state.leaving_noted)
    }
}

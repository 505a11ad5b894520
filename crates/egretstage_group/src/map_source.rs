//! Sources of expert maps.

use std::time::{Duration, Instant};

/// Plans the expert maps of a group, on the companion that decides for it.
pub trait MapSource: Send {
    /// Returns the first map of a group that has none yet.
    fn initial_map(&mut self) -> Vec<u8>;

    /// Called when all ranks hold `map` and a generation starts to run with it.
    fn generation_started(&mut self, _map: &[u8]) {}

    /// Returns a better map, if there is one.
    ///
    /// After it returned a map, it isn't polled again until all ranks use that
    /// map.
    fn poll(&mut self, now: Instant) -> Option<Vec<u8>>;

    /// Called when all ranks use the map that [`poll`](Self::poll) returned last.
    fn map_activated(&mut self, _now: Instant) {}
}

/// Returns a new map at a fixed interval; the content is only a counter.
#[derive(Clone, Debug)]
pub struct PeriodicMaps {
    interval: Duration,
    next_due: Option<Instant>,
    /// Number of maps returned.
    map_count: u64,
}

impl PeriodicMaps {
    /// Creates a source that returns a new map once per `interval`.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            next_due: None,
            map_count: 0,
        }
    }
}

impl MapSource for PeriodicMaps {
    fn initial_map(&mut self) -> Vec<u8> {
        Vec::new()
    }

    fn poll(&mut self, now: Instant) -> Option<Vec<u8>> {
        let due = *self.next_due.get_or_insert(now + self.interval);
        if due > now {
            return None;
        }
        self.next_due = Some(now + self.interval);
        self.map_count += 1;
        Some(self.map_count.to_le_bytes().to_vec())
    }
}

/// Never replaces the map that a group starts with.
#[derive(Clone, Copy, Debug)]
pub struct FixedMap;

impl MapSource for FixedMap {
    fn initial_map(&mut self) -> Vec<u8> {
        Vec::new()
    }

    fn poll(&mut self, _: Instant) -> Option<Vec<u8>> {
        None
    }
}

//! Where new expert maps come from.

use std::time::{Duration, Instant};

/// Plans the expert maps of a group, on the companion that decides for it.
pub trait MapSource: Send {
    /// Returns the map of a group that has never had one.
    fn initial_map(&mut self) -> Vec<u8>;

    /// Takes note of the map with which the ranks start a generation.
    fn generation_started(&mut self, _map: &[u8]) {}

    /// Returns a better map once there is one.
    ///
    /// It isn't asked again before all ranks use the map that it returned.
    fn poll(&mut self, now: Instant) -> Option<Vec<u8>>;

    /// Takes note that all ranks use the map that was returned last.
    fn map_activated(&mut self, _now: Instant) {}
}

/// Brings in a new map at a fixed interval.
#[derive(Clone, Debug)]
pub struct PeriodicMaps {
    interval: Duration,
    next: Option<Instant>,
    count: u64,
}

impl PeriodicMaps {
    /// Brings in a new map at each interval.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            next: None,
            count: 0,
        }
    }
}

impl MapSource for PeriodicMaps {
    fn initial_map(&mut self) -> Vec<u8> {
        Vec::new()
    }

    fn poll(&mut self, now: Instant) -> Option<Vec<u8>> {
        let due = *self.next.get_or_insert(now + self.interval);
        if due > now {
            return None;
        }
        self.next = Some(now + self.interval);
        self.count += 1;
        Some(self.count.to_le_bytes().to_vec())
    }
}

/// Keeps the map that a group starts with.
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

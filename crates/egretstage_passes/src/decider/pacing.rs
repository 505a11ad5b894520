//! How fast maps are sent to the companions.
//!
//! Load pattern: a wave of copies changes hundreds of lists, and all 64 ranks
//! are told them at once. Through a link of 6 Mbit/s they take a second;
//! heartbeats that wait behind them come too late, and the group changes its
//! decider with each wave. So maps take a share of the link.

use std::time::{Duration, Instant};

/// Bytes that may be sent at one moment: a third of what the queue of a narrow
/// link holds.
const BURST_BYTES: u32 = 8 * 1024;

/// Bytes of a datagram beside the map: the headers and the rest of the order.
const ORDER_BYTES: usize = 160;

/// Spreads datagrams over time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pacer {
    bytes_per_s: u32,
    free_at: Instant,
}

impl Pacer {
    pub(super) fn new(now: Instant, bytes_per_s: u32) -> Self {
        Self {
            bytes_per_s: bytes_per_s.max(1),
            free_at: now,
        }
    }

    /// Tells whether a datagram may be sent.
    pub(super) fn is_free(&self, now: Instant) -> bool {
        now + self.time_of(BURST_BYTES) > self.free_at
    }

    /// Notes a datagram with a map of so many bytes.
    pub(super) fn sent(&mut self, now: Instant, map_bytes: usize) {
        self.free_at = self.free_at.max(now) + self.time_for(map_bytes, 1);
    }

    /// Returns the time that a map takes to so many ranks.
    pub(super) fn time_for(&self, map_bytes: usize, ranks: u32) -> Duration {
        let bytes = u32::try_from(map_bytes + ORDER_BYTES).unwrap_or(u32::MAX);
        self.time_of(bytes.saturating_mul(ranks))
    }

    fn time_of(&self, bytes: u32) -> Duration {
        Duration::from_secs(1) * bytes / self.bytes_per_s
    }
}

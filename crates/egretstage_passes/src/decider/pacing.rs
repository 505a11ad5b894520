//! Limits the rate at which maps are sent to the companions.
//!
//! Load pattern: a copy round changes hundreds of lists, and all 64 ranks are
//! sent them at once, which takes a second on a link of 6 Mbit/s. Heartbeats
//! that queue behind them arrive too late, and the group changes its decider
//! with each copy round. So maps get only a share of the link.

use std::time::{Duration, Instant};

/// Bytes that may be sent at once: a third of the queue of a narrow link.
const BURST_BYTES: u32 = 8 * 1024;

/// Bytes of a datagram in addition to the map: the headers and the rest of the
/// order.
const ORDER_OVERHEAD_BYTES: usize = 160;

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

    /// Returns whether a datagram may be sent.
    pub(super) fn may_send(&self, now: Instant) -> bool {
        now + self.transmit_time(BURST_BYTES) > self.free_at
    }

    /// Records a datagram with a map of `map_bytes`.
    pub(super) fn record_sent(&mut self, now: Instant, map_bytes: usize) {
        self.free_at = self.free_at.max(now) + self.transfer_time(map_bytes, 1);
    }

    /// Returns the time that it takes to send a map to `ranks` ranks.
    pub(super) fn transfer_time(&self, map_bytes: usize, ranks: u32) -> Duration {
        let bytes = u32::try_from(map_bytes + ORDER_OVERHEAD_BYTES).unwrap_or(u32::MAX);
        self.transmit_time(bytes.saturating_mul(ranks))
    }

    fn transmit_time(&self, bytes: u32) -> Duration {
        Duration::from_secs(1) * bytes / self.bytes_per_s
    }
}

//! Simulated links with limited capacity and a queue that overflows.

use std::time::Duration;

/// Capacity of a link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    pub(crate) bytes_per_s: u32,
    /// Size of the queue. A datagram is lost if more bytes are queued before it.
    pub(crate) queue_bytes: u32,
}

impl Link {
    /// The narrowest link of a companion.
    pub(crate) const NARROW: Self = Self {
        bytes_per_s: 750_000,
        queue_bytes: 25_000,
    };
}

/// Bytes of a datagram's headers.
const HEADER_BYTES: usize = 28;

/// One direction of a link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkQueue {
    free_at: Duration,
    /// Bytes that were transmitted.
    pub(crate) bytes: usize,
    /// Whether all datagrams are lost.
    pub(crate) cut: bool,
}

impl LinkQueue {
    /// Transmits a datagram and returns when it has left the link; none if it
    /// is lost.
    pub(crate) fn transmit(&mut self, now: Duration, bytes: usize, link: Link) -> Option<Duration> {
        let wait = self.free_at.saturating_sub(now);
        let max_wait = Duration::from_secs(1) * link.queue_bytes / link.bytes_per_s;
        if self.cut || wait > max_wait {
            return None;
        }
        let bytes = bytes + HEADER_BYTES;
        self.bytes += bytes;
        let size = u32::try_from(bytes).expect("a datagram");
        self.free_at = now + wait + Duration::from_secs(1) * size / link.bytes_per_s;
        Some(self.free_at)
    }
}

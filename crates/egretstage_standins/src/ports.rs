//! Loopback addresses for programs that need one in their settings.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port handed out; all are below the range that the kernel gives to
/// outgoing connections.
const FIRST_PORT: u32 = 20_000;

/// How many ports are handed out before they are used again.
const PORT_COUNT: u32 = 12_000;

/// Spreads the first ports of processes with neighbouring ids far apart.
const PORT_SPREAD: u32 = 0x9e37_79b1;

/// Returns a loopback address that nothing listens on.
///
/// No address is returned twice in a row of [`PORT_COUNT`], so that a program
/// that is slow to bind finds its address free.
///
/// # Panics
///
/// Panics when the machine has no free port.
#[must_use]
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(PORT_SPREAD);
    let mut candidates = (0..PORT_COUNT).map(|_| {
        let count = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(count) % PORT_COUNT;
        SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(port).unwrap_or(0)))
    });
    candidates
        .find(|address| TcpListener::bind(address).is_ok())
        .expect("a free port")
}

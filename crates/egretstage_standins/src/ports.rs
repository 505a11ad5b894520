//! Free loopback addresses for the settings of programs.

use rustix::net::{Shutdown, shutdown};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port that is returned. All ports are below the range that the kernel
/// uses for outgoing connections.
const FIRST_PORT: u32 = 20_000;

/// Number of ports that are returned before the first one is reused.
const PORT_COUNT: u32 = 12_000;

/// Multiplier that spreads the first ports of processes with consecutive ids.
const PORT_SPREAD_FACTOR: u32 = 0x9e37_79b1;

/// Returns a loopback address that nothing listens on.
///
/// An address is reused only after [`PORT_COUNT`] others, so that a program
/// that is slow to bind finds its address free.
///
/// # Panics
///
/// Panics when none of the ports is free.
#[must_use]
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(PORT_SPREAD_FACTOR);
    let mut addresses = (0..PORT_COUNT).map(|_| {
        let count = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(count) % PORT_COUNT;
        SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(port).unwrap_or(0)))
    });
    addresses
        .find(|address| TcpListener::bind(address).map(close).is_ok())
        .expect("a port is free")
}

/// Closes a listener, also in the children that are being started.
///
/// Between its fork and its exec, a child has a copy of each socket of the calling
/// process. A listener that is only dropped in this time accepts connections for as long
/// as the child takes to start.
///
/// # Panics
///
/// Panics when the kernel can't stop the listener.
///
/// ```
/// use egretstage_standins::ports::close;
/// use std::net::{TcpListener, TcpStream};
///
/// let listener = TcpListener::bind("127.0.0.1:0")?;
/// let address = listener.local_addr()?;
/// close(listener);
/// assert!(TcpStream::connect(address).is_err());
/// # Ok::<(), std::io::Error>(())
/// ```
#[expect(clippy::needless_pass_by_value, reason = "the listener is closed")]
pub fn close(listener: TcpListener) {
    shutdown(&listener, Shutdown::Both).expect("the listener stops");
}

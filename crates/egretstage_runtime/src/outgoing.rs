//! Options of connections that carry requests to upstreams.

use socket2::SockRef;
use std::os::fd::AsFd;
use std::time::Duration;

/// Sets a connection to be reset when it is closed.
///
/// An ordinary close leaves unacknowledged bytes in the kernel's send queue, and the
/// upstream may receive an abandoned request seconds later. A reset discards them. It
/// also discards answers in transit, so a connection whose last answer still matters
/// to the peer must not be set.
///
/// # Errors
///
/// Returns the system's error when the option can't be set.
pub fn reset_on_close(tcp: &impl AsFd) -> std::io::Result<()> {
    SockRef::from(tcp).set_linger(Some(Duration::ZERO))
}

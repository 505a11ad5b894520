//! Listeners with a backlog that is large enough for a burst of connections.

use socket2::{Domain, Protocol, Socket, Type};
use std::net::{SocketAddr, TcpListener};

/// Maximum number of connections that wait to be accepted. The usual 128 drops
/// connections of a burst.
const LISTEN_BACKLOG: i32 = 4096;

/// Binds a non-blocking listener with a backlog that is large enough for a burst
/// of connections.
///
/// # Errors
///
/// Returns the system's error when the address can't be used.
pub fn bind_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

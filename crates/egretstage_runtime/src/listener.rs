//! Listeners whose backlog holds a burst of connections.

use socket2::{Domain, Protocol, Socket, Type};
use std::net::{SocketAddr, TcpListener};

/// Connections that wait to be accepted; the usual 128 drops bursts.
const LISTEN_BACKLOG: i32 = 4096;

/// Binds a non-blocking listener whose backlog holds a burst of connections.
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

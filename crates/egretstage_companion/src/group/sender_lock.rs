//! A lock that admits one sender to an engine at a time.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Time between two attempts to get the lock.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A lock held by binding an address on the instance, which one process at a time
/// can do.
///
/// The operating system releases it only when the process ends. A frozen process
/// keeps it, so its successor can't send before the frozen process has ended.
#[derive(Debug)]
pub(crate) struct SenderLock {
    _listener: TcpListener,
}

impl SenderLock {
    /// Waits until no other process holds the lock.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound for another reason than being
    /// in use.
    pub(crate) fn acquire(address: SocketAddr) -> std::io::Result<Self> {
        let mut warned = false;
        loop {
            match TcpListener::bind(address) {
                Ok(listener) => {
                    return Ok(Self {
                        _listener: listener,
                    });
                }
                Err(e) if e.kind() != ErrorKind::AddrInUse => return Err(e),
                Err(_) => {
                    if !std::mem::replace(&mut warned, true) {
                        log::warn!(address:display = address; "waiting: another process holds the sender lock");
                    }
                    std::thread::sleep(RETRY_INTERVAL);
                }
            }
        }
    }
}

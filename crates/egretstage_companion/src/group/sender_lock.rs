//! Admits one sender to an engine at a time.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Pause before another attempt to get the lock.
const LOCK_RETRY: Duration = Duration::from_millis(200);

/// An address on the instance that one process at a time can bind.
///
/// The operating system releases it at the end of the process, and no earlier:
/// a frozen process keeps it, so its successor can't send before it is dead.
#[derive(Debug)]
pub(crate) struct SenderLock {
    _listener: TcpListener,
}

impl SenderLock {
    /// Waits until no other process holds the lock.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be used at all.
    pub(crate) fn acquire(address: SocketAddr) -> std::io::Result<Self> {
        let mut waits = false;
        loop {
            match TcpListener::bind(address) {
                Ok(listener) => {
                    return Ok(Self {
                        _listener: listener,
                    });
                }
                Err(e) if e.kind() != ErrorKind::AddrInUse => return Err(e),
                Err(_) => {
                    if !std::mem::replace(&mut waits, true) {
                        log::warn!(address:display = address; "another process is the sender");
                    }
                    std::thread::sleep(LOCK_RETRY);
                }
            }
        }
    }
}

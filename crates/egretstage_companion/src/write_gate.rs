//! Blocks requests whose first byte would be written too late.
//!
//! Between a check of the time and the write, the task may wait to be scheduled
//! and the process may be paused. The gate therefore checks the time in the write
//! itself, so that only a pause between the check and the system call can let a
//! late request through.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// State of a [`WriteGate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GateState {
    /// Writes pass: a request has been started, or none was armed.
    Open,
    /// The first byte of a request may be written before this instant.
    Armed(Instant),
    /// The gate is closed, and writes fail: nothing of the armed request was written
    /// or will be.
    Refused,
}

/// Checks the writes of one connection against the start deadline of its request.
#[derive(Clone, Debug)]
pub(crate) struct WriteGate(Arc<Mutex<GateState>>);

impl WriteGate {
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(GateState::Open)))
    }

    /// Allows the first byte of the next request to be written only before
    /// `not_after`.
    pub(crate) fn arm(&self, not_after: Instant) {
        *self.lock() = GateState::Armed(not_after);
    }

    /// Returns whether nothing of the armed request was written.
    ///
    /// If so, closes the gate, so that nothing of it will be written later.
    pub(crate) fn close_if_unwritten(&self) -> bool {
        let mut state = self.lock();
        let unwritten = *state != GateState::Open;
        if unwritten {
            *state = GateState::Refused;
        }
        unwritten
    }

    /// Opens an armed gate if the write comes in time.
    ///
    /// # Errors
    ///
    /// Returns an error if the write comes too late or the gate is closed.
    fn check_write(&self) -> io::Result<()> {
        let mut state = self.lock();
        match *state {
            GateState::Open => Ok(()),
            GateState::Armed(not_after) if Instant::now() < not_after => {
                *state = GateState::Open;
                Ok(())
            }
            GateState::Armed(_) | GateState::Refused => {
                *state = GateState::Refused;
                Err(io::ErrorKind::TimedOut.into())
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, GateState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection whose writes are checked by a gate.
#[derive(Debug)]
pub(crate) struct GatedStream {
    tcp: TcpStream,
    gate: WriteGate,
}

impl GatedStream {
    pub(crate) fn new(tcp: TcpStream, gate: WriteGate) -> Self {
        Self { tcp, gate }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Err(e) = self.gate.check_write() {
            return Poll::Ready(Err(e));
        }
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Err(e) = self.gate.check_write() {
            return Poll::Ready(Err(e));
        }
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

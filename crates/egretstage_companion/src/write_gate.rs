//! Refuses the first byte of a request that is too late.
//!
//! Between a check of the time and the write, a task may wait for its turn and
//! the process may be paused. The gate checks in the write itself, so that only
//! a pause between these two instructions can let a late request through.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What the next write may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// A request is under way, or none was armed.
    Open,
    /// The first byte of a request may be written before an instant.
    Armed(Instant),
    /// The first byte came too late; nothing of the request was written.
    Refused,
}

/// Guards the writes of one connection.
#[derive(Clone, Debug)]
pub(crate) struct WriteGate(Arc<Mutex<State>>);

impl WriteGate {
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(State::Open)))
    }

    /// Lets the first byte of the next request out before an instant alone.
    pub(crate) fn arm(&self, not_after: Instant) {
        *self.lock() = State::Armed(not_after);
    }

    /// Tells whether nothing of the armed request was written.
    ///
    /// After a true answer nothing of it will be: the gate is closed.
    pub(crate) fn close_if_unwritten(&self) -> bool {
        let mut state = self.lock();
        let unwritten = *state != State::Open;
        if unwritten {
            *state = State::Refused;
        }
        unwritten
    }

    fn pass(&self) -> io::Result<()> {
        let mut state = self.lock();
        match *state {
            State::Open => Ok(()),
            State::Armed(not_after) if Instant::now() < not_after => {
                *state = State::Open;
                Ok(())
            }
            State::Armed(_) | State::Refused => {
                *state = State::Refused;
                Err(io::ErrorKind::TimedOut.into())
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection whose writes pass a gate.
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
        if let Err(e) = self.gate.pass() {
            return Poll::Ready(Err(e));
        }
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Err(e) = self.gate.pass() {
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

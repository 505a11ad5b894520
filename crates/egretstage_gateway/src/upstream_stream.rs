//! Connections to upstreams that end when an answer has too many interim heads.
//!
//! Load pattern: an upstream sends interim heads without an end. The HTTP library reads and
//! drops them for as long as bytes arrive, before any other task of the entry runs.

use hyper::Request;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of interim heads before an answer.
const MAX_INTERIM_HEADS: u32 = 32;

/// Ends the reading of a connection when an answer has too many interim heads.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterimLimit(Arc<AtomicBool>);

impl InterimLimit {
    /// Counts the interim heads of the answer to a request.
    pub(crate) fn apply<B>(&self, req: &mut Request<B>) {
        let (count, is_exceeded) = (AtomicU32::new(0), Arc::clone(&self.0));
        hyper::ext::on_informational(req, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_HEADS {
                is_exceeded.store(true, Ordering::Relaxed);
            }
        });
    }

    fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection to an upstream, for the HTTP library.
#[derive(Debug)]
pub(crate) struct UpstreamStream {
    tcp: TcpStream,
    limit: InterimLimit,
}

impl UpstreamStream {
    pub(crate) fn new(tcp: TcpStream, limit: InterimLimit) -> Self {
        Self { tcp, limit }
    }
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exceeded() {
            let message = "the upstream sent too many interim heads";
            return Poll::Ready(Err(io::Error::other(message)));
        }
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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

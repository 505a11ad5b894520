//! Callers' connections that report when the caller closes them.
//!
//! An HTTP server looks for the end of a connection only while its read buffer is
//! empty. Bytes that a caller sends ahead of its next request hide the end, and the
//! running call goes on for a caller that has left. [`watch_caller`] splits a
//! connection into the stream that the server reads and writes, and a [`CallerWatch`]
//! that reads ahead on its own.
//!
//! Load pattern: callers send requests one after the other without waiting, and
//! leave while the first one waits or runs.

mod account;
mod body;
mod bounds;
mod metrics;

pub use account::{
    AnswerGrowth, AnswerKey, BODY_PATIENCE, BodyKey, CallerAccount, CallerLimits, ConnectionKey,
    Growth, Opening, longest_body_time,
};
pub use body::{UnreadBody, read_body, read_body_discarding};
pub use bounds::{
    CallOnConnection, CallerBounds, GrowingAnswer, GrowingBody, Held, HeldBody, KeepingBody,
    OpenConnection, TurnedAway, TurnedAwayCounter,
};
pub use metrics::CallerGauges;

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Maximum number of bytes that are read ahead of the server. While that many are
/// unread, the end of the connection isn't noticed.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// Size of one read ahead of the server, in bytes.
const READ_BYTES: usize = 1024;

/// The read direction of a connection, which the stream and the watch share.
#[derive(Debug)]
struct ReadSide {
    half: OwnedReadHalf,
    /// Bytes that were read ahead of the server.
    ahead: Vec<u8>,
    /// Whether the connection has ended after the bytes in `ahead`.
    is_ended: bool,
    progress: CallProgress,
}

/// How far the calls on a connection have got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallProgress {
    /// Nothing has been read.
    Unread,
    /// A part of a head has been read.
    ReadingHead,
    /// The server handles a call.
    Handling,
    /// The head of the last answer is known, and nothing has been read since.
    Answered,
}

impl ReadSide {
    /// Reads bytes ahead of the server, or the end of the connection.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.half).poll_read(cx, &mut buf))?;
        self.is_ended = buf.filled().is_empty();
        self.record_read(buf.filled().len());
        self.ahead.extend_from_slice(buf.filled());
        Poll::Ready(Ok(()))
    }

    fn record_read(&mut self, bytes: usize) {
        if bytes > 0 && self.progress != CallProgress::Handling {
            self.progress = CallProgress::ReadingHead;
        }
    }

    /// Moves bytes that were read ahead into the server's buffer.
    fn take_ahead(&mut self, buf: &mut ReadBuf<'_>) {
        let count = self.ahead.len().min(buf.remaining());
        buf.put_slice(&self.ahead[..count]);
        self.ahead.drain(..count);
    }
}

/// A caller's connection, for the HTTP server.
#[derive(Debug)]
pub struct CallerStream {
    read: Arc<Mutex<ReadSide>>,
    write: OwnedWriteHalf,
}

/// Reports when the caller closes its connection.
#[derive(Debug)]
pub struct CallerWatch {
    read: Arc<Mutex<ReadSide>>,
}

/// Splits a caller's connection into a stream and a watch.
///
/// Both must be polled by the same task: the watch wakes it when it has read bytes
/// that the stream's reader may wait for.
#[must_use]
pub fn watch_caller(tcp: TcpStream) -> (CallerStream, CallerWatch) {
    let (half, write) = tcp.into_split();
    let read = Arc::new(Mutex::new(ReadSide {
        half,
        ahead: Vec::new(),
        is_ended: false,
        progress: CallProgress::Unread,
    }));
    let watch = CallerWatch {
        read: Arc::clone(&read),
    };
    (CallerStream { read, write }, watch)
}

/// Marks a call as handled until it is dropped, when the head of its answer is known.
#[derive(Debug)]
pub struct HandledCall(Arc<Mutex<ReadSide>>);

impl HandledCall {
    fn begin(read: &Arc<Mutex<ReadSide>>) -> Self {
        let mut side = read.lock().unwrap_or_else(PoisonError::into_inner);
        side.progress = CallProgress::Handling;
        Self(Arc::clone(read))
    }
}

impl Drop for HandledCall {
    fn drop(&mut self) {
        let mut side = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        side.progress = if side.ahead.is_empty() {
            CallProgress::Answered
        } else {
            CallProgress::ReadingHead
        };
    }
}

/// Begins calls on a connection.
#[derive(Clone, Debug)]
pub struct CallMarker(Arc<Mutex<ReadSide>>);

impl CallMarker {
    /// Marks a call whose head has been read.
    #[must_use]
    pub fn begin(&self) -> HandledCall {
        HandledCall::begin(&self.0)
    }
}

impl CallerWatch {
    /// Returns what marks the calls on the connection.
    #[must_use]
    pub fn marker(&self) -> CallMarker {
        CallMarker(Arc::clone(&self.read))
    }

    /// Returns whether anything has been read.
    #[must_use]
    pub fn has_read(&self) -> bool {
        let read = self.read.lock().unwrap_or_else(PoisonError::into_inner);
        read.progress != CallProgress::Unread
    }

    /// Returns whether a part of a request's head has been read.
    #[must_use]
    pub fn is_reading_head(&self) -> bool {
        let read = self.read.lock().unwrap_or_else(PoisonError::into_inner);
        read.progress == CallProgress::ReadingHead
    }

    /// Waits until the caller has closed the connection or the connection has failed.
    pub async fn closed(&self) {
        std::future::poll_fn(|cx| self.poll_closed(cx)).await;
    }

    fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut read = self.read.lock().unwrap_or_else(PoisonError::into_inner);
        if read.is_ended {
            return Poll::Ready(());
        }
        if read.ahead.len() >= MAX_READ_AHEAD_BYTES {
            return Poll::Pending;
        }
        match ready!(read.poll_read_ahead(cx)) {
            Ok(()) if !read.is_ended => {
                // The server may wait for these bytes, and the socket won't wake it.
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Ok(()) | Err(_) => Poll::Ready(()),
        }
    }
}

/// Runs a server's connection until it ends; returns `None` if the caller closes it first.
///
/// Calls `shut_down` once when `stop` has completed and no head of a request is being read,
/// and runs the connection on: a server that is shut down closes a connection on which it has
/// read a part of a head.
pub async fn run_until_closed<C: Future>(
    mut connection: Pin<&mut C>,
    watch: &CallerWatch,
    stop: impl Future<Output = ()>,
    shut_down: impl FnOnce(Pin<&mut C>),
) -> Option<C::Output> {
    let stop = async {
        stop.await;
        // The connection and the watch are polled first, and only they change this.
        let poll_between_heads = |_: &mut Context<'_>| {
            if watch.is_reading_head() {
                Poll::Pending
            } else {
                Poll::Ready(())
            }
        };
        std::future::poll_fn(poll_between_heads).await;
    };
    tokio::pin!(stop);
    tokio::select! {
        biased;
        output = connection.as_mut() => return Some(output),
        () = watch.closed() => return None,
        () = stop.as_mut() => shut_down(connection.as_mut()),
    }
    tokio::select! {
        biased;
        output = connection => Some(output),
        () = watch.closed() => None,
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut read = self.read.lock().unwrap_or_else(PoisonError::into_inner);
        if !read.ahead.is_empty() {
            read.take_ahead(buf);
            return Poll::Ready(Ok(()));
        }
        if read.is_ended {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut read.half).poll_read(cx, buf))?;
        read.record_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.write.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(cx)
    }
}

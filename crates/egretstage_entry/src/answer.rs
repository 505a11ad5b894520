//! The body of an answer to a caller, streamed as its parts arrive.

use crate::{AnswerPart, CallKey, EntryEvent};
use egretstage_runtime::EventSender;
use hyper::body::{Body, Bytes, Frame};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::UnboundedReceiver;

/// Number of chunks that the caller reads between two reports to the reducer.
const READ_REPORT_CHUNKS: u32 = 8;

/// The error of an answer that ended early.
///
/// It aborts the connection, so that the caller doesn't accept the answer as
/// complete.
#[derive(Debug, thiserror::Error)]
#[error("the answer is cut off")]
pub(crate) struct AnswerCut;

/// Reports on drop that a caller disconnected, unless its answer has ended.
pub(crate) struct CallerGuard {
    call: CallKey,
    events: EventSender<EntryEvent>,
    ended: bool,
}

impl CallerGuard {
    pub(crate) fn new(call: CallKey, events: EventSender<EntryEvent>) -> Self {
        Self {
            call,
            events,
            ended: false,
        }
    }

    /// Suppresses the report, because the reducer has ended the answer itself.
    pub(crate) fn disarm(&mut self) {
        self.ended = true;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.events.send(EntryEvent::CallerGone(self.call));
        }
    }
}

/// Streams the parts of an answer; each chunk is flushed as it arrives.
pub(crate) struct AnswerBody {
    rx: UnboundedReceiver<AnswerPart>,
    guard: CallerGuard,
    unreported_chunks: u32,
}

impl AnswerBody {
    pub(crate) fn new(rx: UnboundedReceiver<AnswerPart>, guard: CallerGuard) -> Self {
        Self {
            rx,
            guard,
            unreported_chunks: 0,
        }
    }

    fn report_read(&mut self) {
        self.unreported_chunks += 1;
        if self.unreported_chunks == READ_REPORT_CHUNKS {
            self.unreported_chunks = 0;
            self.guard.events.send(EntryEvent::CallerRead {
                call: self.guard.call,
                chunks: READ_REPORT_CHUNKS,
            });
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match self.rx.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(AnswerPart::Bytes(bytes))) => {
                self.report_read();
                Poll::Ready(Some(Ok(Frame::data(Bytes::from(bytes)))))
            }
            Poll::Ready(Some(AnswerPart::End)) => {
                self.guard.disarm();
                Poll::Ready(None)
            }
            Poll::Ready(_) => {
                self.guard.disarm();
                Poll::Ready(Some(Err(AnswerCut)))
            }
        }
    }
}

//! The body of an answer on its way to the caller.

use crate::{AnswerPart, CallKey, EntryEvent};
use egretstage_runtime::EventSender;
use hyper::body::{Body, Bytes, Frame};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::UnboundedReceiver;

/// Chunks that the caller reads between two notes to the reducer.
const READ_NOTE_CHUNKS: u32 = 8;

/// The answer broke off; the connection is aborted so that the caller can't
/// take it for whole.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub(crate) struct AnswerCut;

/// Reports that a caller hung up, unless its answer has ended.
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

    /// Notes that the reducer knows of the answer's end.
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

/// Streams the parts of an answer; each chunk is flushed as it comes.
pub(crate) struct AnswerBody {
    rx: UnboundedReceiver<AnswerPart>,
    guard: CallerGuard,
    unnoted: u32,
}

impl AnswerBody {
    pub(crate) fn new(rx: UnboundedReceiver<AnswerPart>, guard: CallerGuard) -> Self {
        Self {
            rx,
            guard,
            unnoted: 0,
        }
    }

    fn note_read(&mut self) {
        self.unnoted += 1;
        if self.unnoted == READ_NOTE_CHUNKS {
            self.unnoted = 0;
            self.guard.events.send(EntryEvent::CallerRead {
                call: self.guard.call,
                chunks: READ_NOTE_CHUNKS,
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
                self.note_read();
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

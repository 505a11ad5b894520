//! The stream on which one entry receives the answer of a run.

use crate::CompanionEffect;
use crate::answer::HeldAnswer;
use crate::runs::RunState;
use egretstage_link::LinkId;
use egretstage_wire::{AnswerHead, Chunk, Frame, Outcome, StreamEnd, StreamId, UnknownReason};
use std::time::Instant;

/// The stream on which one entry receives the answer of a run.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) stream: StreamId,
    /// Link to the entry; none after the link was lost.
    pub(crate) link: Option<LinkId>,
    pub(crate) deadline: Instant,
    /// When the reader is removed; set once it has ended or lost its link.
    pub(crate) grace_end: Option<Instant>,
    /// Whether the terminal frame was sent.
    pub(crate) ended: bool,
    /// Number of the next chunk to send.
    next_chunk: u64,
    /// Number of the first chunk that the entry's credit doesn't cover.
    credit_end: u64,
    /// Initial credit: maximum number of chunks that were sent but not yet read by
    /// the caller.
    credit_window: u64,
    head_sent: bool,
}

impl Reader {
    pub(crate) fn new(stream: StreamId, link: LinkId, deadline: Instant, credit: u32) -> Self {
        Self {
            stream,
            link: Some(link),
            deadline,
            grace_end: None,
            ended: false,
            next_chunk: 0,
            credit_end: u64::from(credit),
            credit_window: u64::from(credit),
            head_sent: false,
        }
    }

    /// Returns the number of the next chunk to send.
    pub(crate) fn next_chunk(&self) -> u64 {
        self.next_chunk
    }

    /// Returns the number of the first chunk that the caller may not have read
    /// yet, so that the entry may request it again.
    pub(crate) fn first_unread_chunk(&self) -> u64 {
        self.credit_end.saturating_sub(self.credit_window)
    }

    /// Adds credit for chunks that the caller has read. Late frames of an earlier
    /// link are ignored.
    pub(crate) fn add_credit(&mut self, link: LinkId, chunks: u32) {
        if self.link == Some(link) {
            self.credit_end += u64::from(chunks);
        }
    }

    /// Continues at a body offset on a new link; returns whether the chunk at
    /// that offset is still buffered.
    pub(crate) fn resume(
        &mut self,
        link: LinkId,
        answer: &HeldAnswer,
        offset: u64,
        credit: u32,
    ) -> bool {
        self.link = Some(link);
        self.ended = false;
        self.head_sent = false;
        let Some(number) = answer.chunk_at_offset(offset) else {
            return false;
        };
        self.next_chunk = number;
        self.credit_end = number + u64::from(credit);
        true
    }

    /// Sends the chunks that the credit covers, and the terminal frame once the
    /// answer has ended.
    pub(crate) fn send_available(
        &mut self,
        answer: &HeldAnswer,
        state: &RunState,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let Some(link) = self.link.filter(|_| !self.ended) else {
            return;
        };
        if self.next_chunk < answer.first_chunk() {
            let reason = match state {
                RunState::Ended(Outcome::Completed) => UnknownReason::CompletedNotHeld,
                _ => UnknownReason::AnswerForgotten,
            };
            self.send_end(Outcome::Unknown { reason }, 0, fx);
            return;
        }
        self.send_head(link, answer, fx);
        self.send_chunks(link, answer, fx);
        if let RunState::Ended(outcome) = state {
            let all_sent = self.next_chunk == answer.next_chunk();
            if all_sent || *outcome != Outcome::Completed {
                self.send_end(outcome.clone(), answer.total_bytes(), fx);
            }
        }
    }

    fn send_head(&mut self, link: LinkId, answer: &HeldAnswer, fx: &mut Vec<CompanionEffect>) {
        let Some(head) = answer.head.as_ref().filter(|_| !self.head_sent) else {
            return;
        };
        self.head_sent = true;
        let frame = Frame::Head(AnswerHead {
            stream: self.stream,
            status: head.status,
            content_type: head.content_type.clone(),
        });
        fx.push(CompanionEffect::Send { link, frame });
    }

    fn send_chunks(&mut self, link: LinkId, answer: &HeldAnswer, fx: &mut Vec<CompanionEffect>) {
        while self.next_chunk < self.credit_end {
            let Some(chunk) = answer.chunk(self.next_chunk) else {
                return;
            };
            self.next_chunk += 1;
            let frame = Frame::Chunk(Chunk {
                stream: self.stream,
                offset: chunk.offset,
                bytes: chunk.bytes.clone(),
            });
            fx.push(CompanionEffect::Send { link, frame });
        }
    }

    /// Sends the terminal frame.
    pub(crate) fn send_end(
        &mut self,
        outcome: Outcome,
        body_bytes: u64,
        fx: &mut Vec<CompanionEffect>,
    ) {
        self.ended = true;
        if let Some(link) = self.link {
            let frame = Frame::End(StreamEnd {
                stream: self.stream,
                outcome,
                body_bytes,
            });
            fx.push(CompanionEffect::Send { link, frame });
        }
    }
}

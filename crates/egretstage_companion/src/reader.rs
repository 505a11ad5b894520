//! One entry's stream of a run's answer.

use crate::CompanionEffect;
use crate::answer::HeldAnswer;
use crate::runs::RunState;
use egretstage_link::LinkKey;
use egretstage_wire::{AnswerHead, Chunk, Frame, Outcome, StreamEnd, StreamId, UnknownReason};
use std::time::Instant;

/// One entry's stream of a run's answer.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) stream: StreamId,
    /// The link; none while the entry is gone.
    pub(crate) link: Option<LinkKey>,
    pub(crate) deadline: Instant,
    /// When the reader is given up, once it has ended or lost its link.
    pub(crate) grace: Option<Instant>,
    /// Whether the terminal frame was sent.
    pub(crate) ended: bool,
    /// Number of the next chunk to send.
    next: u64,
    /// Number of the first chunk that the entry doesn't let in yet.
    limit: u64,
    /// Chunks that the caller may be behind.
    window: u64,
    head_sent: bool,
}

impl Reader {
    pub(crate) fn new(stream: StreamId, link: LinkKey, deadline: Instant, credit: u32) -> Self {
        Self {
            stream,
            link: Some(link),
            deadline,
            grace: None,
            ended: false,
            next: 0,
            limit: u64::from(credit),
            window: u64::from(credit),
            head_sent: false,
        }
    }

    /// Returns the number of the next chunk to send.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Returns the number of the first chunk that may be asked for again: the
    /// caller has read those before.
    pub(crate) fn acknowledged(&self) -> u64 {
        self.limit.saturating_sub(self.window)
    }

    /// Lets more chunks in, as the caller has read as many; a late frame of an
    /// earlier link changes nothing.
    pub(crate) fn credit(&mut self, link: LinkKey, chunks: u32) {
        if self.link == Some(link) {
            self.limit += u64::from(chunks);
        }
    }

    /// Goes on at an offset on a new link; returns false when the answer no
    /// longer holds the bytes.
    pub(crate) fn resume(
        &mut self,
        link: LinkKey,
        answer: &HeldAnswer,
        offset: u64,
        credit: u32,
    ) -> bool {
        self.link = Some(link);
        self.ended = false;
        self.head_sent = false;
        let Some(number) = answer.at_offset(offset) else {
            return false;
        };
        self.next = number;
        self.limit = number + u64::from(credit);
        true
    }

    /// Sends what the entry lets in, then the end if it is reached.
    pub(crate) fn send(
        &mut self,
        answer: &HeldAnswer,
        state: &RunState,
        fx: &mut Vec<CompanionEffect>,
    ) {
        let Some(link) = self.link.filter(|_| !self.ended) else {
            return;
        };
        if self.next < answer.first() {
            let reason = match state {
                RunState::Ended(Outcome::Completed) => UnknownReason::CompletedNotHeld,
                _ => UnknownReason::AnswerForgotten,
            };
            self.end(Outcome::Unknown { reason }, 0, fx);
            return;
        }
        self.send_head(link, answer, fx);
        self.send_chunks(link, answer, fx);
        if let RunState::Ended(outcome) = state {
            let whole = self.next == answer.next();
            if whole || *outcome != Outcome::Completed {
                self.end(outcome.clone(), answer.total_bytes(), fx);
            }
        }
    }

    fn send_head(&mut self, link: LinkKey, answer: &HeldAnswer, fx: &mut Vec<CompanionEffect>) {
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

    fn send_chunks(&mut self, link: LinkKey, answer: &HeldAnswer, fx: &mut Vec<CompanionEffect>) {
        while self.next < self.limit {
            let Some(chunk) = answer.get(self.next) else {
                return;
            };
            self.next += 1;
            let frame = Frame::Chunk(Chunk {
                stream: self.stream,
                offset: chunk.offset,
                bytes: chunk.bytes.clone(),
            });
            fx.push(CompanionEffect::Send { link, frame });
        }
    }

    /// Sends the terminal frame.
    pub(crate) fn end(&mut self, outcome: Outcome, body_bytes: u64, fx: &mut Vec<CompanionEffect>) {
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

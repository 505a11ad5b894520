//! The part of an upstream's answer that a companion buffers.

use compact_str::CompactString;
use std::collections::VecDeque;

/// Status and media type of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) content_type: Option<CompactString>,
}

/// A chunk of an answer's body.
#[derive(Debug)]
pub(crate) struct HeldChunk {
    /// Offset in the body, in bytes.
    pub(crate) offset: u64,
    pub(crate) bytes: Vec<u8>,
}

/// The part of an answer that is buffered for its readers.
///
/// Chunks are numbered from 0. Chunks that no reader needs are dropped from the
/// front.
#[derive(Debug, Default)]
pub(crate) struct HeldAnswer {
    pub(crate) head: Option<Head>,
    chunks: VecDeque<HeldChunk>,
    first_chunk: u64,
    total_bytes: u64,
    held_bytes: usize,
    /// Number of consumed chunks for which the upstream was granted new ones.
    granted_chunks: u64,
}

impl HeldAnswer {
    /// Returns the number of the first buffered chunk.
    pub(crate) fn first_chunk(&self) -> u64 {
        self.first_chunk
    }

    /// Returns the number that the next chunk from the upstream gets.
    pub(crate) fn next_chunk(&self) -> u64 {
        self.first_chunk + self.chunks.len() as u64
    }

    /// Returns the number of body bytes received so far, including dropped ones.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Returns the number of buffered bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    pub(crate) fn push(&mut self, bytes: Vec<u8>) {
        let offset = self.total_bytes;
        self.total_bytes += bytes.len() as u64;
        self.held_bytes += bytes.len();
        self.chunks.push_back(HeldChunk { offset, bytes });
    }

    pub(crate) fn chunk(&self, number: u64) -> Option<&HeldChunk> {
        let index = number.checked_sub(self.first_chunk)?;
        self.chunks.get(usize::try_from(index).ok()?)
    }

    /// Returns the number of the chunk that starts at an offset of the body.
    pub(crate) fn chunk_at_offset(&self, offset: u64) -> Option<u64> {
        if offset == self.total_bytes {
            return Some(self.next_chunk());
        }
        let index = self.chunks.binary_search_by_key(&offset, |c| c.offset).ok();
        index.map(|index| self.first_chunk + index as u64)
    }

    /// Drops all chunks before `number`.
    pub(crate) fn drop_before(&mut self, number: u64) {
        while self.first_chunk < number {
            let Some(chunk) = self.chunks.pop_front() else {
                return;
            };
            self.first_chunk += 1;
            self.held_bytes -= chunk.bytes.len();
        }
    }

    /// Returns how many more chunks the upstream may send, given that all chunks
    /// before `consumed` were consumed.
    pub(crate) fn grant_up_to(&mut self, consumed: u64) -> u32 {
        let more = consumed.saturating_sub(self.granted_chunks);
        self.granted_chunks += more;
        u32::try_from(more).unwrap_or(u32::MAX)
    }
}

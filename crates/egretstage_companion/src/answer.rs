//! The part of an upstream's answer that a companion holds.

use compact_str::CompactString;
use std::collections::VecDeque;

/// Status and media type of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) content_type: Option<CompactString>,
}

/// One piece of an answer's body.
#[derive(Debug)]
pub(crate) struct HeldChunk {
    pub(crate) offset: u64,
    pub(crate) bytes: Vec<u8>,
}

/// The part of an answer that is held for its readers.
///
/// Chunks are counted from 0; the first ones may have been dropped.
#[derive(Debug, Default)]
pub(crate) struct HeldAnswer {
    pub(crate) head: Option<Head>,
    chunks: VecDeque<HeldChunk>,
    first: u64,
    total_bytes: u64,
    held_bytes: usize,
    granted: u64,
}

impl HeldAnswer {
    /// Returns the number of the first chunk that is held.
    pub(crate) fn first(&self) -> u64 {
        self.first
    }

    /// Returns the number that the next chunk will get.
    pub(crate) fn next(&self) -> u64 {
        self.first + self.chunks.len() as u64
    }

    /// Returns the length of the body so far.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Returns the bytes that are held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    pub(crate) fn push(&mut self, bytes: Vec<u8>) {
        let offset = self.total_bytes;
        self.total_bytes += bytes.len() as u64;
        self.held_bytes += bytes.len();
        self.chunks.push_back(HeldChunk { offset, bytes });
    }

    pub(crate) fn get(&self, number: u64) -> Option<&HeldChunk> {
        let index = number.checked_sub(self.first)?;
        self.chunks.get(usize::try_from(index).ok()?)
    }

    /// Finds the chunk that starts at an offset of the body.
    pub(crate) fn at_offset(&self, offset: u64) -> Option<u64> {
        if offset == self.total_bytes {
            return Some(self.next());
        }
        let index = self.chunks.binary_search_by_key(&offset, |c| c.offset).ok();
        index.map(|index| self.first + index as u64)
    }

    /// Drops the chunks before a number.
    pub(crate) fn drop_before(&mut self, number: u64) {
        while self.first < number {
            let Some(chunk) = self.chunks.pop_front() else {
                return;
            };
            self.first += 1;
            self.held_bytes -= chunk.bytes.len();
        }
    }

    /// Returns how many more chunks the upstream may send when those before a
    /// number are consumed.
    pub(crate) fn grant(&mut self, consumed: u64) -> u32 {
        let more = consumed.saturating_sub(self.granted);
        self.granted += more;
        u32::try_from(more).unwrap_or(u32::MAX)
    }
}

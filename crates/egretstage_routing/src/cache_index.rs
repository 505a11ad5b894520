//! What an upstream's prefix cache probably holds.

use crate::{BLOCK_TOKENS, BlockHash, PrefixFingerprint};
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};

/// Blocks that an index remembers unless told otherwise.
const DEFAULT_CAPACITY: usize = 2048;

/// An approximate copy of an upstream's prefix cache, of bounded size.
///
/// It forgets the block that was used least recently, as engines do. Blocks
/// come from the entry's own calls and from the engine's cache events; a lost
/// event makes the copy wrong by the blocks of that event alone.
#[derive(Clone, Debug)]
pub struct CacheIndex {
    capacity: usize,
    uses: u64,
    last_use: HashMap<BlockHash, u64>,
    order: VecDeque<(BlockHash, u64)>,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY)
    }
}

impl CacheIndex {
    /// Creates an empty index that remembers at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            last_use: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns how many blocks the index remembers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Tells whether the index is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Tells whether a block is remembered.
    #[must_use]
    pub fn contains(&self, block: BlockHash) -> bool {
        self.last_use.contains_key(&block)
    }

    /// Notes that the upstream has used or stored a prompt's blocks.
    pub fn touch_prompt(&mut self, prompt: &PrefixFingerprint) {
        // The last block is the first to go, so that a prefix stays whole.
        for block in prompt.blocks().iter().rev() {
            self.touch(*block);
        }
    }

    /// Notes that the upstream has stored or used a block; returns the blocks
    /// that are forgotten for it.
    pub fn touch(&mut self, block: BlockHash) -> SmallVec<[BlockHash; 1]> {
        let mut forgotten = SmallVec::new();
        self.uses += 1;
        self.last_use.insert(block, self.uses);
        self.order.push_back((block, self.uses));
        while self.last_use.len() > self.capacity || self.order.len() > 4 * self.capacity {
            let Some((oldest, used)) = self.order.pop_front() else {
                break;
            };
            if self.last_use.get(&oldest) == Some(&used) {
                self.last_use.remove(&oldest);
                forgotten.push(oldest);
            }
        }
        forgotten
    }

    /// Notes that the upstream has dropped a block.
    pub fn remove(&mut self, block: BlockHash) {
        self.last_use.remove(&block);
    }

    /// Forgets everything, as after a restart of the upstream.
    pub fn clear(&mut self) {
        self.last_use.clear();
        self.order.clear();
    }

    /// Returns how many leading tokens of a prompt are probably cached.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &PrefixFingerprint) -> u32 {
        let held = prompt
            .blocks()
            .iter()
            .take_while(|block| self.last_use.contains_key(block))
            .count();
        BLOCK_TOKENS.saturating_mul(u32::try_from(held).unwrap_or(u32::MAX))
    }
}

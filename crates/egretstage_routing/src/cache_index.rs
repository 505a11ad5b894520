//! An estimate of what an upstream's prefix cache holds.

use crate::{BLOCK_TOKENS, BlockHash, PrefixFingerprint};
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};

/// Default number of blocks in an index.
const DEFAULT_CAPACITY_BLOCKS: usize = 2048;

/// An approximate copy of an upstream's prefix cache, of bounded size.
///
/// It evicts the least recently used block, as engines do. Blocks are added
/// from the entry's own calls and from the engine's cache events. A lost event
/// makes the copy wrong only by the blocks of that event.
#[derive(Clone, Debug)]
pub struct CacheIndex {
    capacity: usize,
    use_count: u64,
    /// Sequence number of each block's last use.
    last_use: HashMap<BlockHash, u64>,
    /// Uses in order, oldest first, at most four times the capacity; only the
    /// last use of a block counts.
    order: VecDeque<(BlockHash, u64)>,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY_BLOCKS)
    }
}

impl CacheIndex {
    /// Creates an empty index of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            use_count: 0,
            last_use: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns the number of blocks in the index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Returns whether the index is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Returns whether a block is in the index.
    #[must_use]
    pub fn contains(&self, block: BlockHash) -> bool {
        self.last_use.contains_key(&block)
    }

    /// Records that the upstream used or stored the blocks of a prompt.
    pub fn touch_prompt(&mut self, prompt: &PrefixFingerprint) {
        // Last block first, so that eviction shortens a prefix from its end.
        for block in prompt.blocks().iter().rev() {
            self.touch(*block);
        }
    }

    /// Records that the upstream used or stored a block; returns the blocks
    /// that the index evicts for it.
    pub fn touch(&mut self, block: BlockHash) -> SmallVec<[BlockHash; 1]> {
        let mut evicted = SmallVec::new();
        self.use_count += 1;
        self.last_use.insert(block, self.use_count);
        self.order.push_back((block, self.use_count));
        while self.last_use.len() > self.capacity || self.order.len() > 4 * self.capacity {
            let Some((oldest, last_used)) = self.order.pop_front() else {
                break;
            };
            if self.last_use.get(&oldest) == Some(&last_used) {
                self.last_use.remove(&oldest);
                evicted.push(oldest);
            }
        }
        evicted
    }

    /// Removes a block that the upstream has evicted.
    pub fn remove(&mut self, block: BlockHash) {
        self.last_use.remove(&block);
    }

    /// Removes all blocks, for example after a restart of the upstream.
    pub fn clear(&mut self) {
        self.last_use.clear();
        self.order.clear();
    }

    /// Returns the estimated number of leading prompt tokens in the cache.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &PrefixFingerprint) -> u32 {
        let cached_blocks = prompt
            .blocks()
            .iter()
            .take_while(|block| self.last_use.contains_key(block))
            .count();
        BLOCK_TOKENS.saturating_mul(u32::try_from(cached_blocks).unwrap_or(u32::MAX))
    }
}

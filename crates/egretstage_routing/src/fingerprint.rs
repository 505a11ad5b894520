//! Fingerprints of the leading blocks of a prompt.

use rapidhash::fast::RapidHasher;
use smallvec::SmallVec;
use std::hash::Hasher;

/// Size of a block in bytes of prompt text.
pub const BLOCK_BYTES: usize = 256;

/// Assumed number of tokens in a block.
pub const BLOCK_TOKENS: u32 = 64;

/// Maximum number of blocks in a fingerprint.
pub const MAX_BLOCKS: usize = 32;

/// Hash of a block and of all blocks before it.
pub type BlockHash = u64;

/// Hashes of the leading whole blocks of a prompt.
///
/// Two prompts have as many leading hashes in common as leading whole blocks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixFingerprint(SmallVec<[BlockHash; 8]>);

impl PrefixFingerprint {
    /// Hashes the leading whole blocks of a prompt's text.
    #[must_use]
    pub fn from_text(text: &[u8]) -> Self {
        let mut previous = 0;
        let blocks = text.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
        Self(
            blocks
                .map(|block| {
                    previous = hash_block(previous, block);
                    previous
                })
                .collect(),
        )
    }

    /// Creates a fingerprint from existing block hashes.
    #[must_use]
    pub fn from_blocks(blocks: &[BlockHash]) -> Self {
        Self(blocks.iter().copied().take(MAX_BLOCKS).collect())
    }

    /// Returns the hashes, first block first.
    #[must_use]
    pub fn blocks(&self) -> &[BlockHash] {
        &self.0
    }
}

/// Hashes a block together with the hash of the preceding blocks.
#[must_use]
pub fn hash_block(previous: BlockHash, block: &[u8]) -> BlockHash {
    let mut hasher = RapidHasher::default_const();
    hasher.write_u64(previous);
    hasher.write(block);
    hasher.finish()
}

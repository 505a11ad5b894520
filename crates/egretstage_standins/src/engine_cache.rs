//! Prefix cache of the engine's stand-in, whose events are delayed and have gaps.

use egretstage_routing::{BlockHash, CacheIndex, PrefixFingerprint};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of events that are kept for readers; older ones are lost.
const MAX_EVENTS: usize = 4096;

/// Options of a prefix cache.
#[derive(Clone, Copy, Debug)]
pub struct PrefixCacheOptions {
    /// Capacity in blocks.
    pub blocks: usize,
    /// Delay until an event can be read.
    pub event_lag: Duration,
    /// Every event whose sequence number is a multiple of this is lost; 0 loses
    /// none.
    pub lose_every: u64,
}

impl Default for PrefixCacheOptions {
    fn default() -> Self {
        Self {
            blocks: 512,
            event_lag: Duration::from_millis(500),
            lose_every: 0,
        }
    }
}

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// A change of the cache; a gap in the sequence numbers shows a lost event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which grows by one with each change.
    pub sequence: u64,
    /// Hash of the block.
    pub block: BlockHash,
    /// What happened to the block.
    pub change: CacheChange,
}

/// Prefix cache of limited size.
#[derive(Debug)]
pub struct PrefixCache {
    options: PrefixCacheOptions,
    index: CacheIndex,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(options: PrefixCacheOptions) -> Self {
        Self {
            options,
            index: CacheIndex::new(options.blocks),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Stores a prompt and returns the number of its tokens that were cached
    /// before.
    pub fn prefill(&mut self, now: Instant, prompt: &PrefixFingerprint) -> u32 {
        let cached_tokens = self.index.cached_tokens(prompt);
        for block in prompt.blocks().iter().rev() {
            let was_cached = self.index.contains(*block);
            for evicted in self.index.touch(*block) {
                self.record(now, evicted, CacheChange::Evicted);
            }
            if !was_cached {
                self.record(now, *block, CacheChange::Stored);
            }
        }
        cached_tokens
    }

    fn record(&mut self, now: Instant, block: BlockHash, change: CacheChange) {
        self.sequence += 1;
        let every = self.options.lose_every;
        if every > 0 && self.sequence.is_multiple_of(every) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence: self.sequence,
            block,
            change,
        };
        self.events.push_back((now, event));
    }

    /// Returns the events after a sequence number that are old enough to be read.
    #[must_use]
    pub fn events(&self, now: Instant, after: u64) -> Vec<CacheEvent> {
        let readable = |at: Instant| now.saturating_duration_since(at) >= self.options.event_lag;
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && readable(*at))
            .map(|(_, event)| *event)
            .collect()
    }
}

//! Workload of a run.

use super::options::Site;
use egretstage_routing::{BLOCK_TOKENS, PrefixFingerprint, hash_block};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) organisation: usize,
    pub(crate) prompt: PrefixFingerprint,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    /// Number of tokens that are generated.
    pub(crate) tokens: u32,
    pub(crate) budget: Duration,
}

/// Draws the requests, their entries and the time between them.
pub(crate) struct Workload {
    site: Site,
    requests_per_s: f64,
    rng: ChaCha8Rng,
    sequence: u64,
}

/// Smallest and largest share of the allowed tokens that is generated, in
/// thousandths.
const OUTPUT_SHARES_MILLI: (u32, u32) = (800, 1000);

impl Workload {
    pub(crate) fn new(site: Site, load: f64, seed: u64) -> Self {
        Self {
            requests_per_s: site.capacity() * load,
            site,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Draws the time until the next request, exponentially distributed.
    pub(crate) fn next_interval(&mut self) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.requests_per_s)
    }

    /// Draws the entry to which the platform's balancer sends a request.
    pub(crate) fn pick_entry(&mut self) -> usize {
        self.rng.random_range(0..self.site.entries)
    }

    pub(crate) fn next_request(&mut self) -> Request {
        self.sequence += 1;
        let organisation = self.pick_organisation();
        let prefix = self
            .rng
            .random_range(0..self.site.prefixes_per_organisation);
        let prompt = self.new_prompt(organisation, prefix);
        let blocks = u32::try_from(prompt.blocks().len()).unwrap_or(u32::MAX);
        let mean = self.site.max_tokens;
        let max_tokens = self.rng.random_range(mean / 2..=mean + mean / 2).max(1);
        let share = self
            .rng
            .random_range(OUTPUT_SHARES_MILLI.0..=OUTPUT_SHARES_MILLI.1);
        Request {
            organisation,
            prompt,
            prompt_tokens: blocks * BLOCK_TOKENS,
            max_tokens,
            tokens: (max_tokens * share / 1000).max(1),
            budget: self.site.first_token_budget + self.site.token_budget * max_tokens,
        }
    }

    /// Draws an organisation, weighted by the shares.
    fn pick_organisation(&mut self) -> usize {
        let mut remaining_share: f64 = self.rng.random();
        let last = self.site.organisations.len() - 1;
        let chosen = self.site.organisations.iter().position(|organisation| {
            remaining_share -= organisation.share;
            remaining_share < 0.0
        });
        chosen.unwrap_or(last)
    }

    /// Returns a prompt of a shared prefix, whose length depends on the prefix
    /// alone, and a random number of unique blocks.
    fn new_prompt(&mut self, organisation: usize, prefix: usize) -> PrefixFingerprint {
        let (min, max) = self.site.prefix_blocks;
        let shared = min + (organisation * 7 + prefix * 5) % (max - min + 1);
        let (min, max) = self.site.unique_blocks;
        let unique = self.rng.random_range(min..=max);
        let prefix_seed = (organisation * self.site.prefixes_per_organisation + prefix) as u64;
        let shared_seeds = (0..shared).map(|_| prefix_seed);
        let unique_seeds = (0..unique).map(|_| u64::MAX - self.sequence);
        let mut previous_hash = 0;
        let blocks: Vec<u64> = shared_seeds
            .chain(unique_seeds)
            .map(|seed| {
                previous_hash = hash_block(previous_hash, &seed.to_le_bytes());
                previous_hash
            })
            .collect();
        PrefixFingerprint::from_blocks(&blocks)
    }
}

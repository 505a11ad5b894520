//! The requests of a run.

use super::options::Site;
use egretstage_routing::{BLOCK_TOKENS, PrefixFingerprint, hash_block};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A request as its caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) organisation: usize,
    pub(crate) prompt: PrefixFingerprint,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) tokens: u32,
    pub(crate) budget: Duration,
}

/// Draws requests and the time between them.
pub(crate) struct Workload {
    site: Site,
    rate: f64,
    rng: ChaCha8Rng,
    sequence: u64,
}

/// Fewest and most of the allowed tokens that are generated, in thousandths.
const OUTPUT_SHARES: (u32, u32) = (800, 1000);

impl Workload {
    pub(crate) fn new(site: Site, load: f64, seed: u64) -> Self {
        Self {
            rate: site.capacity() * load,
            site,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Draws the time until the next request.
    pub(crate) fn pause(&mut self) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.rate)
    }

    /// Draws the entry that the platform's balancer picks.
    pub(crate) fn entry(&mut self) -> usize {
        self.rng.random_range(0..self.site.entries)
    }

    pub(crate) fn request(&mut self) -> Request {
        self.sequence += 1;
        let organisation = self.organisation();
        let prefix = self.rng.random_range(0..self.site.prefixes);
        let prompt = self.prompt(organisation, prefix);
        let blocks = u32::try_from(prompt.blocks().len()).unwrap_or(u32::MAX);
        let mean = self.site.max_tokens;
        let max_tokens = self.rng.random_range(mean / 2..=mean + mean / 2).max(1);
        let share = self.rng.random_range(OUTPUT_SHARES.0..=OUTPUT_SHARES.1);
        Request {
            organisation,
            prompt,
            prompt_tokens: blocks * BLOCK_TOKENS,
            max_tokens,
            tokens: (max_tokens * share / 1000).max(1),
            budget: self.site.first_token_budget + self.site.token_budget * max_tokens,
        }
    }

    fn organisation(&mut self) -> usize {
        let mut left: f64 = self.rng.random();
        let last = self.site.organisations.len() - 1;
        let chosen = self.site.organisations.iter().position(|organisation| {
            left -= organisation.share;
            left < 0.0
        });
        chosen.unwrap_or(last)
    }

    /// Joins a shared prefix, whose length its number fixes, and own blocks.
    fn prompt(&mut self, organisation: usize, prefix: usize) -> PrefixFingerprint {
        let (least, most) = self.site.prefix_blocks;
        let shared = least + (organisation * 7 + prefix * 5) % (most - least + 1);
        let (least, most) = self.site.own_blocks;
        let own = self.rng.random_range(least..=most);
        let name = (organisation * self.site.prefixes + prefix) as u64;
        let seeds = (0..shared).map(|_| name);
        let own_seeds = (0..own).map(|_| u64::MAX - self.sequence);
        let mut chained = 0;
        let blocks: Vec<u64> = seeds
            .chain(own_seeds)
            .map(|seed| {
                chained = hash_block(chained, &seed.to_le_bytes());
                chained
            })
            .collect();
        PrefixFingerprint::from_blocks(&blocks)
    }
}

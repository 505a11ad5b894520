//! Seeded fault schedules.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};

/// Environment variable that selects a single seed.
const SEED_VARIABLE: &str = "EGRET_SEED";

/// Runs a check for each seed, or only for the seed in `EGRET_SEED`, and prints
/// the command that repeats a failed run.
pub(crate) fn for_each_seed(seeds: Range<u64>, check: impl Fn(u64, &mut ChaCha8Rng)) {
    let selected_seed = std::env::var(SEED_VARIABLE).ok();
    let selected_seed = selected_seed.and_then(|text| text.parse::<u64>().ok());
    let seeds = selected_seed.map_or(seeds, |seed| seed..seed + 1);
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let outcome = catch_unwind(AssertUnwindSafe(|| check(seed, &mut rng)));
        if let Err(panic) = outcome {
            let test = std::thread::current().name().unwrap_or_default().to_owned();
            eprintln!(
                "repeat with: {SEED_VARIABLE}={seed} cargo test --test invariants -- --exact {test}"
            );
            resume_unwind(panic);
        }
    }
}

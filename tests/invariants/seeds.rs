//! Seeded schedules of faults.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};

/// Environment variable that names the one seed to run.
const SEED_VARIABLE: &str = "EGRET_SEED";

/// Runs a check for each seed, and prints the command that repeats a failure.
pub(crate) fn for_each_seed(seeds: Range<u64>, check: impl Fn(u64, &mut ChaCha8Rng)) {
    let chosen = std::env::var(SEED_VARIABLE).ok();
    let chosen = chosen.and_then(|text| text.parse::<u64>().ok());
    let seeds = chosen.map_or(seeds, |seed| seed..seed + 1);
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let run = catch_unwind(AssertUnwindSafe(|| check(seed, &mut rng)));
        if let Err(panic) = run {
            let test = std::thread::current().name().unwrap_or_default().to_owned();
            eprintln!(
                "repeat with: {SEED_VARIABLE}={seed} cargo test --test invariants -- --exact {test}"
            );
            resume_unwind(panic);
        }
    }
}

//! Shared configuration of property tests.
//!
//! The cases are drawn from a fixed seed, so that continuous integration has the
//! same result on every run. Crates depend on this one for their tests only.

use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration that draws the same `cases` on every run.
///
/// Two environment variables override it: `PROPTEST_RNG_SEED` sets the seed and
/// `PROPTEST_CASES` the number of cases.
#[must_use]
pub fn repeatable(cases: u32) -> Config {
    let mut config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = cases;
    }
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(1);
    }
    config
}

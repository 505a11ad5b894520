//! Settings that the property tests of all crates share.
//!
//! Continuous integration needs the same verdict on every run, so the cases
//! are drawn from a fixed seed. No product crate depends on this one.

use proptest::test_runner::{Config, RngSeed};

/// Draws the same cases on every run, unless the environment says otherwise.
///
/// `PROPTEST_RNG_SEED` draws other cases, `PROPTEST_CASES` sets how many.
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

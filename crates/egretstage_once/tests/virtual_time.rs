//! Runs keyed calls through several owners in virtual time, under faults.
//!
//! For each key: two runs are further apart than the window; a caller that is
//! told "completed" got the answer of a run of its own key and body; a caller
//! that is told "not run" started no run.

mod world;

use egretstage_test_cases::repeatable;
use proptest::prelude::*;
use world::{Mechanisms, World};

const STEPS: usize = 400;

proptest! {
    #![proptest_config(repeatable(2_000))]

    #[test]
    fn a_key_runs_at_most_once_within_its_window(seed: u64) {
        let world = World::run(seed, STEPS, Mechanisms::default());
        prop_assert!(world.violations().is_empty(), "seed {seed}: {:?}", world.violations());
    }
}

#[test]
fn the_faults_leave_calls_that_complete_and_calls_that_do_not() {
    let (mut completed, mut not_run, mut unknown, mut joined) = (0, 0, 0, 0);
    for seed in 0..100 {
        let world = World::run(seed, STEPS, Mechanisms::default());
        let told = world.told_counts();
        completed += told.completed;
        not_run += told.not_run;
        unknown += told.unknown;
        joined += told.joined;
    }
    println!("completed {completed}, not run {not_run}, unknown {unknown}, joined {joined}");
    assert!(completed > 1_000 && not_run > 100 && unknown > 100 && joined > 50);
}

/// Counts the seeds of which some invariant breaks with a mechanism off.
fn broken(mechanisms: Mechanisms) -> usize {
    let breaks = |seed: &u64| {
        let world = World::run(*seed, STEPS, mechanisms);
        !world.violations().is_empty()
    };
    let count = (0..100).filter(breaks).count();
    println!("{count} of 100 seeds break with {mechanisms:?}");
    count
}

#[test]
fn without_a_lease_a_key_runs_twice() {
    let lease = false;
    assert!(
        broken(Mechanisms {
            lease,
            ..Mechanisms::default()
        }) > 0
    );
}

#[test]
fn without_an_embargo_a_key_runs_twice() {
    let embargo = false;
    assert!(
        broken(Mechanisms {
            embargo,
            ..Mechanisms::default()
        }) > 0
    );
}

//! Sends calls with keys to several owners in virtual time, under faults.
//!
//! Three invariants are checked for each key: two runs are further apart than
//! the window; a caller that received "completed" got the answer of a run of
//! its own key and body; the call of a caller that received "not run" started
//! no run.

mod simulation;

use egretstage_test_cases::repeatable;
use proptest::prelude::*;
use simulation::{Mechanisms, Simulation};

const STEPS: usize = 400;

proptest! {
    #![proptest_config(repeatable(2_000))]

    #[test]
    fn a_key_runs_at_most_once_within_its_window(seed: u64) {
        let simulation = Simulation::run(seed, STEPS, Mechanisms::default());
        prop_assert!(simulation.violations().is_empty(), "seed {seed}: {:?}", simulation.violations());
    }
}

/// Guards against a simulation whose faults let all calls complete or none, so
/// that the invariants would hold without being tried.
#[test]
fn the_faults_let_some_calls_complete_and_others_not() {
    let (mut completed, mut not_run, mut unknown, mut joined) = (0, 0, 0, 0);
    for seed in 0..100 {
        let simulation = Simulation::run(seed, STEPS, Mechanisms::default());
        let outcomes = simulation.outcome_counts();
        completed += outcomes.completed;
        not_run += outcomes.not_run;
        unknown += outcomes.unknown;
        joined += outcomes.joined;
    }
    println!("completed {completed}, not run {not_run}, unknown {unknown}, joined {joined}");
    assert!(completed > 1_000 && not_run > 100 && unknown > 100 && joined > 50);
}

/// Returns how many of 100 seeds violate an invariant with a mechanism off.
fn count_failing_seeds(mechanisms: Mechanisms) -> usize {
    let is_violated = |seed: &u64| {
        let simulation = Simulation::run(*seed, STEPS, mechanisms);
        !simulation.violations().is_empty()
    };
    let count = (0..100).filter(is_violated).count();
    println!("{count} of 100 seeds violate an invariant with {mechanisms:?}");
    count
}

#[test]
fn disabling_the_lease_violates_an_invariant() {
    let lease = false;
    assert!(
        count_failing_seeds(Mechanisms {
            lease,
            ..Mechanisms::default()
        }) > 0
    );
}

#[test]
fn disabling_the_embargo_violates_an_invariant() {
    let embargo = false;
    assert!(
        count_failing_seeds(Mechanisms {
            embargo,
            ..Mechanisms::default()
        }) > 0
    );
}

//! Holds of a group whose decider's instance is suspended beside late orders.

use crate::SECOND;
use crate::simulation::Simulation;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Number of schedules in a run of the tests.
const SCHEDULES: u64 = 60;

/// Longest time for which a group may be held when its decider's instance is suspended for
/// four seconds.
const MAX_HOLD: Duration = Duration::from_secs(8);

/// Guards against a group that is held until the latest moment at which an unanswered order
/// may take effect. The decider's instance is suspended for four seconds in a switch, beside
/// late orders, and all companions may be restarted afterwards.
#[test]
fn a_freeze_beside_late_orders_holds_a_group_for_less_than_eight_seconds() {
    let holds = (0..SCHEDULES).map(|seed| (longest_hold(seed), seed));
    let too_long: Vec<_> = holds
        .filter(|(held_for, _)| *held_for >= MAX_HOLD)
        .collect();
    assert!(
        too_long.is_empty(),
        "{} of {SCHEDULES} groups, as hold and seed: {too_long:?}",
        too_long.len()
    );
}

/// Returns the longest hold in a schedule.
fn longest_hold(seed: u64) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sim = Simulation::new(seed, seed.is_multiple_of(2), seed.is_multiple_of(3));
    sim.run_for(2 * SECOND);
    sim.faults.late_orders = 0.35;
    for _ in 0..rng.random_range(1..4) {
        sim.group.shift_demand(rng.random_range(0..16));
        sim.run_for(SECOND);
    }
    let decider = sim.decider().expect("a decider");
    sim.freeze_instance(decider);
    sim.run_for(rng.random_range(2..=3) * SECOND);
    sim.faults.late_orders = 0.0;
    sim.run_for(SECOND);
    sim.resume(decider);
    if rng.random_bool(0.3) {
        sim.run_for(Duration::from_millis(rng.random_range(0..2_000)));
        for rank in 0..4 {
            sim.restart(rank);
        }
    }
    sim.run_for(24 * SECOND);
    sim.group.longest_hold
}

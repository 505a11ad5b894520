//! All ranks of a group use one map in every step, whatever fails: thousands
//! of seeded schedules of faults in virtual time.

mod costs;
mod faults;
mod limits;
mod links;
mod world;

use egretstage_standins::rank_engine::Discipline;
use faults::Fault;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use world::{Network, World};

/// Longest time of faults.
const FAULT_TIME: Duration = Duration::from_secs(8);

/// Time after the last fault within which the group steps again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Time in which a group without faults has to step on and switch.
const CALM_TIME: Duration = Duration::from_secs(4);

/// Fewest steps in [`CALM_TIME`].
const FEWEST_STEPS: u64 = 60;

fn fault() -> impl Strategy<Value = Fault> {
    let kinds = prop_oneof![
        Just("Join"),
        Just("Stage"),
        Just("Grant"),
        Just("Staged"),
        Just("Joined"),
        Just("Attach"),
    ];
    prop_oneof![
        2 => (any::<bool>(), 0..5_usize).prop_map(|(decider, rank)| Fault::Kill { decider, rank }),
        3 => (any::<bool>(), 0..5_usize, 100..4_000_u64)
            .prop_map(|(decider, rank, ms)| Fault::Freeze { decider, rank, ms }),
        4 => (kinds, 1..6_u32).prop_map(|(kind, count)| Fault::KillAfterSends { kind, count }),
        1 => (0..5_usize, 50..3_000_u64).prop_map(|(rank, ms)| Fault::FreezeEngine { rank, ms }),
        2 => (0..5_usize).prop_map(|rank| Fault::ReplaceEngine { rank }),
        2 => (0..5_usize).prop_map(|rank| Fault::CutLinks { rank }),
        1 => (100..3_000_u64).prop_map(|ms| Fault::LogDown { ms }),
        2 => (0..5_usize).prop_map(|rank| Fault::Order { rank }),
    ]
}

fn network() -> impl Strategy<Value = Network> {
    (0..80_u64, 0..20_u32, 0..20_u32).prop_map(|(ms, loss, repeats)| Network {
        delay: Duration::from_millis(ms),
        loss,
        repeats,
    })
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let most = u64::try_from(FAULT_TIME.as_millis()).expect("seconds");
    prop::collection::vec((0..most, fault()), 0..12)
}

/// Runs the same schedules each time, unless `PROPTEST_RNG_SEED` and
/// `PROPTEST_CASES` ask for others.
fn config() -> ProptestConfig {
    let mut config = ProptestConfig::default();
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(1);
    }
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = 1_000;
    }
    config
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn engines_that_check_fences_run_one_map_in_every_step(
        ranks in 2..5_usize,
        network in network(),
        faults in faults(),
        seed in any::<u64>(),
    ) {
        run(World::new(ranks, network, seed, (Discipline::Granted, true)), &faults)?;
    }

    #[test]
    fn engines_that_ignore_fences_run_one_map_in_every_step(
        ranks in 2..5_usize,
        network in network(),
        faults in faults(),
        seed in any::<u64>(),
    ) {
        run(World::new(ranks, network, seed, (Discipline::Granted, false)), &faults)?;
    }
}

/// Runs a schedule of faults, then checks that the group recovers.
fn run(mut world: World, faults: &[(u64, Fault)]) -> Result<(), TestCaseError> {
    world.script(faults);
    world.run(FAULT_TIME);
    prop_assert_eq!(world.check(), Ok(()));
    world.calm();
    world.run(RECOVERY_TIME);
    let (steps, switches) = (world.steps(), world.switches);
    world.run(CALM_TIME);
    prop_assert_eq!(world.check(), Ok(()));
    prop_assert!(
        world.steps() >= steps + FEWEST_STEPS,
        "{} after {}",
        world.steps(),
        steps
    );
    prop_assert!(world.switches > switches, "no switch");
    Ok(())
}

#[test]
fn the_check_notices_ranks_that_use_a_map_before_it_is_granted() {
    let network = Network {
        delay: Duration::from_millis(40),
        loss: 5,
        repeats: 5,
    };
    let mut world = World::new(3, network, 1, (Discipline::EagerMap, true));
    world.run(FAULT_TIME);
    assert!(world.check().is_err());
}

//! Message costs of a group of 128 ranks, and the stalls of a smaller one.
//!
//! The figures are counts and virtual times, which are the same in each run.

use crate::faults::Fault;
use crate::limits::Limits;
use crate::simulation::{Network, STEP_INTERVAL, Simulation};
use egretstage_group::ClaimLimits;
use egretstage_standins::rank_engine::MapSelection;
use std::time::Duration;

/// Number of ranks of a group at the target size.
const RANKS: usize = 128;

/// Time over which messages are counted, in seconds.
const COUNTED_SECONDS: u32 = 60;

/// Budget of a node for control traffic.
const MAX_NODE_BYTES_PER_SECOND: usize = 25 * 1024;

const NETWORK: Network = Network {
    max_delay: Duration::from_millis(2),
    loss_percent: 0,
    duplicate_percent: 0,
};

/// Returns the companion's default limits; the horizon is 10 s of simulated steps.
fn default_limits() -> Limits {
    Limits {
        claims: ClaimLimits {
            suspect_after: Duration::from_secs(3),
            stagger: Duration::from_millis(250),
            renew_after: Duration::from_mins(10),
        },
        horizon_steps: 500,
        heartbeat: Duration::from_secs(1),
        map_interval: Duration::from_hours(1),
    }
}

/// Starts a group and runs it for 10 s.
fn start_group(ranks: usize, limits: Limits) -> Simulation {
    let engine_kind = (MapSelection::Granted, false);
    let mut simulation = Simulation::with_limits(ranks, NETWORK, 1, engine_kind, limits);
    simulation.run(Duration::from_secs(10));
    simulation
}

/// Runs for `duration` and returns the longest time without a step.
fn longest_stall(simulation: &mut Simulation, duration: Duration) -> Duration {
    let sample_interval = 2 * STEP_INTERVAL;
    let (mut elapsed, mut stall, mut longest) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    while elapsed < duration {
        let steps = simulation.steps();
        simulation.run(sample_interval);
        elapsed += sample_interval;
        stall = if simulation.steps() == steps {
            stall + sample_interval
        } else {
            Duration::ZERO
        };
        longest = longest.max(stall);
    }
    longest
}

#[test]
fn a_quiet_group_stays_within_a_nodes_budget() {
    let mut simulation = start_group(RANKS, default_limits());
    let before = simulation.metrics;
    simulation.run(Duration::from_secs(u64::from(COUNTED_SECONDS)));
    let after = simulation.metrics;
    let seconds = COUNTED_SECONDS as usize;
    let bytes = (after.decider_bytes - before.decider_bytes) / seconds;
    let frames = (after.decider_frames - before.decider_frames) / seconds;
    let rank_frames = after.rank_frames - before.rank_frames;
    println!("decider: {frames} frames and {bytes} bytes a second; ranks: {rank_frames} frames");
    println!("log: {} appends", after.appends - before.appends);
    println!("log: {} reads", after.reads - before.reads);
    assert!(
        bytes <= MAX_NODE_BYTES_PER_SECOND,
        "the decider sends {bytes} bytes a second"
    );
    assert_eq!(frames, RANKS - 1);
    assert_eq!(rank_frames, 0);
    assert_eq!(after.appends, before.appends);
}

#[test]
fn a_switch_costs_two_frames_a_rank_and_no_append() {
    let limits = Limits {
        map_interval: Duration::from_secs(30),
        ..default_limits()
    };
    let mut simulation = start_group(RANKS, limits);
    let (before, switches) = (simulation.metrics, simulation.switches);
    simulation.run(Duration::from_mins(1));
    let switches = simulation.switches - switches;
    let after = simulation.metrics;
    let heartbeats = 60 * (RANKS - 1);
    let frames = after.decider_frames - before.decider_frames - heartbeats;
    let replies = after.rank_frames - before.rank_frames;
    println!("{switches} switches: {frames} frames beside heartbeats, {replies} replies");
    assert_eq!(switches, 2);
    assert!(
        frames <= 2 * switches * (RANKS - 1),
        "{frames} frames for {switches} switches"
    );
    assert_eq!(replies, switches * (RANKS - 1));
    assert_eq!(after.appends, before.appends);
}

#[test]
fn a_failed_decider_stalls_the_group_only_for_the_new_generation() {
    let mut simulation = start_group(8, default_limits());
    let appends = simulation.metrics.appends;
    simulation.schedule_faults(&[(
        0,
        Fault::Freeze {
            decider: true,
            rank: 0,
            ms: 20_000,
        },
    )]);
    let frozen = longest_stall(&mut simulation, Duration::from_secs(25));
    let appended = simulation.metrics.appends - appends;

    let mut simulation = start_group(8, default_limits());
    simulation.schedule_faults(&[(
        0,
        Fault::Kill {
            decider: true,
            rank: 0,
        },
    )]);
    let killed = longest_stall(&mut simulation, Duration::from_secs(25));
    println!("longest stall: decider killed {killed:?}, frozen for 20 s {frozen:?}");
    println!("appends for the takeover: {appended}");
    assert!(
        killed <= Duration::from_millis(100),
        "stall of {killed:?} after the decider was killed"
    );
    assert!(
        frozen <= Duration::from_secs(12),
        "stall of {frozen:?} after the decider was frozen"
    );
    assert_eq!(simulation.check_invariants(), Ok(()));
}

#[test]
fn a_log_outage_with_a_live_decider_stalls_nothing() {
    let mut simulation = start_group(8, default_limits());
    simulation.schedule_faults(&[(0, Fault::LogDown { ms: 30_000 })]);
    let stall = longest_stall(&mut simulation, Duration::from_secs(40));
    assert!(
        stall <= 2 * STEP_INTERVAL,
        "stall of {stall:?} during the outage"
    );
}

//! What a group of 128 ranks costs, and how long it stalls: counts and
//! virtual times, which are the same in each run.

use crate::faults::Fault;
use crate::limits::Limits;
use crate::world::{Network, STEP, World};
use egretstage_group::ClaimLimits;
use egretstage_standins::rank_engine::Discipline;
use std::time::Duration;

/// Ranks of a group at the target's size.
const RANKS: usize = 128;

/// Time over which messages are counted.
const COUNTED: u32 = 60;

/// Bytes a second that control may cost a node.
const NODE_BYTES_PER_SECOND: usize = 25 * 1024;

const NETWORK: Network = Network {
    delay: Duration::from_millis(2),
    loss: 0,
    repeats: 0,
};

/// The companion's defaults; the horizon is 10 s of the model's steps.
fn defaults() -> Limits {
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

fn group(ranks: usize, limits: Limits) -> World {
    let kind = (Discipline::Granted, false);
    let mut world = World::with_limits(ranks, NETWORK, 1, kind, limits);
    world.run(Duration::from_secs(10));
    world
}

/// Returns the longest time between two steps in the next `by`.
fn longest_stall(world: &mut World, by: Duration) -> Duration {
    let look = 2 * STEP;
    let (mut passed, mut still, mut longest) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    while passed < by {
        let steps = world.steps();
        world.run(look);
        passed += look;
        still = if world.steps() == steps {
            still + look
        } else {
            Duration::ZERO
        };
        longest = longest.max(still);
    }
    longest
}

#[test]
fn a_quiet_group_stays_within_a_nodes_budget() {
    let mut world = group(RANKS, defaults());
    let before = world.sent;
    world.run(Duration::from_secs(u64::from(COUNTED)));
    let after = world.sent;
    let seconds = COUNTED as usize;
    let bytes = (after.decider_bytes - before.decider_bytes) / seconds;
    let frames = (after.decider_frames - before.decider_frames) / seconds;
    let from_ranks = after.rank_frames - before.rank_frames;
    println!("decider: {frames} frames and {bytes} bytes a second; ranks: {from_ranks} frames");
    println!("log: {} appends", after.appends - before.appends);
    println!("log: {} reads", after.reads - before.reads);
    assert!(bytes <= NODE_BYTES_PER_SECOND, "{bytes}");
    assert_eq!(frames, RANKS - 1);
    assert_eq!(from_ranks, 0);
    assert_eq!(after.appends, before.appends);
}

#[test]
fn a_switch_costs_two_frames_a_rank_and_no_append() {
    let limits = Limits {
        map_interval: Duration::from_secs(30),
        ..defaults()
    };
    let mut world = group(RANKS, limits);
    let (before, switches) = (world.sent, world.switches);
    world.run(Duration::from_mins(1));
    let switches = world.switches - switches;
    let after = world.sent;
    let heartbeats = 60 * (RANKS - 1);
    let frames = after.decider_frames - before.decider_frames - heartbeats;
    let answers = after.rank_frames - before.rank_frames;
    println!("{switches} switches: {frames} frames beside heartbeats, {answers} answers");
    assert_eq!(switches, 2);
    assert!(frames <= 2 * switches * (RANKS - 1), "{frames}");
    assert_eq!(answers, switches * (RANKS - 1));
    assert_eq!(after.appends, before.appends);
}

#[test]
fn a_dead_decider_stalls_the_group_only_for_the_new_generation() {
    let mut world = group(8, defaults());
    let appends = world.sent.appends;
    world.script(&[(
        0,
        Fault::Freeze {
            decider: true,
            rank: 0,
            ms: 20_000,
        },
    )]);
    let frozen = longest_stall(&mut world, Duration::from_secs(25));
    let appended = world.sent.appends - appends;

    let mut world = group(8, defaults());
    world.script(&[(
        0,
        Fault::Kill {
            decider: true,
            rank: 0,
        },
    )]);
    let killed = longest_stall(&mut world, Duration::from_secs(25));
    println!("longest stall: decider killed {killed:?}, frozen for 20 s {frozen:?}");
    println!("appends for the takeover: {appended}");
    assert!(killed <= Duration::from_millis(100), "{killed:?}");
    assert!(frozen <= Duration::from_secs(12), "{frozen:?}");
    assert_eq!(world.check(), Ok(()));
}

#[test]
fn a_log_outage_without_a_dead_decider_stalls_nothing() {
    let mut world = group(8, defaults());
    world.script(&[(0, Fault::LogDown { ms: 30_000 })]);
    let stall = longest_stall(&mut world, Duration::from_secs(40));
    assert!(stall <= 2 * STEP, "{stall:?}");
}

//! In every step, all ranks of a group use the same expert map.

use crate::rank_fleet::{RANKS, RankFleet};
use crate::seeds::for_each_seed;
use egretstage_standins::append_log::AppendLogFaults;
use egretstage_standins::prelude::*;
use egretstage_standins::rank_group::check_steps;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Faults in one schedule.
const FAULTS_PER_SCHEDULE: usize = 5;

/// Time for which a process is frozen or its links stall; longer than the
/// time after which the decider is suspected.
const FREEZE_TIME: Duration = Duration::from_millis(2_500);

/// Steps that the group must run after the faults, before a map switch.
const STEPS_AFTER_FAULTS: usize = 40;

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillDecider,
    KillRank,
    FreezeDecider,
    FreezeRank,
    ReplaceRank,
    DelayLinks,
    CutLinks,
    StalledLinks,
    LogDown,
    KillDeciderWithAnswersLost,
    EngineAnswersLost,
}

const ALL_FAULTS: [Fault; 11] = [
    Fault::KillDecider,
    Fault::KillRank,
    Fault::FreezeDecider,
    Fault::FreezeRank,
    Fault::ReplaceRank,
    Fault::DelayLinks,
    Fault::CutLinks,
    Fault::StalledLinks,
    Fault::LogDown,
    Fault::KillDeciderWithAnswersLost,
    Fault::EngineAnswersLost,
];

#[test]
fn with_instances_replaced() {
    for_each_seed(5..6, run_schedule);
}

#[test]
fn with_a_rank_frozen_and_the_decider_killed() {
    for_each_seed(6..7, run_schedule);
}

#[test]
fn with_links_delayed_and_stalled() {
    for_each_seed(9..10, run_schedule);
}

#[test]
fn with_links_cut_and_an_instance_replaced() {
    for_each_seed(12..13, run_schedule);
}

#[test]
fn with_the_log_down_and_the_decider_frozen() {
    for_each_seed(14..15, run_schedule);
}

#[test]
fn with_links_stalled_and_instances_replaced() {
    for_each_seed(15..16, run_schedule);
}

fn run_schedule(seed: u64, rng: &mut ChaCha8Rng) {
    let mut group = RankFleet::start(seed, seed.is_multiple_of(2));
    let mut faults = Vec::new();
    for _ in 0..FAULTS_PER_SCHEDULE {
        let fault = *ALL_FAULTS.choose(rng).expect("at least one fault");
        faults.push(fault);
        inject_fault(&mut group, fault, rng);
        std::thread::sleep(Duration::from_millis(rng.random_range(50..900)));
    }
    clear_faults(&group);
    group.wait_for_steps(STEPS_AFTER_FAULTS);
    group.wait_for_map_switch();
    let steps = group.engines.executed_steps();
    check_steps(&steps).unwrap_or_else(|e| panic!("seed {seed}, {faults:?}: {e}"));
    let orders = group.check_orders();
    orders.unwrap_or_else(|e| panic!("seed {seed}, {faults:?}: {e}"));
    println!(
        "seed {seed}: {faults:?}: {} steps, {} maps",
        group.engines.completed_steps(),
        group.map_count()
    );
}

fn inject_fault(group: &mut RankFleet, fault: Fault, rng: &mut ChaCha8Rng) {
    let rank = rng.random_range(0..usize::from(RANKS));
    let decider = group.decider().unwrap_or(rank);
    match fault {
        Fault::KillDecider => group.restart(decider),
        Fault::KillRank => group.restart(rank),
        Fault::FreezeDecider => freeze_and_resume(&group.ranks[decider].companion),
        Fault::FreezeRank => freeze_and_resume(&group.ranks[rank].companion),
        Fault::ReplaceRank => replace_instance(group, 1 + rank % (usize::from(RANKS) - 1)),
        Fault::DelayLinks => group.ranks.iter().for_each(|instance| {
            instance.link_proxy.set_faults(LinkFaults {
                delay: Duration::from_millis(rng.random_range(10..80)),
                jitter: Duration::from_millis(200),
                ..LinkFaults::default()
            });
        }),
        Fault::CutLinks => group.ranks[decider].link_proxy.close_connections(),
        Fault::StalledLinks => {
            let link_proxy = &group.ranks[decider].link_proxy;
            link_proxy.set_faults(LinkFaults {
                stalled: true,
                ..LinkFaults::default()
            });
            std::thread::sleep(FREEZE_TIME);
            link_proxy.clear_faults();
        }
        Fault::LogDown => group.fleet.log.set_faults(AppendLogFaults {
            down: true,
            ..AppendLogFaults::default()
        }),
        Fault::KillDeciderWithAnswersLost => {
            group.fleet.log.set_faults(AppendLogFaults {
                lose_append_answers: true,
                ..AppendLogFaults::default()
            });
            group.restart(decider);
        }
        Fault::EngineAnswersLost => group.ranks[rank].engine_proxy.set_faults(LinkFaults {
            lose_answers: true,
            ..LinkFaults::default()
        }),
    }
}

fn freeze_and_resume(companion: &Program) {
    companion.freeze();
    std::thread::sleep(FREEZE_TIME);
    companion.resume();
}

/// Replaces the instance of a rank, and resumes the old one when the group
/// steps with the new one.
fn replace_instance(group: &mut RankFleet, rank: usize) {
    clear_faults(group);
    group.replace(rank);
    group.wait_for_steps(1);
    if let Some(old) = group.replaced.last() {
        old.companion.resume();
    }
}

fn clear_faults(group: &RankFleet) {
    group.fleet.log.set_faults(AppendLogFaults::default());
    for instance in &group.ranks {
        instance.link_proxy.clear_faults();
        instance.engine_proxy.clear_faults();
    }
}

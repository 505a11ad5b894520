//! What a superseded companion orders has no effect after later orders.

use crate::rank_fleet::{RANKS, RankFleet};
use egretstage_standins::append_log::AppendLogFaults;
use egretstage_standins::prelude::*;
use egretstage_standins::rank_group::check_steps;
use std::time::Duration;

/// Delay of the engine's calls, so that the decider is frozen before its order.
const ENGINE_DELAY: Duration = Duration::from_millis(300);

/// Time in which a successor that doesn't wait would have given its orders.
const SUCCESSOR_WAIT: Duration = Duration::from_millis(2_500);

/// Freezes a decider that is about to give an order to its own engine, and
/// lets it wake when another one has taken over, its rank has a second
/// companion, and the log can't tell it that it is superseded.
fn supersede(checks_fences: bool) {
    let mut group = RankFleet::start(1, checks_fences);
    let decider = group.decider().expect("a decider");
    freeze_before_order(&mut group, decider);
    wait_for("another decider", || {
        group.decider().filter(|rank| *rank != decider)
    });
    group.ranks[decider].engine.clear_faults();

    let mut successor = group.successor(decider);
    std::thread::sleep(SUCCESSOR_WAIT);
    let started = successor.log_lines().iter().any(is_start);
    let down = AppendLogFaults {
        down: true,
        ..AppendLogFaults::default()
    };
    group.fleet.log.set_faults(down);
    group.ranks[decider].companion.resume();
    std::thread::sleep(SUCCESSOR_WAIT);
    group.fleet.log.set_faults(AppendLogFaults::default());
    group.await_steps(20);
    assert_eq!(group.check_orders(), Ok(()));
    assert!(!started, "two senders to one engine");

    std::mem::swap(&mut group.ranks[decider].companion, &mut successor);
    successor.kill();
    group.ranks[decider].companion.wait_until_ready(true);
    group.await_steps(20);

    let orders = group.engines.orders();
    assert!(orders.iter().all(|orders| orders.len() >= 2), "{orders:?}");
    assert_eq!(group.check_orders(), Ok(()));
    assert_eq!(check_steps(&group.engines.executed_steps()), Ok(()));
}

/// Restarts the decider, which claims again, and freezes it when its engine
/// has joined: what it sends next is an order.
fn freeze_before_order(group: &mut RankFleet, decider: usize) {
    let rank = u16::try_from(decider).expect("few ranks");
    assert!(rank < RANKS);
    let before = group.engines.generation(rank).map(|joined| joined.fence);
    group.ranks[decider].engine.set_faults(LinkFaults {
        delay: ENGINE_DELAY,
        ..LinkFaults::default()
    });
    group.restart(decider);
    wait_for("the engine to join", || {
        let joined = group.engines.generation(rank).map(|joined| joined.fence);
        (joined > before).then_some(())
    });
    group.ranks[decider].companion.freeze();
}

fn is_start(line: &serde_json::Value) -> bool {
    line["message"] == "companion started"
}

#[test]
fn take_no_effect_where_engines_check_fences() {
    supersede(true);
}

#[test]
fn take_no_effect_where_engines_ignore_fences() {
    supersede(false);
}

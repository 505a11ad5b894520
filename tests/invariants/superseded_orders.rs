//! Orders of a superseded companion have no effect after later orders.

use crate::rank_fleet::{RANKS, RankFleet};
use egretstage_standins::append_log::AppendLogFaults;
use egretstage_standins::prelude::*;
use egretstage_standins::rank_group::check_steps;
use std::time::Duration;

/// Delay of data between the decider and its engine, which leaves time to freeze
/// the decider after the engine has joined and before the order is sent.
const ENGINE_CALL_DELAY: Duration = Duration::from_millis(300);

/// Time in which a successor that doesn't wait for its predecessor would send its
/// orders.
const SUCCESSOR_ORDER_WAIT: Duration = Duration::from_millis(2_500);

/// Checks that the orders of a superseded decider have no effect.
///
/// The decider is frozen just before it sends an order to its own engine. It
/// resumes when another decider has taken over, a second companion was started
/// for its rank, and the log is down, so that it can't learn that it is
/// superseded.
fn check_superseded_decider(checks_fences: bool) {
    let mut group = RankFleet::start(1, checks_fences);
    let decider = group.decider().expect("a decider");
    freeze_before_order(&mut group, decider);
    wait_for("another decider", || {
        group.decider().filter(|rank| *rank != decider)
    });
    group.ranks[decider].engine_proxy.clear_faults();

    let mut successor = group.start_successor(decider);
    std::thread::sleep(SUCCESSOR_ORDER_WAIT);
    let successor_started = successor.log_lines().iter().any(is_companion_start);
    let log_down = AppendLogFaults {
        down: true,
        ..AppendLogFaults::default()
    };
    group.fleet.log.set_faults(log_down);
    group.ranks[decider].companion.resume();
    std::thread::sleep(SUCCESSOR_ORDER_WAIT);
    group.fleet.log.set_faults(AppendLogFaults::default());
    group.wait_for_steps(20);
    assert_eq!(group.check_orders(), Ok(()));
    assert!(!successor_started, "two senders to one engine");

    std::mem::swap(&mut group.ranks[decider].companion, &mut successor);
    successor.kill();
    group.ranks[decider].companion.wait_until_ready(true);
    group.wait_for_steps(20);

    let orders = group.engines.orders();
    assert!(orders.iter().all(|orders| orders.len() >= 2), "{orders:?}");
    assert_eq!(group.check_orders(), Ok(()));
    assert_eq!(check_steps(&group.engines.executed_steps()), Ok(()));
}

/// Restarts the decider, which claims again, and freezes it once its engine has
/// joined: the next message that the decider sends is an order.
fn freeze_before_order(group: &mut RankFleet, decider: usize) {
    let rank = u16::try_from(decider).expect("few ranks");
    assert!(rank < RANKS);
    let fence_before = group.engines.generation(rank).map(|joined| joined.fence);
    group.ranks[decider].engine_proxy.set_faults(LinkFaults {
        delay: ENGINE_CALL_DELAY,
        ..LinkFaults::default()
    });
    group.restart(decider);
    wait_for("the engine to join", || {
        let fence = group.engines.generation(rank).map(|joined| joined.fence);
        (fence > fence_before).then_some(())
    });
    group.ranks[decider].companion.freeze();
}

fn is_companion_start(line: &serde_json::Value) -> bool {
    line["message"] == "companion started"
}

#[test]
fn take_no_effect_where_engines_check_fences() {
    check_superseded_decider(true);
}

#[test]
fn take_no_effect_where_engines_ignore_fences() {
    check_superseded_decider(false);
}

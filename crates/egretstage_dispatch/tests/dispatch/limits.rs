//! Upstreams that limit the calls of all entries together.

use crate::fleet::Fleet;
use egretstage_dispatch::start_limits::JOIN_DELAY;
use egretstage_dispatch::{CallRate, RefusalKind};
use std::time::{Duration, Instant};

/// Time after which all entries must keep a limit that an upstream has named.
const CONTACT: Duration = Duration::from_secs(3);

/// Window over which the calls are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Arrivals at the entries per second: one of them gets half of all.
const RATES: [f64; 5] = [40.0, 10.0, 10.0, 10.0, 10.0];

fn rate(per_second: f64) -> CallRate {
    CallRate::try_from(per_second).expect("a rate")
}

/// Makes an upstream name a limit.
fn limit(fleet: &mut Fleet, name: &str, per_second: f64) {
    let name = name.try_into().expect("valid name");
    fleet.limits.insert(name, rate(per_second));
}

/// Asserts that an upstream got no more calls in any window than its limit allows, with half
/// of it and five calls more for what was under way.
fn assert_kept(fleet: &Fleet, name: &str, per_second: f64, from: Instant) {
    let allowed = per_second * WINDOW.as_secs_f64() * 1.5 + 5.0;
    let most = fleet.most_arrivals(name, WINDOW, from);
    let most = f64::from(u32::try_from(most).expect("a count"));
    assert!(most <= allowed, "{most} calls at {name}, {allowed} allowed");
}

/// Returns the number of calls that arrived at an upstream from a time on.
fn arrivals(fleet: &Fleet, name: &str, from: Instant) -> usize {
    fleet.most_arrivals(name, Duration::from_hours(1), from)
}

/// Load pattern of the LIMIT incident: one rank of a group names a limit, while one entry is
/// restarted. The other ranks have room, so no call is refused.
#[test]
fn an_upstream_gets_no_more_calls_than_the_limit_that_it_names() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, 5, 12);
        let from = fleet.now();
        fleet.run(CONTACT, "/draft/1", &RATES);
        let start = arrivals(&fleet, "rank-0", from);
        assert!(start > 9, "{start} calls without a limit");
        limit(&mut fleet, "rank-0", 2.0);
        fleet.run(CONTACT, "/draft/1", &RATES);
        let from = fleet.now();
        fleet.run(CONTACT, "/draft/1", &RATES);
        fleet.restart(0);
        fleet.run(Duration::from_secs(10), "/draft/1", &RATES);
        assert_kept(&fleet, "rank-0", 2.0, from);
        let used = arrivals(&fleet, "rank-0", from);
        assert!(used >= 13, "{used} of 26 starts were used");
        assert!(fleet.refusals.is_empty(), "{:?}", fleet.refusals);
    }
}

/// Fault: reports are lost, entries are restarted and cut off from each other, while an
/// upstream names a limit.
#[test]
fn a_limit_is_kept_while_entries_are_cut_off_and_reports_are_lost() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, 5, 12);
        fleet.lost_reports = 40;
        limit(&mut fleet, "rank-0", 2.5);
        fleet.run(CONTACT, "/draft/1", &RATES);
        let from = fleet.now();
        for entry in 0..5 {
            fleet.set_cut_off(entry, true);
            fleet.run(CONTACT, "/draft/1", &RATES);
            fleet.set_cut_off(entry, false);
            fleet.restart((entry + 2) % 5);
            fleet.run(CONTACT, "/draft/1", &RATES);
        }
        assert_kept(&fleet, "rank-0", 2.5, from);
        assert!(fleet.refusals.is_empty(), "{:?}", fleet.refusals);
    }
}

/// Load pattern: many entries, each of which gets few calls, and a limit far below one call
/// a second for each.
#[test]
fn a_low_limit_is_kept_by_many_entries() {
    let mut fleet = Fleet::new(3, 34, 24);
    for (name, per_second) in [("rank-0", 1.0), ("rank-1", 0.4), ("rank-2", 0.0)] {
        limit(&mut fleet, name, per_second);
    }
    fleet.run(CONTACT, "/draft/1", &[4.0]);
    let from = fleet.now();
    fleet.run(Duration::from_secs(12), "/draft/1", &[4.0]);
    for (name, per_second) in [("rank-0", 1.0), ("rank-1", 0.4), ("rank-2", 0.0)] {
        assert_kept(&fleet, name, per_second, from);
        // One that takes none is still asked now and then.
        assert!(arrivals(&fleet, name, from) >= 1, "{name}");
    }
    assert!(fleet.refusals.is_empty(), "{:?}", fleet.refusals);
}

/// Load pattern: all upstreams of a service limit their calls to a fraction of what arrives.
/// The rest is refused at once.
#[test]
fn calls_beyond_the_limits_of_all_upstreams_are_refused_at_once() {
    let mut fleet = Fleet::new(5, 5, 2);
    let rates = [4.0, 1.0, 1.0, 1.0, 1.0];
    for name in ["desk-0", "desk-1", "desk-2"] {
        limit(&mut fleet, name, 1.0);
    }
    fleet.run(CONTACT + CONTACT, "/look/1", &rates);
    let from = fleet.now();
    fleet.refusals.clear();
    let completed = fleet.completed;
    fleet.run(Duration::from_secs(20), "/look/1", &rates);
    for name in ["desk-0", "desk-1", "desk-2"] {
        assert_kept(&fleet, name, 1.0, from);
    }
    let served = fleet.completed - completed;
    assert!(served >= 45, "{served} of 60 starts were used");
    let refused = fleet.refusals.len();
    let is_late = |waited: &Duration| *waited > Duration::from_millis(100);
    let late = fleet.refusals.iter().filter(|(_, waited)| is_late(waited));
    let late = late.count();
    assert!(late * 4 <= refused, "{late} of {refused} waited in vain");
    for (refusal, _) in &fleet.refusals {
        assert_eq!(refusal.kind, RefusalKind::NoRoom);
        assert!(refusal.retry_after.is_some_and(|delay| !delay.is_zero()));
    }
}

/// An upstream whose answers name no limit any more gets its share of the calls again, and so
/// does one that has restarted.
#[test]
fn a_limit_ends_with_the_answers_that_name_it() {
    let mut fleet = Fleet::new(7, 5, 4);
    limit(&mut fleet, "rank-0", 1.0);
    limit(&mut fleet, "rank-1", 0.0);
    fleet.run(CONTACT * 2, "/draft/1", &RATES);
    fleet.limits.clear();
    fleet.restart_upstream("rank-1");
    fleet.run(CONTACT, "/draft/1", &RATES);
    let from = fleet.now();
    fleet.run(CONTACT, "/draft/1", &RATES);
    for name in ["rank-0", "rank-1"] {
        let count = arrivals(&fleet, name, from);
        assert!(count >= 30, "{count} calls at {name}");
    }
}

/// An entry that stops lets another one distribute the starts.
#[test]
fn starts_are_handed_out_by_another_entry_after_a_stop() {
    let mut fleet = Fleet::new(9, 2, 2);
    for name in ["desk-0", "desk-1", "desk-2"] {
        limit(&mut fleet, name, 2.0);
    }
    fleet.run(CONTACT, "/look/1", &[3.0, 3.0]);
    for entry in [0, 1] {
        fleet.restart(entry);
        fleet.run(CONTACT, "/look/1", &[3.0, 3.0]);
        let from = fleet.now();
        fleet.run(CONTACT, "/look/1", &[3.0, 3.0]);
        let names = ["desk-0", "desk-1", "desk-2"];
        let used: usize = names.iter().map(|name| arrivals(&fleet, name, from)).sum();
        assert!(
            used >= 8,
            "{used} starts after {} restarted",
            fleet.name(entry)
        );
    }
}

/// Fault: no entry hears another one, and each still has calls to send.
#[test]
fn entries_that_hear_nobody_keep_to_their_share_of_a_limit() {
    let mut fleet = Fleet::new(11, 5, 12);
    limit(&mut fleet, "rank-0", 4.0);
    fleet.run(CONTACT, "/draft/1", &RATES);
    for entry in 0..5 {
        fleet.set_cut_off(entry, true);
    }
    let from = fleet.now();
    fleet.run(Duration::from_secs(9), "/draft/1", &RATES);
    assert_kept(&fleet, "rank-0", 4.0, from);
    assert!(
        arrivals(&fleet, "rank-0", from) >= 8,
        "some starts are used"
    );
}

/// An entry that has just started may not have heard yet who distributes the starts.
#[test]
fn an_entry_that_has_just_started_hands_out_no_start() {
    let mut fleet = Fleet::new(13, 1, 2);
    for name in ["desk-0", "desk-1", "desk-2"] {
        limit(&mut fleet, name, 3.0);
    }
    let from = fleet.now();
    fleet.run(JOIN_DELAY, "/look/1", &[6.0]);
    let names = ["desk-0", "desk-1", "desk-2"];
    let before: usize = names.iter().map(|name| arrivals(&fleet, name, from)).sum();
    assert_eq!(before, 3, "each upstream is asked once");
    fleet.run(JOIN_DELAY, "/look/1", &[6.0]);
    let after: usize = names.iter().map(|name| arrivals(&fleet, name, from)).sum();
    assert!(after >= 9, "{after} calls");
}

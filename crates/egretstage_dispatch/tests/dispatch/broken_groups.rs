//! What happens to the calls of a model group that has lost a rank.

use crate::support::{Bench, refused, sends, sent, upstream};
use egretstage_dispatch::{
    AttemptEnd, CallKey, DispatchEffect, DispatchEvent, GroupMembership, NotRunCause, RefusalKind,
};
use std::collections::HashSet;
use std::time::Duration;

/// Budget of a caller, in milliseconds.
const BUDGET_MS: u64 = 8_000;

const REFUSED: AttemptEnd = AttemptEnd::NotRun {
    cause: NotRunCause::Full,
};

/// Lists both ranks of the group anew.
fn list_ranks(bench: &mut Bench, accepts_calls: bool) -> Vec<DispatchEffect> {
    let mut effects = Vec::new();
    for name in ["rank-0", "rank-1"] {
        let mut rank = upstream(name, "drafting", Some("g"));
        rank.membership = Some(GroupMembership {
            group: "g".into(),
            accepts_calls,
        });
        effects.extend(bench.list(rank));
    }
    effects
}

/// Refuses a call at each rank that it is sent to; returns how often it was sent.
fn refuse_each_attempt(bench: &mut Bench, call: CallKey, mut effects: Vec<DispatchEffect>) -> u32 {
    let mut times = 0;
    while sent(&effects, call).is_some() {
        times += 1;
        effects = bench
            .run
            .event(DispatchEvent::AttemptEnded { call, end: REFUSED });
    }
    times
}

fn group_lines(effects: &[DispatchEffect]) -> Vec<&'static str> {
    let lines = effects.iter().filter_map(|effect| match effect {
        DispatchEffect::Log(line) if line.verb == "group" => line.reason,
        _ => None,
    });
    lines.collect()
}

/// Load pattern: a rank is missing; each other rank refuses each call for
/// seconds, while callers keep coming.
#[test]
fn a_group_that_refuses_is_closed_for_all_its_ranks() {
    let mut bench = Bench::ready();
    let (call, effects) = bench.call("/draft/1", BUDGET_MS);
    assert_eq!(refuse_each_attempt(&mut bench, call, effects), 2);
    let mut told = Vec::new();
    for _ in 0..40 {
        let (call, effects) = bench.call("/draft/1", BUDGET_MS);
        assert!(sent(&effects, call).is_none(), "sent to a closed group");
        let refusal = refused(&effects, call).expect("an answer at once");
        assert_eq!(refusal.kind, RefusalKind::NoUpstream);
        told.push(refusal.retry_after.expect("a time to return"));
        bench.run.advance(Duration::from_millis(10));
    }
    let times: HashSet<Duration> = told.iter().copied().collect();
    assert!(times.len() > 30, "they come back together: {told:?}");
    // Callers accept a third of the time that they have left.
    let longest = Duration::from_millis(BUDGET_MS / 3);
    assert!(told.iter().all(|t| *t <= longest && *t > longest / 2));
}

/// Load pattern: the store is away, so no record says that the group was
/// formed anew. One call now and then finds out.
#[test]
fn a_trial_opens_a_closed_group_again() {
    let mut bench = Bench::ready();
    list_ranks(&mut bench, false);
    let mut trials = 0;
    for _ in 0..20 {
        let mut effects = bench.run.advance(Duration::from_millis(100));
        effects.extend(bench.call("/draft/1", BUDGET_MS).1);
        for call in sends(&effects) {
            trials += 1;
            let end = REFUSED;
            bench.run.event(DispatchEvent::AttemptEnded { call, end });
        }
    }
    assert!((2..=5).contains(&trials), "{trials} trials in two seconds");
    let mut effects = bench.run.advance(Duration::from_millis(600));
    effects.extend(bench.call("/draft/1", BUDGET_MS).1);
    let [call] = sends(&effects)[..] else {
        panic!("one trial is due");
    };
    let effects = bench.run.event(DispatchEvent::FirstByte { call });
    assert_eq!(group_lines(&effects), ["answers"]);
    for _ in 0..5 {
        let (call, effects) = bench.call("/draft/1", BUDGET_MS);
        assert!(sent(&effects, call).is_some(), "the group is open");
    }
}

/// Load pattern: the records of the ranks change one after the other, when the
/// group breaks and when it was formed anew.
#[test]
fn records_close_and_open_a_group() {
    let mut bench = Bench::ready();
    assert_eq!(group_lines(&list_ranks(&mut bench, false)), ["broken"]);
    let (call, effects) = bench.call("/draft/1", BUDGET_MS);
    assert!(refused(&effects, call).is_some());
    assert_eq!(group_lines(&list_ranks(&mut bench, true)), ["formed"]);
    let (call, effects) = bench.call("/draft/1", BUDGET_MS);
    assert!(sent(&effects, call).is_some());
    // A record that is listed again unchanged says nothing new.
    assert!(group_lines(&list_ranks(&mut bench, true)).is_empty());
}

/// Load pattern: one of two groups is broken; the other takes the calls.
#[test]
fn calls_go_to_the_group_that_is_open() {
    let mut bench = Bench::ready();
    for name in ["other-0", "other-1"] {
        bench.list(upstream(name, "drafting", Some("h")));
    }
    list_ranks(&mut bench, false);
    for _ in 0..6 {
        let (call, effects) = bench.call("/draft/1", BUDGET_MS);
        let attempt = sent(&effects, call).expect("an attempt");
        assert!(attempt.instance.as_str().starts_with("other"));
    }
}

/// Load pattern: an address goes to another service, whose record is listed
/// without a group; what answers there refuses each call as not meant for it.
/// Having no calls, it is the least used of all.
#[test]
fn an_upstream_that_disowns_its_record_gets_one_call_a_second() {
    let mut bench = Bench::ready();
    for _ in 0..4 {
        bench.call("/draft/1", BUDGET_MS);
    }
    bench.list(upstream("stray", "drafting", None));
    let mut strays = 0;
    for _ in 0..100 {
        bench.run.advance(Duration::from_millis(20));
        let (call, effects) = bench.call("/draft/1", BUDGET_MS);
        let mut attempt = sent(&effects, call).expect("an attempt");
        if attempt.instance.as_str() == "stray" {
            strays += 1;
            let cause = NotRunCause::OtherUpstream;
            let end = AttemptEnd::NotRun { cause };
            let effects = bench.run.event(DispatchEvent::AttemptEnded { call, end });
            attempt = sent(&effects, call).expect("a second attempt");
        }
        assert!(
            attempt.instance.as_str().starts_with("rank"),
            "it runs at a rank"
        );
        bench.run.event(DispatchEvent::FirstByte { call });
        let whole = true;
        bench.run.event(DispatchEvent::Ended { call, whole });
    }
    assert!((1..=3).contains(&strays), "{strays} calls in two seconds");
}

/// Load pattern: all instances lose power and start again under other names,
/// at the same addresses; the records of before stay until they lapse. Each
/// call that goes by one of them is turned away, and calls have two attempts.
#[test]
fn records_of_earlier_starts_at_an_address_get_no_calls() {
    for new_first in [false, true] {
        let mut bench = Bench::ready();
        let at = |name: &str, started_ms: u64, port: u16| {
            let mut upstream = upstream(name, "booking", None);
            upstream.started_ms = Some(started_ms);
            upstream.address.set_port(port);
            upstream
        };
        let old = [at("desk-0", 10, 1), at("desk-1", 10, 2)];
        let new = [at("desk-2", 20, 1), at("desk-3", 20, 2)];
        let mut listed: Vec<_> = old.into_iter().chain(new).collect();
        if new_first {
            listed.reverse();
        }
        for upstream in listed {
            bench.list(upstream);
        }
        for _ in 0..12 {
            let (call, effects) = bench.call("/look/1", 3_000);
            let attempt = sent(&effects, call).expect("an attempt");
            assert!(
                ["desk-2", "desk-3"].contains(&attempt.instance.as_str()),
                "{} is gone; new first: {new_first}",
                attempt.instance
            );
        }
    }
}

/// Load pattern: records stay for seconds after their upstreams are gone, and
/// others answer at the addresses. The more often one did, the more seldom it
/// is called.
#[test]
fn an_upstream_that_goes_on_disowning_its_record_gets_ever_fewer_calls() {
    let mut bench = Bench::ready();
    bench.list(upstream("stray", "drafting", None));
    let mut strays = Vec::new();
    for step in 0..1_000 {
        bench.run.advance(Duration::from_millis(20));
        let (call, effects) = bench.call("/draft/1", BUDGET_MS);
        let attempt = sent(&effects, call).expect("an attempt");
        if attempt.instance.as_str() == "stray" {
            strays.push(step / 50);
            let cause = NotRunCause::OtherUpstream;
            let end = AttemptEnd::NotRun { cause };
            bench.run.event(DispatchEvent::AttemptEnded { call, end });
        }
        bench.run.event(DispatchEvent::FirstByte { call });
        let whole = true;
        bench.run.event(DispatchEvent::Ended { call, whole });
    }
    assert!(strays.len() <= 5, "called in seconds {strays:?}");
}

/// Load pattern: plain upstreams are full one after the other; each answers
/// for itself alone.
#[test]
fn plain_upstreams_are_never_closed_together() {
    let mut bench = Bench::ready();
    for _ in 0..4 {
        let (call, effects) = bench.call("/look/1", 3_000);
        refuse_each_attempt(&mut bench, call, effects);
    }
    let (call, effects) = bench.call("/look/1", 3_000);
    assert!(sent(&effects, call).is_some());
}

/// Load pattern: a caller returns as it was told, and the group is still
/// broken. It has little time left, so it waits for the group.
#[test]
fn a_caller_that_came_back_waits_for_the_group() {
    let mut bench = Bench::ready();
    list_ranks(&mut bench, false);
    for _ in 0..2 {
        let (first, effects) = bench.call("/draft/1", BUDGET_MS);
        assert!(refused(&effects, first).is_some());
    }
    let (returned, effects) = bench.call("/draft/1", BUDGET_MS - 2_500);
    assert!(refused(&effects, returned).is_none());
    let effects = list_ranks(&mut bench, true);
    assert!(sent(&effects, returned).is_some());
}

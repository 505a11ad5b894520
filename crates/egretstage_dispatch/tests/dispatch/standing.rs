//! Model groups that stand, and what entries tell each other of their cost.

use crate::support::{Bench, refused, sent, upstream};
use egretstage_dispatch::{
    CallKey, DispatchEffect, DispatchEvent, GroupCost, GroupTag, LoadReport, UpstreamLoads,
};
use smallvec::smallvec;
use std::time::Duration;

const BUDGET_MS: u64 = 8_000;

/// Time between two events of a stream.
const PAUSE: Duration = Duration::from_millis(30);

/// Starts streams and shows their first events; returns them with the groups
/// that run them, by the first letter of the rank.
fn start_streams(bench: &mut Bench, count: usize) -> Vec<(CallKey, char)> {
    (0..count)
        .map(|_| {
            let (call, effects) = bench.call("/draft/1", BUDGET_MS);
            let attempt = sent(&effects, call).unwrap_or_else(|| panic!("no attempt: {effects:?}"));
            bench.run.event(DispatchEvent::FirstByte { call });
            (
                call,
                attempt.instance.as_str().chars().next().expect("a name"),
            )
        })
        .collect()
}

/// Two groups of two ranks each.
fn two_groups() -> Bench {
    let mut bench = Bench::ready();
    for name in ["other-0", "other-1"] {
        bench.list(upstream(name, "drafting", Some("h")));
    }
    bench
}

/// Lets time pass while the streams of one group go on.
fn only_one_goes_on(bench: &mut Bench, streams: &[(CallKey, char)], group: char, time: Duration) {
    let mut passed = Duration::ZERO;
    while passed < time {
        bench.run.advance(PAUSE);
        passed += PAUSE;
        for (call, _) in streams.iter().filter(|(_, of)| *of == group) {
            let (call, pause) = (*call, PAUSE);
            bench.run.event(DispatchEvent::Pause { call, pause });
        }
    }
}

fn abandoned(effects: &[DispatchEffect]) -> bool {
    let abandons = |effect: &DispatchEffect| matches!(effect, DispatchEffect::Abandon { .. });
    effects.iter().any(abandons)
}

/// Load pattern: the decider of one group is lost while it holds the group, so
/// all its streams stand for seconds.
#[test]
fn calls_go_to_the_group_that_goes_on() {
    let mut bench = two_groups();
    let streams = start_streams(&mut bench, 8);
    only_one_goes_on(&mut bench, &streams, 'o', Duration::from_secs(1));
    for (_, group) in start_streams(&mut bench, 6) {
        assert_eq!(group, 'o', "sent to a group that stands");
    }
    // One event shows that it goes on.
    let (call, _) = streams.iter().find(|(_, of)| *of == 'r').expect("a stream");
    let (call, pause) = (*call, Duration::from_secs(1));
    bench.run.event(DispatchEvent::Pause { call, pause });
    let groups = start_streams(&mut bench, 6);
    assert!(groups.iter().any(|(_, group)| *group == 'r'), "{groups:?}");
}

/// Load pattern: the only group stands; calls that arrive come back later
/// instead of waiting in vain.
#[test]
fn callers_of_a_group_that_stands_are_told_at_once_when_to_return() {
    let mut bench = Bench::ready();
    start_streams(&mut bench, 4);
    bench.run.advance(Duration::from_secs(1));
    let (call, effects) = bench.call("/draft/1", BUDGET_MS);
    let refusal = refused(&effects, call).expect("an answer at once");
    assert!(
        refusal
            .retry_after
            .is_some_and(|t| t > Duration::from_secs(1))
    );
}

/// Slow groups don't stand, and one stalled stream makes no group stand.
#[test]
fn a_group_with_one_event_now_and_then_takes_calls() {
    let mut bench = Bench::ready();
    let streams = start_streams(&mut bench, 4);
    for (call, _) in streams.iter().cycle().take(12).copied() {
        bench.run.advance(Duration::from_millis(500));
        let pause = Duration::from_millis(500);
        bench.run.event(DispatchEvent::Pause { call, pause });
        let (new, effects) = bench.call("/draft/1", BUDGET_MS);
        assert!(refused(&effects, new).is_none());
        bench.run.event(DispatchEvent::Ended {
            call: new,
            whole: true,
        });
    }
}

/// A stream that is silent while the others of its group go on is moved; one
/// that stands with its whole group is not, unless another group has room.
#[test]
fn a_silent_stream_is_moved_only_where_that_helps() {
    let mut bench = Bench::ready();
    let streams = start_streams(&mut bench, 4);
    bench.run.advance(Duration::from_millis(1_900));
    let (call, _) = streams[0];
    assert!(!abandoned(&bench.run.event(DispatchEvent::Silent { call })));
    let (other, pause) = (streams[1].0, Duration::from_millis(1_900));
    bench.run.event(DispatchEvent::Pause { call: other, pause });
    assert!(abandoned(&bench.run.event(DispatchEvent::Silent { call })));

    let mut bench = two_groups();
    let streams = start_streams(&mut bench, 8);
    only_one_goes_on(&mut bench, &streams, 'o', Duration::from_millis(1_900));
    let (call, _) = streams.iter().find(|(_, of)| *of == 'r').expect("a stream");
    let call = *call;
    assert!(abandoned(&bench.run.event(DispatchEvent::Silent { call })));
}

/// Load pattern: entries restart one after the other, and each has to learn
/// what streams cost; until then it turns callers away that others would take,
/// or takes more than the group bears.
#[test]
fn an_entry_that_has_just_started_takes_over_what_the_others_know() {
    let streams_within_bound = |costs: &[f32]| {
        let mut bench = Bench::ready();
        for (entry, cost) in costs.iter().enumerate() {
            let report = LoadReport {
                entry: format!("entry-{entry}")
                    .as_str()
                    .try_into()
                    .expect("a name"),
                incarnation: 1,
                number: 1,
                configuration: 1,
                loads: UpstreamLoads::default(),
                costs: smallvec![GroupCost(GroupTag::from("g"), *cost)],
            };
            bench
                .run
                .event(DispatchEvent::PeerReported(Box::new(report)));
        }
        bench.run.advance(Duration::from_millis(60));
        let sends = (0..24).filter(|_| {
            let (call, effects) = bench.call("/draft/1", BUDGET_MS);
            sent(&effects, call).is_some()
        });
        sends.count()
    };
    // Milliseconds that a stream adds to each event.
    let (cheap, dear) = (
        streams_within_bound(&[3.0; 3]),
        streams_within_bound(&[12.0; 3]),
    );
    assert!(cheap > 2 * dear, "{cheap} streams, {dear} of dear ones");
    // One entry that is mistaken moves the bound by its share alone.
    let mixed = streams_within_bound(&[12.0, 12.0, 12.0, 12.0, 0.1]);
    assert!(mixed < 2 * dear, "{mixed} streams with one mistaken entry");
}

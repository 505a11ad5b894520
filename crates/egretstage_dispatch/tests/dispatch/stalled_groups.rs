//! Stalled model groups, and the costs of streams that entries report.

use crate::support::{Harness, refused, sent, upstream};
use egretstage_dispatch::{
    Attempt, AttemptEnd, CallKey, DispatchEffect, DispatchEvent, GroupCost, GroupTag, LoadReport,
    NotRunCause, SuspectReport, UpstreamLoads,
};
use smallvec::smallvec;
use std::time::Duration;

const BUDGET_MS: u64 = 8_000;

/// Time between two events of an active stream.
const PAUSE: Duration = Duration::from_millis(30);

/// Starts streams and lets them have a first event; returns them with the groups
/// that run them: `r` for the ranks `rank-*`, `o` for the ranks `other-*`.
fn start_streams(harness: &mut Harness, count: usize) -> Vec<(CallKey, char)> {
    (0..count)
        .map(|_| {
            let (call, effects) = harness.call("/draft/1", BUDGET_MS);
            let attempt = sent(&effects, call).unwrap_or_else(|| panic!("no attempt: {effects:?}"));
            harness.sim.event(DispatchEvent::FirstByte { call });
            (
                call,
                attempt
                    .instance
                    .as_str()
                    .chars()
                    .next()
                    .expect("valid name"),
            )
        })
        .collect()
}

/// Creates an entry with two groups of two ranks each.
fn two_groups() -> Harness {
    let mut harness = Harness::ready();
    for name in ["other-0", "other-1"] {
        harness.list(upstream(name, "drafting", Some("h")));
    }
    harness
}

/// Lets time pass while only the streams of one group have events.
fn advance_with_one_active_group(
    harness: &mut Harness,
    streams: &[(CallKey, char)],
    group: char,
    time: Duration,
) {
    let mut elapsed = Duration::ZERO;
    while elapsed < time {
        harness.sim.advance(PAUSE);
        elapsed += PAUSE;
        for (call, _) in streams.iter().filter(|(_, of_stream)| *of_stream == group) {
            let (call, pause) = (*call, PAUSE);
            harness.sim.event(DispatchEvent::Pause { call, pause });
        }
    }
}

fn any_abandoned(effects: &[DispatchEffect]) -> bool {
    let abandons = |effect: &DispatchEffect| matches!(effect, DispatchEffect::Abandon { .. });
    effects.iter().any(abandons)
}

/// Load pattern: the decider of one group is lost while it holds the group, so
/// all streams of the group stall for seconds.
#[test]
fn calls_go_to_the_group_that_has_not_stalled() {
    let mut harness = two_groups();
    let streams = start_streams(&mut harness, 8);
    advance_with_one_active_group(&mut harness, &streams, 'o', Duration::from_secs(1));
    for (_, group) in start_streams(&mut harness, 6) {
        assert_eq!(group, 'o', "sent to a stalled group");
    }
    // One event shows that the group has resumed.
    let (call, _) = streams
        .iter()
        .find(|(_, group)| *group == 'r')
        .expect("a stream");
    let (call, pause) = (*call, Duration::from_secs(1));
    harness.sim.event(DispatchEvent::Pause { call, pause });
    let groups = start_streams(&mut harness, 6);
    assert!(groups.iter().any(|(_, group)| *group == 'r'), "{groups:?}");
}

/// Load pattern: the only group has stalled. Callers are refused with a delay at
/// once instead of waiting without effect.
#[test]
fn callers_of_a_stalled_group_are_refused_at_once_with_a_delay() {
    let mut harness = Harness::ready();
    start_streams(&mut harness, 4);
    harness.sim.advance(Duration::from_secs(1));
    let (call, effects) = harness.call("/draft/1", BUDGET_MS);
    let refusal = refused(&effects, call).expect("a refusal at once");
    assert!(
        refusal
            .retry_after
            .is_some_and(|t| t > Duration::from_secs(1))
    );
}

/// A slow group isn't considered stalled, and neither is a group with one stalled
/// stream.
#[test]
fn a_slow_group_takes_calls() {
    let mut harness = Harness::ready();
    let streams = start_streams(&mut harness, 4);
    for (call, _) in streams.iter().cycle().take(12).copied() {
        harness.sim.advance(Duration::from_millis(500));
        let pause = Duration::from_millis(500);
        harness.sim.event(DispatchEvent::Pause { call, pause });
        let (new, effects) = harness.call("/draft/1", BUDGET_MS);
        assert!(refused(&effects, new).is_none());
        harness.sim.event(DispatchEvent::Ended {
            call: new,
            whole: true,
        });
    }
}

/// A stream that is silent while the others of its group have events is moved;
/// one that stalls with its whole group isn't, unless another group has capacity.
#[test]
fn a_silent_stream_moves_only_where_it_can_continue() {
    let mut harness = Harness::ready();
    let streams = start_streams(&mut harness, 4);
    harness.sim.advance(Duration::from_millis(1_900));
    let (call, _) = streams[0];
    assert!(!any_abandoned(
        &harness.sim.event(DispatchEvent::Silent { call })
    ));
    let (other, pause) = (streams[1].0, Duration::from_millis(1_900));
    harness
        .sim
        .event(DispatchEvent::Pause { call: other, pause });
    assert!(any_abandoned(
        &harness.sim.event(DispatchEvent::Silent { call })
    ));

    let mut harness = two_groups();
    let streams = start_streams(&mut harness, 8);
    advance_with_one_active_group(&mut harness, &streams, 'o', Duration::from_millis(1_900));
    let (call, _) = streams
        .iter()
        .find(|(_, group)| *group == 'r')
        .expect("a stream");
    let call = *call;
    assert!(any_abandoned(
        &harness.sim.event(DispatchEvent::Silent { call })
    ));
}

/// Starts a stream, which each of the given upstreams first refuses as full.
fn start_refused_stream(harness: &mut Harness, refusals: usize) -> (CallKey, Attempt) {
    let (call, mut effects) = harness.call("/draft/1", BUDGET_MS);
    for _ in 0..refusals {
        let cause = NotRunCause::Full;
        let end = AttemptEnd::NotRun { cause };
        effects = harness.sim.event(DispatchEvent::AttemptEnded { call, end });
    }
    let attempt = sent(&effects, call).unwrap_or_else(|| panic!("no attempt: {effects:?}"));
    harness.sim.event(DispatchEvent::FirstByte { call });
    (call, attempt)
}

/// Lets a stream fall silent while another one of its group has events; returns whether it
/// is abandoned.
fn is_abandoned_when_silent(harness: &mut Harness, call: CallKey, active: CallKey) -> bool {
    harness.sim.advance(Duration::from_millis(1_900));
    let pause = Duration::from_millis(1_900);
    let has_event = DispatchEvent::Pause {
        call: active,
        pause,
    };
    harness.sim.event(has_event);
    any_abandoned(&harness.sim.event(DispatchEvent::Silent { call }))
}

/// Guards against streams that are cut though their upstream goes on with them: a stream
/// that has used its attempts can't resume elsewhere (review/3).
#[test]
fn a_silent_stream_without_attempts_left_stays() {
    for (refusals, is_abandoned) in [(0, true), (1, false)] {
        let mut harness = Harness::ready();
        let (call, silent_at) = start_refused_stream(&mut harness, refusals);
        // The other upstream begins answers again.
        let streams = [(); 4].map(|()| start_refused_stream(&mut harness, 0));
        assert!(
            streams
                .iter()
                .any(|(_, at)| at.instance != silent_at.instance)
        );
        let (active, _) = streams[0];
        let result = is_abandoned_when_silent(&mut harness, call, active);
        assert_eq!(result, is_abandoned, "{refusals} refusals");
    }
}

/// Guards against the same loss where the only other upstream has refused its last call as
/// full: its slots are taken by calls that this entry doesn't know of.
#[test]
fn a_silent_stream_stays_while_the_others_are_full() {
    let mut harness = Harness::ready();
    let (silent, silent_at) = start_refused_stream(&mut harness, 0);
    // The second stream goes to the other upstream, is refused, and comes here.
    let (active, active_at) = start_refused_stream(&mut harness, 1);
    assert_eq!(silent_at.instance, active_at.instance);
    assert!(!is_abandoned_when_silent(&mut harness, silent, active));
    // The other upstream begins an answer.
    let (_, at) = start_refused_stream(&mut harness, 0);
    assert_ne!(at.instance, silent_at.instance);
    assert!(is_abandoned_when_silent(&mut harness, silent, active));
}

/// Load pattern: entries restart one after the other without an estimate of what
/// streams cost. Until they have one, they would refuse callers that others
/// take, or send more streams than the group can run in time.
#[test]
fn an_entry_that_has_just_started_uses_the_costs_that_others_report() {
    let streams_within_bound = |costs: &[f32]| {
        let mut harness = Harness::ready();
        for (entry, cost) in costs.iter().enumerate() {
            let report = LoadReport {
                entry: format!("entry-{entry}")
                    .as_str()
                    .try_into()
                    .expect("valid name"),
                incarnation: 1,
                number: 1,
                configuration: 1,
                loads: UpstreamLoads::default(),
                costs: smallvec![GroupCost(GroupTag::from("g"), *cost)],
                zones: None,
                suspects: SuspectReport::default(),
                limits: egretstage_dispatch::LimitReport::default(),
                zone: None,
                requests: egretstage_dispatch::RequestReport::default(),
            };
            harness
                .sim
                .event(DispatchEvent::PeerReported(Box::new(report)));
        }
        harness.sim.advance(Duration::from_millis(60));
        let sends = (0..24).filter(|_| {
            let (call, effects) = harness.call("/draft/1", BUDGET_MS);
            sent(&effects, call).is_some()
        });
        sends.count()
    };
    // Costs in milliseconds per event.
    let (cheap, expensive) = (
        streams_within_bound(&[3.0; 3]),
        streams_within_bound(&[12.0; 3]),
    );
    assert!(
        cheap > 2 * expensive,
        "{cheap} streams at low cost, {expensive} at high cost"
    );
    // A single mistaken entry moves the bound only by its share of the mean.
    let mixed = streams_within_bound(&[12.0, 12.0, 12.0, 12.0, 0.1]);
    assert!(
        mixed < 2 * expensive,
        "{mixed} streams with one mistaken entry"
    );
}

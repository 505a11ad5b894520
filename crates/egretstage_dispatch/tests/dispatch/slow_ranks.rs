//! Calls of a model group while some of its ranks are slow.

use crate::support::{Harness, refused, sent, upstream};
use egretstage_dispatch::{
    AttemptEnd, CallKey, CallRate, DispatchEffect, DispatchEvent, Prompt, RefusalKind,
    UnknownCause, UpstreamSignal,
};
use egretstage_wire::{SlowRanks, Slowdown};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

const RANKS: u16 = 4;

/// A report that no rank has its usual speed, so that none can take over the others'
/// work.
const ALL_SLOW: [(u16, f32); 4] = [(0, 24.0), (1, 24.0), (2, 24.0), (3, 24.0)];

/// Time within which the end of a slow period takes effect.
const MAX_NOTICE: Duration = Duration::from_secs(1);

fn address(rank: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + rank))
}

/// Creates an entry with a group of four ranks.
fn harness() -> Harness {
    let mut harness = Harness::ready();
    for rank in 0..RANKS {
        let mut listed = upstream(&format!("rank-{rank}"), "drafting", Some("g"));
        listed.address = address(rank);
        harness.list(listed);
    }
    harness
}

fn report(number: u64, slow: &[(u16, f32)]) -> DispatchEvent {
    let ranks = slow.iter();
    DispatchEvent::SlowRanksReported(Box::new(SlowRanks {
        group: "g".into(),
        fence: 1,
        number,
        ranks: ranks
            .map(|(rank, factor)| (address(*rank), Slowdown::from_factor(*factor)))
            .collect(),
    }))
}

/// Runs passes of a given length, which all `running` streams observe.
fn run_passes(harness: &mut Harness, running: &[CallKey], count: u32, pass_ms: u64) {
    let pause = Duration::from_millis(pass_ms);
    for _ in 0..count {
        harness.sim.advance(pause);
        for call in running {
            let call = *call;
            harness.sim.event(DispatchEvent::Pause { call, pause });
        }
    }
}

/// Starts streams until the group is full; returns those that run.
fn fill(harness: &mut Harness, calls: u32) -> Vec<CallKey> {
    let mut running = Vec::new();
    for _ in 0..calls {
        let (call, effects) = harness.call("/draft/1", 8_000);
        if sent(&effects, call).is_some() {
            running.push(call);
            harness.sim.event(DispatchEvent::FirstByte { call });
        }
    }
    running
}

/// Load pattern: one rank is 1.6 times slower. All ranks wait for its streams and
/// prompts, while the others have slots left.
#[test]
fn a_slow_rank_runs_no_stream_that_others_have_a_slot_for() {
    let mut harness = harness();
    harness.sim.event(report(1, &[(2, 1.6)]));
    let slow = address(2);
    for _ in 0..20 {
        let (call, effects) = harness.call("/draft/1", 8_000);
        if let Some(attempt) = sent(&effects, call) {
            assert_ne!(attempt.address, slow);
        }
    }
    harness.sim.event(report(2, &[]));
    let mut used = HashSet::new();
    for _ in 0..20 {
        let (call, effects) = harness.call("/draft/1", 8_000);
        used.extend(sent(&effects, call).map(|attempt| attempt.address));
    }
    assert!(used.contains(&slow), "the rank has recovered");
}

/// Load pattern: ranks are twelve times slower for seconds. A pass takes a fifth of a
/// second and more, and an answer of the mean length longer than its caller waits.
/// Callers are told so at once, and return at different times; a call that expects a
/// short answer starts.
#[test]
fn calls_that_a_slow_group_cannot_answer_are_refused_at_once() {
    let mut harness = harness();
    let running = fill(&mut harness, 8);
    harness.sim.event(report(1, &ALL_SLOW));
    run_passes(&mut harness, &running, 2, 500);
    let mut delays = HashSet::new();
    for _ in 0..10 {
        let (call, effects) = harness.call("/draft/1", 8_000);
        let refusal = refused(&effects, call).expect("a refusal");
        assert_eq!(
            (refusal.kind, refusal.kind.status()),
            (RefusalKind::TooSlow, 503)
        );
        delays.insert(refusal.retry_after.expect("a time to return"));
    }
    assert_eq!(delays.len(), 10, "each caller returns at a different time");
    for call in running {
        harness
            .sim
            .event(DispatchEvent::Ended { call, whole: true });
    }
    let short = Prompt {
        tokens: 800,
        max_output: 400,
        expected_output: Some(20),
    };
    let (call, effects) = harness.call_with_prompt("/draft/1", 8_000, short);
    assert!(sent(&effects, call).is_some(), "five events end in time");
}

/// Load pattern: the slow ranks recover, and the callers that were refused meanwhile
/// return along with new ones.
#[test]
fn a_group_takes_as_many_streams_as_before_once_its_ranks_have_recovered() {
    let mut harness = harness();
    let running = fill(&mut harness, 60);
    run_passes(&mut harness, &running, 20, 70);
    let bound_before = running.len();
    for number in 1..7 {
        harness.sim.event(report(number, &ALL_SLOW));
        run_passes(&mut harness, &running, 1, 600);
    }
    harness.sim.event(report(7, &[]));
    for call in running {
        harness
            .sim
            .event(DispatchEvent::Ended { call, whole: true });
    }
    harness.sim.advance(MAX_NOTICE / 2);
    let running = fill(&mut harness, 60);
    assert!(
        running.len() >= bound_before,
        "{} streams run after the recovery, {bound_before} before it",
        running.len()
    );
}

/// Load pattern: the decider that reported a slow rank fails, and nobody reports the
/// rank's recovery.
#[test]
fn a_report_that_is_not_repeated_expires() {
    let mut harness = harness();
    harness.sim.event(report(1, &ALL_SLOW));
    let (call, effects) = harness.call("/draft/1", 8_000);
    assert!(refused(&effects, call).is_some());
    harness.sim.advance(Duration::from_secs(2));
    let (call, effects) = harness.call("/draft/1", 8_000);
    assert!(sent(&effects, call).is_some());
}

/// Load pattern: datagrams overtake each other, and a decider that was replaced goes
/// on to report for a moment.
#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut harness = harness();
    harness.sim.event(report(2, &[]));
    harness.sim.event(report(1, &ALL_SLOW));
    let (call, effects) = harness.call("/draft/1", 8_000);
    assert!(sent(&effects, call).is_some());
}

/// Returns the streams that the effects move to another upstream.
fn moved(effects: &[DispatchEffect]) -> Vec<CallKey> {
    let moved = effects.iter().filter_map(|effect| match effect {
        DispatchEffect::Abandon { call, cause } => {
            assert_eq!(*cause, UnknownCause::SlowRank);
            Some(*call)
        }
        _ => None,
    });
    moved.collect()
}

/// Load pattern: the group is over its bound, and one rank becomes twelve times slower.
/// As long as it runs a stream, each pass of all streams takes as long as its own steps.
/// Its streams continue at the other ranks at once, before calls that wait.
#[test]
fn streams_of_a_slow_rank_continue_at_other_ranks() {
    let mut harness = harness();
    let mut running = HashMap::new();
    for _ in 0..32 {
        let (call, effects) = harness.call("/draft/1", 8_000);
        let attempt = sent(&effects, call).expect("the group isn't full");
        running.insert(call, attempt.address);
        harness.sim.event(DispatchEvent::FirstByte { call });
    }
    let calls: Vec<CallKey> = running.keys().copied().collect();
    run_passes(&mut harness, &calls, 20, 150);
    let (waiting, effects) = harness.call("/draft/1", 8_000);
    assert!(sent(&effects, waiting).is_none(), "the group is full");
    let slow = address(1);
    let on_slow_rank = running.values().filter(|at| **at == slow).count();
    assert!(on_slow_rank > 1);
    harness.sim.event(report(1, &[(1, 12.0)]));
    let mut moves = 0;
    for _ in 0..4 {
        let effects = harness.sim.advance(Duration::from_millis(50));
        for call in moved(&effects) {
            assert_eq!(running[&call], slow);
            let end = AttemptEnd::Unknown {
                cause: UnknownCause::SlowRank,
            };
            let effects = harness.sim.event(DispatchEvent::AttemptEnded { call, end });
            let attempt = sent(&effects, call).expect("the stream continues at once");
            assert_ne!(attempt.address, slow);
            moves += 1;
        }
    }
    assert_eq!(moves, on_slow_rank, "each stream moves once");
}

/// Load pattern: the other ranks limit the starts of all entries together, and this entry has
/// none yet. It gets some shortly, so its streams still leave the slow rank.
#[test]
fn streams_of_a_slow_rank_move_although_the_others_limit_starts() {
    let mut harness = harness();
    let mut running = HashMap::new();
    for _ in 0..16 {
        let (call, effects) = harness.call("/draft/1", 8_000);
        let attempt = sent(&effects, call).expect("the group isn't full");
        running.insert(call, attempt);
        harness.sim.event(DispatchEvent::FirstByte { call });
    }
    let slow = address(1);
    let limit = CallRate::try_from(2.0).expect("a rate");
    for attempt in running.values().filter(|a| a.address != slow) {
        let upstream = attempt.upstream;
        let signal = UpstreamSignal::Limit(Some(limit));
        harness
            .sim
            .event(DispatchEvent::SignalReceived { upstream, signal });
    }
    let on_slow_rank = running.values().filter(|a| a.address == slow).count();
    assert!(on_slow_rank > 1);
    let mut effects = harness.sim.event(report(1, &[(1, 12.0)]));
    // A check is due, but no start has been handed out yet.
    effects.extend(harness.sim.advance(Duration::from_millis(60)));
    assert_eq!(moved(&effects).len(), on_slow_rank);
}

/// Load pattern: several ranks are slow, and the others can't hold all experts, so the
/// slow ranks keep some of the work. Moving their streams would change nothing.
#[test]
fn streams_stay_if_the_group_cannot_do_without_its_slow_ranks() {
    let mut harness = harness();
    fill(&mut harness, 60);
    harness.sim.event(report(1, &ALL_SLOW));
    let effects = harness.sim.advance(Duration::from_millis(200));
    assert!(moved(&effects).is_empty());
}

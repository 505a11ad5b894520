//! Queueing, refusal and placement of calls under overload.

use crate::support::{Harness, refused, sent, sent_calls, upstream};
use egretstage_dispatch::{
    CallKey, DispatchEffect, DispatchEvent, LimitReport, LoadReport, RefusalKind, SuspectReport,
    UpstreamLoad, UpstreamState, UpstreamTag,
};
use smallvec::SmallVec;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Maximum number of streams of two ranks with twelve slots each.
const SLOTS: usize = 24;

/// Load pattern: far more streams arrive at one moment than the group can run.
/// Some wait; those that can't start in time are refused at once.
#[test]
fn a_burst_fills_the_group_to_its_bound_and_the_rest_waits() {
    let mut harness = Harness::ready();
    let mut running = Vec::new();
    let mut waiting = Vec::new();
    for _ in 0..60 {
        let (call, effects) = harness.call("/draft/1", 8_000);
        if sent(&effects, call).is_some() {
            running.push(call);
        } else if let Some(refusal) = refused(&effects, call) {
            assert_eq!(refusal.kind, RefusalKind::NoRoom);
            assert!(!waiting.is_empty(), "refused although no call waits");
        } else {
            waiting.push(call);
        }
    }
    assert!(running.len() <= SLOTS, "{} streams run", running.len());
    let done = running[0];
    let effects = harness.sim.event(DispatchEvent::Ended {
        call: done,
        whole: true,
    });
    assert_eq!(
        sent_calls(&effects),
        [waiting[0]],
        "the first waiting call goes next"
    );
}

/// Load pattern: no slot becomes free. Callers are refused before they give up,
/// each with a different delay.
#[test]
fn calls_that_cannot_start_are_refused_with_different_delays() {
    let mut harness = Harness::ready();
    let refused_delays = |effects: &[DispatchEffect]| -> Vec<Duration> {
        let delays = effects.iter().filter_map(|effect| match effect {
            DispatchEffect::Refuse { refusal, .. } => {
                assert_eq!(refusal.kind, RefusalKind::NoRoom);
                refusal.retry_after
            }
            _ => None,
        });
        delays.collect()
    };
    let calls = (0..40).flat_map(|_| harness.call("/draft/1", 8_000).1);
    let at_once = refused_delays(&calls.collect::<Vec<_>>());
    let after_a_wait = refused_delays(&harness.sim.advance(Duration::from_millis(1_950)));
    let count = at_once.len() + after_a_wait.len();
    assert!(count >= 40 - SLOTS, "{count} are refused");
    for delays in [at_once, after_a_wait] {
        let distinct: HashSet<Duration> = delays.iter().copied().collect();
        assert_eq!(
            distinct.len(),
            delays.len(),
            "each caller returns at a different time"
        );
        // Callers accept a delay of a third of their remaining budget.
        assert!(
            delays
                .iter()
                .all(|t| *t <= Duration::from_millis(8_000 / 3))
        );
    }
}

/// Load pattern: the group is full and new calls are waiting when a refused caller
/// returns after its delay.
#[test]
fn a_returning_call_goes_before_new_ones() {
    let mut harness = Harness::ready();
    let mut running = Vec::new();
    let mut new = None;
    while new.is_none() {
        let (call, effects) = harness.call("/draft/1", 8_000);
        if sent(&effects, call).is_some() {
            running.push(call);
        } else {
            new = Some(call);
        }
    }
    let (returned, effects) = harness.call("/draft/1", 5_500);
    assert!(sent(&effects, returned).is_none(), "the group is full");
    for next in [returned, new.expect("a call that waits")] {
        let call = running.pop().expect("a stream that runs");
        let whole = true;
        let effects = harness.sim.event(DispatchEvent::Ended { call, whole });
        assert_eq!(sent_calls(&effects), [next]);
    }
}

/// Load pattern: pauses grow as demand moves to other experts.
#[test]
fn fewer_streams_run_while_pauses_are_long() {
    let run_with_pauses = |pause_ms: u64| {
        let mut harness = Harness::ready();
        let mut running: Vec<CallKey> = Vec::new();
        for _ in 0..60 {
            let (call, effects) = harness.call("/draft/1", 8_000);
            running.extend(sent_calls(&effects));
            harness.sim.event(DispatchEvent::FirstByte { call });
            for call in running.clone() {
                let pause = Duration::from_millis(pause_ms);
                harness.sim.event(DispatchEvent::Pause { call, pause });
            }
            harness.sim.advance(Duration::from_millis(20));
        }
        running.len()
    };
    let (long, short) = (run_with_pauses(110), run_with_pauses(40));
    assert!(
        long < short,
        "{long} streams with long pauses, {short} with short ones"
    );
}

/// Load pattern: another entry has filled the group, as its report shows.
#[test]
fn calls_of_other_entries_count_towards_the_bound() {
    let mut harness = Harness::ready();
    let loads = ["rank-0", "rank-1"].map(|name| UpstreamLoad {
        upstream: UpstreamTag::from(&name.try_into().expect("valid name")),
        calls: 12,
    });
    let report = |number| {
        DispatchEvent::PeerReported(Box::new(LoadReport {
            entry: "other".try_into().expect("valid name"),
            incarnation: 1,
            number,
            configuration: 1,
            loads: loads.into_iter().collect(),
            costs: SmallVec::new(),
            zones: None,
            suspects: SuspectReport::default(),
            limits: LimitReport::default(),
            zone: None,
            requests: egretstage_dispatch::RequestReport::default(),
        }))
    };
    harness.sim.event(report(2));
    let (call, effects) = harness.call("/draft/1", 8_000);
    assert_eq!(sent(&effects, call), None);
    // The other entry has failed; its report ages until it no longer counts.
    let effects = harness.sim.advance(Duration::from_millis(1_390));
    assert!(sent(&effects, call).is_none());
    let (call, _) = harness.call("/draft/1", 8_000);
    let effects = harness.sim.advance(Duration::from_millis(400));
    assert!(sent(&effects, call).is_some());
}

/// Load pattern: one upstream fails each call although it reports that it is
/// ready.
#[test]
fn an_upstream_that_fails_its_calls_gets_few() {
    let mut harness = Harness::ready();
    let mut sent_to: HashMap<String, u32> = HashMap::new();
    for _ in 0..100 {
        let (call, effects) = harness.call("/book/1", 3_000);
        let attempt = sent(&effects, call).expect("an attempt");
        *sent_to.entry(attempt.instance.to_string()).or_default() += 1;
        let event = if attempt.instance.as_str() == "desk-0" {
            let end = egretstage_dispatch::AttemptEnd::Failure { status: 500 };
            DispatchEvent::AttemptEnded { call, end }
        } else {
            harness.sim.event(DispatchEvent::FirstByte { call });
            DispatchEvent::Ended { call, whole: true }
        };
        harness.sim.event(event);
        harness
            .sim
            .event(DispatchEvent::Ended { call, whole: true });
        harness.sim.advance(Duration::from_millis(20));
    }
    assert!(sent_to.get("desk-0").is_none_or(|n| *n <= 5), "{sent_to:?}");
}

#[test]
fn a_draining_upstream_gets_no_call_and_its_connections_are_closed() {
    let mut harness = Harness::ready();
    let mut leaving = upstream("desk-0", "booking", None);
    leaving.state = UpstreamState::Draining;
    let effects = harness.list(leaving);
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, DispatchEffect::CloseIdle(_)))
    );
    for _ in 0..5 {
        let (call, effects) = harness.call("/look/1", 3_000);
        let attempt = sent(&effects, call).expect("an attempt");
        assert_eq!(attempt.instance.as_str(), "desk-1");
    }
}

#[test]
fn a_service_without_upstreams_is_refused_at_once() {
    let mut harness = Harness::ready();
    for name in ["desk-0", "desk-1"] {
        let instance = name.try_into().expect("valid name");
        harness.sim.event(DispatchEvent::Unlisted(instance));
    }
    let (call, effects) = harness.call("/look/1", 3_000);
    let refusal = refused(&effects, call).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.kind.status()),
        (RefusalKind::NoUpstream, 503)
    );
}

/// Load pattern: a planned stop while streams run and calls keep arriving.
#[test]
fn a_stop_ends_with_the_last_call() {
    let mut harness = Harness::ready();
    let (running, _) = harness.call("/draft/1", 8_000);
    let effects = harness.sim.event(DispatchEvent::Stop);
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, DispatchEffect::Ready(false)))
    );
    let (early, effects) = harness.call("/draft/1", 8_000);
    assert!(
        sent(&effects, early).is_some(),
        "calls are still accepted for a while"
    );
    let effects = harness.sim.advance(Duration::from_millis(3_100));
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, DispatchEffect::CloseConnections))
    );
    let (late, effects) = harness.call("/draft/1", 8_000);
    assert_eq!(
        refused(&effects, late).expect("a refusal").kind,
        RefusalKind::Stopping
    );
    let (call, effects) = harness.call("/look/1", 3_000);
    assert!(
        sent(&effects, call).is_some(),
        "a short call can still end in time"
    );
    let stopped = |e: &DispatchEffect| matches!(e, DispatchEffect::Stopped);
    for call in [running, early, call] {
        assert!(
            !harness
                .sim
                .advance(Duration::from_millis(100))
                .iter()
                .any(stopped)
        );
        let effects = harness
            .sim
            .event(DispatchEvent::Ended { call, whole: true });
        assert_eq!(
            effects.iter().any(stopped),
            call != running && call != early
        );
    }
}

//! How calls wait, are refused and are placed when load is at its worst.

use crate::support::{Bench, refused, sends, sent, upstream};
use egretstage_dispatch::{
    CallKey, DispatchEffect, DispatchEvent, LoadReport, RefusalKind, UpstreamLoad, UpstreamState,
    UpstreamTag,
};
use smallvec::SmallVec;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Most streams that two ranks of twelve slots run.
const SLOTS: usize = 24;

/// Load pattern: far more streams arrive at one moment than the group runs. Some
/// wait; those for whom no place can come free in time are refused at once.
#[test]
fn a_burst_is_bounded_and_the_rest_waits_for_places() {
    let mut bench = Bench::ready();
    let mut running = Vec::new();
    let mut waiting = Vec::new();
    for _ in 0..60 {
        let (call, effects) = bench.call("/draft/1", 8_000);
        if sent(&effects, call).is_some() {
            running.push(call);
        } else if let Some(refusal) = refused(&effects, call) {
            assert_eq!(refusal.kind, RefusalKind::NoRoom);
            assert!(!waiting.is_empty(), "refused although nobody waits");
        } else {
            waiting.push(call);
        }
    }
    assert!(running.len() <= SLOTS, "{} streams run", running.len());
    let done = running[0];
    let effects = bench.run.event(DispatchEvent::Ended {
        call: done,
        whole: true,
    });
    assert_eq!(
        sends(&effects),
        [waiting[0]],
        "the first that waits goes next"
    );
}

/// Load pattern: no place comes free. Callers are told to come back before they
/// give up, each at a time of its own.
#[test]
fn those_that_wait_in_vain_are_told_different_times_to_return() {
    let mut bench = Bench::ready();
    for _ in 0..40 {
        bench.call("/draft/1", 8_000);
    }
    let effects = bench.run.advance(Duration::from_millis(1_950));
    let told: Vec<Duration> = effects
        .iter()
        .filter_map(|effect| match effect {
            DispatchEffect::Refuse { refusal, .. } => {
                assert_eq!(refusal.kind, RefusalKind::NoRoom);
                refusal.retry_after
            }
            _ => None,
        })
        .collect();
    assert!(told.len() >= 40 - SLOTS, "{} are refused", told.len());
    let times: HashSet<Duration> = told.iter().copied().collect();
    assert_eq!(times.len(), told.len(), "nobody returns with another");
    // Callers accept a third of the time that they have left.
    assert!(told.iter().all(|t| *t <= Duration::from_millis(8_000 / 3)));
}

/// Load pattern: the group is full when a refused caller comes back as it was
/// told, and new calls wait already.
#[test]
fn a_caller_that_came_back_goes_before_new_ones() {
    let mut bench = Bench::ready();
    let mut running = Vec::new();
    let mut new = None;
    while new.is_none() {
        let (call, effects) = bench.call("/draft/1", 8_000);
        if sent(&effects, call).is_some() {
            running.push(call);
        } else {
            new = Some(call);
        }
    }
    let (returned, effects) = bench.call("/draft/1", 5_500);
    assert!(sent(&effects, returned).is_none(), "the group is full");
    for next in [returned, new.expect("a call that waits")] {
        let call = running.pop().expect("a stream that runs");
        let whole = true;
        let effects = bench.run.event(DispatchEvent::Ended { call, whole });
        assert_eq!(sends(&effects), [next]);
    }
}

/// Load pattern: pauses grow as other experts come into demand.
#[test]
fn fewer_streams_run_while_pauses_are_long() {
    let run_with_pauses = |pause_ms: u64| {
        let mut bench = Bench::ready();
        let mut running: Vec<CallKey> = Vec::new();
        for _ in 0..60 {
            let (call, effects) = bench.call("/draft/1", 8_000);
            running.extend(sends(&effects));
            bench.run.event(DispatchEvent::FirstByte { call });
            for call in running.clone() {
                let pause = Duration::from_millis(pause_ms);
                bench.run.event(DispatchEvent::Pause { call, pause });
            }
            bench.run.advance(Duration::from_millis(20));
        }
        running.len()
    };
    let (long, short) = (run_with_pauses(110), run_with_pauses(40));
    assert!(
        long < short,
        "{long} streams with long pauses, {short} with short ones"
    );
}

/// Load pattern: other entries fill the group; their counts arrive late.
#[test]
fn calls_of_other_entries_count() {
    let mut bench = Bench::ready();
    let loads = ["rank-0", "rank-1"].map(|name| UpstreamLoad {
        upstream: UpstreamTag::from(&name.try_into().expect("a name")),
        calls: 12,
    });
    let report = |number| {
        DispatchEvent::PeerReported(Box::new(LoadReport {
            entry: "other".try_into().expect("a name"),
            incarnation: 1,
            number,
            configuration: 1,
            loads: loads.into_iter().collect(),
            costs: SmallVec::new(),
        }))
    };
    bench.run.event(report(2));
    let (call, effects) = bench.call("/draft/1", 8_000);
    assert_eq!(sent(&effects, call), None);
    // The other entry dies; its report ages until it no longer counts.
    let effects = bench.run.advance(Duration::from_millis(1_390));
    assert!(sent(&effects, call).is_none());
    let (call, _) = bench.call("/draft/1", 8_000);
    let effects = bench.run.advance(Duration::from_millis(400));
    assert!(sent(&effects, call).is_some());
}

/// Load pattern: one upstream fails each call while it calls itself ready.
#[test]
fn an_upstream_that_fails_its_calls_gets_few() {
    let mut bench = Bench::ready();
    let mut sent_to: HashMap<String, u32> = HashMap::new();
    for _ in 0..100 {
        let (call, effects) = bench.call("/book/1", 3_000);
        let attempt = sent(&effects, call).expect("an attempt");
        *sent_to.entry(attempt.instance.to_string()).or_default() += 1;
        let event = if attempt.instance.as_str() == "desk-0" {
            let end = egretstage_dispatch::AttemptEnd::Failure { status: 500 };
            DispatchEvent::AttemptEnded { call, end }
        } else {
            bench.run.event(DispatchEvent::FirstByte { call });
            DispatchEvent::Ended { call, whole: true }
        };
        bench.run.event(event);
        bench.run.event(DispatchEvent::Ended { call, whole: true });
        bench.run.advance(Duration::from_millis(20));
    }
    assert!(sent_to.get("desk-0").is_none_or(|n| *n <= 5), "{sent_to:?}");
}

#[test]
fn a_draining_upstream_gets_no_call_and_its_connections_are_closed() {
    let mut bench = Bench::ready();
    let mut leaving = upstream("desk-0", "booking", None);
    leaving.state = UpstreamState::Draining;
    let effects = bench.list(leaving);
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, DispatchEffect::CloseIdle(_)))
    );
    for _ in 0..5 {
        let (call, effects) = bench.call("/look/1", 3_000);
        let attempt = sent(&effects, call).expect("an attempt");
        assert_eq!(attempt.instance.as_str(), "desk-1");
    }
}

#[test]
fn a_service_without_upstreams_is_refused_at_once() {
    let mut bench = Bench::ready();
    for name in ["desk-0", "desk-1"] {
        let instance = name.try_into().expect("a name");
        bench.run.event(DispatchEvent::Unlisted(instance));
    }
    let (call, effects) = bench.call("/look/1", 3_000);
    let refusal = refused(&effects, call).expect("an answer");
    assert_eq!(
        (refusal.kind, refusal.kind.status()),
        (RefusalKind::NoUpstream, 503)
    );
}

/// Load pattern: a planned stop while streams run and callers keep sending.
#[test]
fn a_stop_ends_with_the_last_call() {
    let mut bench = Bench::ready();
    let (running, _) = bench.call("/draft/1", 8_000);
    let effects = bench.run.event(DispatchEvent::Stop);
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, DispatchEffect::Ready(false)))
    );
    let (early, effects) = bench.call("/draft/1", 8_000);
    assert!(
        sent(&effects, early).is_some(),
        "callers still come for a while"
    );
    let effects = bench.run.advance(Duration::from_millis(3_100));
    assert!(
        effects
            .iter()
            .any(|e| matches!(e, DispatchEffect::CloseConnections))
    );
    let (late, effects) = bench.call("/draft/1", 8_000);
    assert_eq!(
        refused(&effects, late).expect("an answer").kind,
        RefusalKind::Stopping
    );
    let (call, effects) = bench.call("/look/1", 3_000);
    assert!(sent(&effects, call).is_some(), "a short call still fits");
    let stopped = |e: &DispatchEffect| matches!(e, DispatchEffect::Stopped);
    for call in [running, early, call] {
        assert!(
            !bench
                .run
                .advance(Duration::from_millis(100))
                .iter()
                .any(stopped)
        );
        let effects = bench.run.event(DispatchEvent::Ended { call, whole: true });
        assert_eq!(
            effects.iter().any(stopped),
            call != running && call != early
        );
    }
}

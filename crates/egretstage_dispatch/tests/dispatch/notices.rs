//! What upstreams say of themselves in answers.

use crate::support::{Bench, refused, sends, sent, upstream};
use egretstage_dispatch::{
    Attempt, AttemptEnd, CallKey, DispatchEffect, DispatchEvent, NotRunCause, RefusalKind,
    UpstreamSignal,
};
use std::time::Duration;

const REFUSED: AttemptEnd = AttemptEnd::NotRun {
    cause: NotRunCause::Full,
};

fn say(bench: &mut Bench, attempt: &Attempt, signal: UpstreamSignal) -> Vec<DispatchEffect> {
    let upstream = attempt.upstream;
    bench
        .run
        .event(DispatchEvent::SignalReceived { upstream, signal })
}

fn end(bench: &mut Bench, call: CallKey) {
    bench.run.event(DispatchEvent::FirstByte { call });
    bench.run.event(DispatchEvent::Ended { call, whole: true });
}

/// Returns the upstreams that a number of calls are sent to.
fn upstreams_of_calls(bench: &mut Bench, path: &str, calls: u32) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..calls {
        let (call, effects) = bench.call(path, 3_000);
        if let Some(attempt) = sent(&effects, call) {
            names.push(attempt.instance.as_str().to_owned());
            end(bench, call);
        }
    }
    names
}

/// Makes one of the two plain upstreams say something; returns its name.
fn one_says(bench: &mut Bench, signal: UpstreamSignal) -> String {
    let (call, effects) = bench.call("/look/1", 3_000);
    let attempt = sent(&effects, call).expect("an attempt");
    let effects = say(bench, &attempt, signal);
    if signal == UpstreamSignal::Leaving {
        let closes = |e: &DispatchEffect| matches!(e, DispatchEffect::CloseIdle(_));
        assert!(effects.iter().any(closes), "no connection is kept");
    }
    end(bench, call);
    attempt.instance.as_str().to_owned()
}

/// Load pattern: an upstream leaves while its record still says that it is
/// ready, and the store is away.
#[test]
fn an_upstream_that_says_it_leaves_gets_no_call() {
    let mut bench = Bench::ready();
    let leaving = one_says(&mut bench, UpstreamSignal::Leaving);
    // Its record is written again, still as ready.
    bench.list(upstream(&leaving, "booking", None));
    bench.run.advance(Duration::from_mins(1));
    let names = upstreams_of_calls(&mut bench, "/look/1", 10);
    assert_eq!(names.len(), 10);
    assert!(!names.contains(&leaving), "{names:?}");
}

/// Load pattern: the store is down, the record of a leaving upstream lapses
/// and comes back.
#[test]
fn a_lapsed_record_brings_no_leaving_upstream_back() {
    let mut bench = Bench::ready();
    let leaving = one_says(&mut bench, UpstreamSignal::Leaving);
    let name = leaving.as_str().try_into().expect("a name");
    bench.run.event(DispatchEvent::Unlisted(name));
    bench.run.advance(Duration::from_secs(3));
    bench.list(upstream(&leaving, "booking", None));
    let names = upstreams_of_calls(&mut bench, "/look/1", 10);
    assert!(!names.contains(&leaving), "{names:?}");
}

/// Another start under the same name is another upstream, with or without a
/// gap between the records.
#[test]
fn another_start_has_said_nothing() {
    for lapses in [false, true] {
        let mut bench = Bench::ready();
        let leaving = one_says(&mut bench, UpstreamSignal::Leaving);
        if lapses {
            let name = leaving.as_str().try_into().expect("a name");
            bench.run.event(DispatchEvent::Unlisted(name));
        }
        let mut reborn = upstream(&leaving, "booking", None);
        reborn.started_ms = Some(2);
        bench.list(reborn);
        let names = upstreams_of_calls(&mut bench, "/look/1", 20);
        assert!(names.contains(&leaving), "lapses: {lapses}, {names:?}");
    }
}

/// Load pattern: calls wait for a group, and are retried, while one of its
/// ranks says that it leaves.
#[test]
fn waiting_and_repeated_calls_avoid_a_leaving_rank() {
    let mut bench = Bench::ready();
    let (first, effects) = bench.call("/draft/1", 8_000);
    let attempt = sent(&effects, first).expect("an attempt");
    say(&mut bench, &attempt, UpstreamSignal::Leaving);
    let end = REFUSED;
    let effects = bench
        .run
        .event(DispatchEvent::AttemptEnded { call: first, end });
    let again = sent(&effects, first).expect("a second attempt");
    assert_ne!(again.instance, attempt.instance);
    for _ in 0..30 {
        let (_, effects) = bench.call("/draft/1", 8_000);
        for call in sends(&effects) {
            let attempt_now = sent(&effects, call).expect("an attempt");
            assert_ne!(attempt_now.instance, attempt.instance);
        }
    }
}

/// Load pattern: an upstream turns calls away and says for how long.
#[test]
fn a_busy_upstream_gets_calls_only_after_its_time() {
    let mut bench = Bench::ready();
    let time = Duration::from_millis(2_500);
    let busy = one_says(&mut bench, UpstreamSignal::BackOff(time));
    let mut passed = Duration::ZERO;
    while passed + Duration::from_millis(100) < time {
        let names = upstreams_of_calls(&mut bench, "/look/1", 3);
        assert!(!names.contains(&busy), "after {passed:?}: {names:?}");
        assert_eq!(names.len(), 3, "the other one takes them");
        bench.run.advance(Duration::from_millis(100));
        passed += Duration::from_millis(100);
    }
    bench.run.advance(Duration::from_millis(200));
    let names = upstreams_of_calls(&mut bench, "/look/1", 20);
    assert!(names.contains(&busy), "{names:?}");
}

/// Load pattern: all upstreams of a service turn calls away for longer than
/// callers have. They are told the true time at once.
#[test]
fn callers_of_busy_upstreams_are_told_when_they_take_calls() {
    let mut bench = Bench::ready();
    let time = Duration::from_secs(5);
    let mut told = Vec::new();
    for _ in 0..2 {
        one_says(&mut bench, UpstreamSignal::BackOff(time));
    }
    for _ in 0..20 {
        let (call, effects) = bench.call("/look/1", 3_000);
        let refusal = refused(&effects, call).expect("an answer at once");
        assert_eq!(refusal.kind, RefusalKind::NoUpstream);
        told.push(refusal.retry_after.expect("a time to return"));
    }
    assert!(told.iter().all(|t| *t >= time), "{told:?}");
    let at_once: std::collections::HashSet<_> = told.iter().collect();
    assert!(at_once.len() > 15, "they return together: {told:?}");
}

/// Load pattern: a whole group turns calls away for seconds. It is closed for
/// that time, without trials.
#[test]
fn a_busy_group_is_closed_for_its_time() {
    let mut bench = Bench::ready();
    let time = Duration::from_secs(3);
    let (call, mut effects) = bench.call("/draft/1", 8_000);
    while let Some(attempt) = sent(&effects, call) {
        say(&mut bench, &attempt, UpstreamSignal::BackOff(time));
        let end = REFUSED;
        effects = bench.run.event(DispatchEvent::AttemptEnded { call, end });
    }
    let refusal = refused(&effects, call).expect("both ranks are busy");
    assert!(refusal.retry_after.is_some_and(|t| t >= time));
    for _ in 0..28 {
        bench.run.advance(Duration::from_millis(100));
        let (call, effects) = bench.call("/draft/1", 8_000);
        assert!(sent(&effects, call).is_none(), "no trial before its time");
    }
    bench.run.advance(Duration::from_millis(400));
    let (call, effects) = bench.call("/draft/1", 8_000);
    assert!(sent(&effects, call).is_some(), "a trial after its time");
}

/// A time that is no time to wait for keeps nobody away for days.
#[test]
fn a_time_too_long_to_be_meant_ends_within_hours() {
    let mut bench = Bench::ready();
    let busy = one_says(&mut bench, UpstreamSignal::BackOff(Duration::MAX));
    bench.run.advance(Duration::from_hours(2));
    let names = upstreams_of_calls(&mut bench, "/look/1", 20);
    assert!(names.contains(&busy), "{names:?}");
}

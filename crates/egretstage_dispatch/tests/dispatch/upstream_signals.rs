//! Signals that upstreams send about themselves in answers.

use crate::support::{Harness, refused, sent, sent_calls, upstream};
use egretstage_dispatch::{
    Attempt, AttemptEnd, CallKey, DispatchEffect, DispatchEvent, NotRunCause, RefusalKind,
    UpstreamSignal,
};
use std::time::Duration;

const REFUSED: AttemptEnd = AttemptEnd::NotRun {
    cause: NotRunCause::Full,
};

fn send_signal(
    harness: &mut Harness,
    attempt: &Attempt,
    signal: UpstreamSignal,
) -> Vec<DispatchEffect> {
    let upstream = attempt.upstream;
    harness
        .sim
        .event(DispatchEvent::SignalReceived { upstream, signal })
}

fn complete_call(harness: &mut Harness, call: CallKey) {
    harness.sim.event(DispatchEvent::FirstByte { call });
    harness
        .sim
        .event(DispatchEvent::Ended { call, whole: true });
}

/// Sends a number of calls; returns the upstreams that ran them.
fn upstreams_of_calls(harness: &mut Harness, path: &str, calls: u32) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..calls {
        let (call, effects) = harness.call(path, 3_000);
        if let Some(attempt) = sent(&effects, call) {
            names.push(attempt.instance.as_str().to_owned());
            complete_call(harness, call);
        }
    }
    names
}

/// Makes one of the two upstreams without a group send a signal; returns its
/// name.
fn signal_from_one(harness: &mut Harness, signal: UpstreamSignal) -> String {
    let (call, effects) = harness.call("/look/1", 3_000);
    let attempt = sent(&effects, call).expect("an attempt");
    let effects = send_signal(harness, &attempt, signal);
    if signal == UpstreamSignal::Leaving {
        let closes = |e: &DispatchEffect| matches!(e, DispatchEffect::CloseIdle(_));
        assert!(effects.iter().any(closes), "no connection is kept");
    }
    complete_call(harness, call);
    attempt.instance.as_str().to_owned()
}

/// Load pattern: an upstream leaves while its record still says that it is
/// ready, since the store is down.
#[test]
fn an_upstream_that_signals_leaving_gets_no_call() {
    let mut harness = Harness::ready();
    let leaving = signal_from_one(&mut harness, UpstreamSignal::Leaving);
    // Its record is written again, still as ready.
    harness.list(upstream(&leaving, "booking", None));
    harness.sim.advance(Duration::from_mins(1));
    let names = upstreams_of_calls(&mut harness, "/look/1", 10);
    assert_eq!(names.len(), 10);
    assert!(!names.contains(&leaving), "{names:?}");
}

/// Load pattern: while the store is down, the record of a leaving upstream
/// lapses and comes back.
#[test]
fn a_leaving_upstream_gets_no_call_after_its_record_lapsed() {
    let mut harness = Harness::ready();
    let leaving = signal_from_one(&mut harness, UpstreamSignal::Leaving);
    let name = leaving.as_str().try_into().expect("valid name");
    harness.sim.event(DispatchEvent::Unlisted(name));
    harness.sim.advance(Duration::from_secs(3));
    harness.list(upstream(&leaving, "booking", None));
    let names = upstreams_of_calls(&mut harness, "/look/1", 10);
    assert!(!names.contains(&leaving), "{names:?}");
}

/// A later start under the same name is another upstream, with or without a
/// gap between the records. The signal of the earlier one doesn't apply to it.
#[test]
fn a_signal_does_not_apply_to_a_later_start() {
    for lapses in [false, true] {
        let mut harness = Harness::ready();
        let leaving = signal_from_one(&mut harness, UpstreamSignal::Leaving);
        if lapses {
            let name = leaving.as_str().try_into().expect("valid name");
            harness.sim.event(DispatchEvent::Unlisted(name));
        }
        let mut restarted = upstream(&leaving, "booking", None);
        restarted.started_ms = Some(2);
        harness.list(restarted);
        let names = upstreams_of_calls(&mut harness, "/look/1", 20);
        assert!(names.contains(&leaving), "lapses: {lapses}, {names:?}");
    }
}

/// Load pattern: calls wait for a group, and are repeated, while one of its
/// ranks signals that it is leaving.
#[test]
fn waiting_and_repeated_calls_avoid_a_leaving_rank() {
    let mut harness = Harness::ready();
    let (first, effects) = harness.call("/draft/1", 8_000);
    let attempt = sent(&effects, first).expect("an attempt");
    send_signal(&mut harness, &attempt, UpstreamSignal::Leaving);
    let end = REFUSED;
    let effects = harness
        .sim
        .event(DispatchEvent::AttemptEnded { call: first, end });
    let again = sent(&effects, first).expect("a second attempt");
    assert_ne!(again.instance, attempt.instance);
    for _ in 0..30 {
        let (_, effects) = harness.call("/draft/1", 8_000);
        for call in sent_calls(&effects) {
            let attempt_now = sent(&effects, call).expect("an attempt");
            assert_ne!(attempt_now.instance, attempt.instance);
        }
    }
}

/// Load pattern: an upstream refuses calls and asks for no calls for a time.
#[test]
fn an_upstream_gets_no_calls_until_its_back_off_request_ends() {
    let mut harness = Harness::ready();
    let time = Duration::from_millis(2_500);
    let backed_off = signal_from_one(&mut harness, UpstreamSignal::BackOff(time));
    let mut elapsed = Duration::ZERO;
    while elapsed + Duration::from_millis(100) < time {
        let names = upstreams_of_calls(&mut harness, "/look/1", 3);
        assert!(!names.contains(&backed_off), "after {elapsed:?}: {names:?}");
        assert_eq!(names.len(), 3, "the other upstream takes them");
        harness.sim.advance(Duration::from_millis(100));
        elapsed += Duration::from_millis(100);
    }
    harness.sim.advance(Duration::from_millis(200));
    let names = upstreams_of_calls(&mut harness, "/look/1", 20);
    assert!(names.contains(&backed_off), "{names:?}");
}

/// Load pattern: all upstreams of a service ask for no calls for longer than the
/// budgets of callers. Callers get the true delay at once, and spread.
#[test]
fn callers_get_the_delay_of_the_back_off_requests() {
    let mut harness = Harness::ready();
    let time = Duration::from_secs(5);
    let mut delays = Vec::new();
    for _ in 0..2 {
        signal_from_one(&mut harness, UpstreamSignal::BackOff(time));
    }
    for _ in 0..20 {
        let (call, effects) = harness.call("/look/1", 3_000);
        let refusal = refused(&effects, call).expect("a refusal at once");
        assert_eq!(refusal.kind, RefusalKind::NoUpstream);
        delays.push(refusal.retry_after.expect("a time to return"));
    }
    assert!(delays.iter().all(|t| *t >= time), "{delays:?}");
    let distinct: std::collections::HashSet<_> = delays.iter().collect();
    assert!(distinct.len() > 15, "they return together: {delays:?}");
}

/// Load pattern: all ranks of a group ask for no calls for seconds. Its circuit
/// stays open for that time, without trial calls.
#[test]
fn a_group_gets_no_trial_until_its_back_off_requests_end() {
    let mut harness = Harness::ready();
    let time = Duration::from_secs(3);
    let (call, mut effects) = harness.call("/draft/1", 8_000);
    while let Some(attempt) = sent(&effects, call) {
        send_signal(&mut harness, &attempt, UpstreamSignal::BackOff(time));
        let end = REFUSED;
        effects = harness.sim.event(DispatchEvent::AttemptEnded { call, end });
    }
    let refusal = refused(&effects, call).expect("both ranks asked for no calls");
    assert!(refusal.retry_after.is_some_and(|t| t >= time));
    for _ in 0..28 {
        harness.sim.advance(Duration::from_millis(100));
        let (call, effects) = harness.call("/draft/1", 8_000);
        assert!(sent(&effects, call).is_none(), "no trial before its time");
    }
    harness.sim.advance(Duration::from_millis(400));
    let (call, effects) = harness.call("/draft/1", 8_000);
    assert!(sent(&effects, call).is_some(), "a trial after its time");
}

/// A back-off request that is too long to be intended doesn't keep calls away for
/// days.
#[test]
fn an_excessive_back_off_request_ends_within_hours() {
    let mut harness = Harness::ready();
    let backed_off = signal_from_one(&mut harness, UpstreamSignal::BackOff(Duration::MAX));
    harness.sim.advance(Duration::from_hours(2));
    let names = upstreams_of_calls(&mut harness, "/look/1", 20);
    assert!(names.contains(&backed_off), "{names:?}");
}

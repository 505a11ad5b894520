//! Calls that arrive late in a planned stop, or still run at its end.

use crate::support::{Harness, refused, sent};
use egretstage_dispatch::{CallKey, DispatchEffect, DispatchEvent, DispatchLimits, RefusalKind};
use std::time::Duration;

/// Timeout of the routes without streams.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns an entry in its planned stop, with this much time left until it ends. A request
/// whose body is being read keeps the stop from being complete before.
fn stopping(time_left: Duration) -> Harness {
    let mut harness = Harness::ready();
    let call = CallKey(u64::MAX);
    harness.sim.event(DispatchEvent::HeadArrived { call });
    harness.sim.event(DispatchEvent::Stop);
    let stop_within = DispatchLimits::default().stop_within;
    harness.sim.advance(stop_within.saturating_sub(time_left));
    harness
}

/// Report: requests that came late in the grace were passed on and cut at its end.
#[test]
fn a_call_that_may_outlast_the_stop_is_refused_at_once() {
    for path in ["/book/1", "/look/1"] {
        let mut harness = stopping(TIMEOUT.saturating_sub(Duration::from_millis(100)));
        let (key, effects) = harness.call(path, 3_000);
        assert!(sent(&effects, key).is_none(), "{path}");
        let refusal = refused(&effects, key).expect("a refusal at once");
        assert_eq!(refusal.kind, RefusalKind::Stopping);
        // One whose caller waits for less time is served.
        let (key, effects) = harness.call(path, 1_000);
        assert!(sent(&effects, key).is_some(), "{path}");
        let mut harness = stopping(TIMEOUT + Duration::from_millis(100));
        let (key, effects) = harness.call(path, 3_000);
        assert!(sent(&effects, key).is_some(), "{path}");
    }
}

/// What was taken is answered before the process ends.
#[test]
fn a_call_that_runs_at_the_end_of_the_stop_is_answered() {
    let mut harness = Harness::ready();
    let (running, effects) = harness.call("/draft/1", 8_000);
    assert!(sent(&effects, running).is_some());
    harness.sim.event(DispatchEvent::Stop);
    let limits = DispatchLimits::default();
    let effects = harness
        .sim
        .advance(limits.stop_within + limits.check_interval);
    let refusal = refused(&effects, running).expect("an answer");
    assert_eq!(refusal.kind.status(), 504, "the call may have run");
    let position = |matches: fn(&DispatchEffect) -> bool| effects.iter().position(matches);
    let answered = position(|effect| matches!(effect, DispatchEffect::Refuse { .. }));
    let stopped = position(|effect| matches!(effect, DispatchEffect::Stopped));
    assert!(stopped.is_some() && answered < stopped);
}

fn is_stopped(effects: &[DispatchEffect]) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, DispatchEffect::Stopped))
}

/// Guards against requests that run and get no answer: their bodies arrive when the entry,
/// without other calls, has ended its stop (review/1).
#[test]
fn a_stop_lasts_while_the_body_of_a_request_is_being_read() {
    let limits = DispatchLimits::default();
    let mut harness = Harness::ready();
    harness.sim.event(DispatchEvent::Stop);
    let call = harness.next_key();
    harness.sim.event(DispatchEvent::HeadArrived { call });
    let effects = harness
        .sim
        .advance(limits.refuse_streams_after + Duration::from_millis(200));
    assert!(!is_stopped(&effects), "a body is being read");
    let (key, effects) = harness.call("/book/1", 3_000);
    assert_eq!(key, call);
    assert!(sent(&effects, key).is_some(), "time is left for the call");
    let effects = harness.sim.advance(limits.check_interval * 2);
    assert!(!is_stopped(&effects), "a call runs");
    let whole = true;
    let mut effects = harness.sim.event(DispatchEvent::Ended { call, whole });
    effects.extend(harness.sim.advance(limits.check_interval * 2));
    assert!(is_stopped(&effects));
}

/// A body that doesn't end holds the stop no longer than calls do, and one that is given up
/// no longer at all.
#[test]
fn an_endless_body_prolongs_no_stop() {
    let limits = DispatchLimits::default();
    for gives_up in [false, true] {
        let mut harness = Harness::ready();
        let call = harness.next_key();
        harness.sim.event(DispatchEvent::HeadArrived { call });
        harness.sim.event(DispatchEvent::Stop);
        let expected = if gives_up {
            let whole = false;
            harness.sim.event(DispatchEvent::Ended { call, whole });
            limits.refuse_streams_after
        } else {
            limits.stop_within
        };
        let effects = harness.sim.advance(expected + limits.check_interval);
        assert!(is_stopped(&effects), "after {expected:?}");
    }
}

/// Guards against requests that run and get no answer: they arrive while the process of an
/// entry that has completed its stop still ends.
#[test]
fn a_call_that_arrives_after_the_stop_is_complete_is_refused() {
    let limits = DispatchLimits::default();
    let mut harness = Harness::ready();
    harness.sim.event(DispatchEvent::Stop);
    let end = limits.refuse_streams_after + limits.check_interval;
    assert!(is_stopped(&harness.sim.advance(end)));
    for path in ["/book/1", "/look/1"] {
        let (key, effects) = harness.call(path, 500);
        assert!(sent(&effects, key).is_none(), "{path}");
        let refusal = refused(&effects, key).expect("a refusal at once");
        assert_eq!(refusal.kind, RefusalKind::Stopping);
    }
}

//! Which calls are sent again, and how calls are refused.

use crate::support::{Harness, configured, refused, sent, table, upstream};
use egretstage_dispatch::{
    AttemptEnd, CallKey, DispatchEffect, DispatchEvent, NotRunCause, RefusalKind, RoutePattern,
    RoutingTable, UnknownCause, UnreadableObjects,
};
use std::sync::Arc;
use std::time::Duration;

fn end_attempt(harness: &mut Harness, call: CallKey, end: AttemptEnd) -> Vec<DispatchEffect> {
    harness.sim.event(DispatchEvent::AttemptEnded { call, end })
}

const LOST: AttemptEnd = AttemptEnd::Unknown {
    cause: UnknownCause::ConnectionLost,
};
const FULL: AttemptEnd = AttemptEnd::NotRun {
    cause: NotRunCause::Full,
};
const UNSENT: AttemptEnd = AttemptEnd::NotSent {
    cause: NotRunCause::ConnectionClosed,
};

#[test]
fn a_booking_that_may_have_run_is_neither_repeated_nor_reported_as_not_run() {
    let mut harness = Harness::ready();
    let (call, effects) = harness.call("/book/1", 3_000);
    assert!(sent(&effects, call).is_some());
    let effects = end_attempt(&mut harness, call, LOST);
    assert!(sent(&effects, call).is_none());
    let refusal = refused(&effects, call).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.kind.status()),
        (RefusalKind::Unknown, 502)
    );
}

#[test]
fn a_booking_that_was_not_sent_goes_to_another_upstream() {
    let mut harness = Harness::ready();
    let (call, effects) = harness.call("/book/1", 3_000);
    let first = sent(&effects, call).expect("an attempt");
    let effects = end_attempt(&mut harness, call, UNSENT);
    let second = sent(&effects, call).expect("another attempt");
    assert_ne!(first.instance, second.instance);
}

#[test]
fn a_booking_that_its_only_attempt_refused_is_reported_as_not_run() {
    let mut harness = Harness::ready();
    let (call, _) = harness.call("/book/1", 3_000);
    let refusal = refused(&end_attempt(&mut harness, call, FULL), call).expect("a refusal");
    assert_eq!(refusal.kind.status(), 503);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_lookup_is_repeated_until_its_attempts_are_used() {
    let mut harness = Harness::ready();
    let (call, _) = harness.call("/look/1", 3_000);
    let effects = end_attempt(&mut harness, call, LOST);
    assert_eq!(
        sent(&effects, call).expect("a retry").number,
        crate::support::MAX_ATTEMPTS
    );
    let refusal = refused(&end_attempt(&mut harness, call, FULL), call).expect("a refusal");
    assert_eq!(
        refusal.kind,
        RefusalKind::Unknown,
        "the first attempt may have run"
    );
}

#[test]
fn the_last_error_answer_of_a_lookup_is_passed_on() {
    let mut harness = Harness::ready();
    let (call, _) = harness.call("/look/1", 3_000);
    let failure = AttemptEnd::Failure { status: 500 };
    assert!(sent(&end_attempt(&mut harness, call, failure), call).is_some());
    let effects = end_attempt(&mut harness, call, failure);
    let passed = |e: &DispatchEffect| matches!(e, DispatchEffect::PassOn { call: c } if *c == call);
    assert!(effects.iter().any(passed));
}

#[test]
fn a_call_that_runs_at_its_route_timeout_ends_with_an_unknown_outcome() {
    let mut harness = Harness::ready();
    let (call, _) = harness.call("/book/1", 3_000);
    let effects = harness.sim.advance(Duration::from_millis(1_510));
    assert_eq!(
        refused(&effects, call).expect("a refusal").kind.status(),
        504
    );
}

/// Load pattern: every upstream of a service fails at once.
#[test]
fn retries_stay_a_share_of_the_calls() {
    let mut harness = Harness::ready();
    let mut retries = 0;
    for _ in 0..400 {
        let (call, effects) = harness.call("/look/1", 3_000);
        assert!(sent(&effects, call).is_some());
        if sent(&end_attempt(&mut harness, call, LOST), call).is_some() {
            retries += 1;
            end_attempt(&mut harness, call, LOST);
        }
        harness.sim.advance(Duration::from_millis(20));
    }
    // The platform allows slightly more than a fifth of the calls, over all
    // entries.
    assert!(retries <= 400 / 5, "{retries} retries of 400 calls");
    assert!(retries >= 400 / 10, "{retries} retries of 400 calls");
}

#[test]
fn an_entry_without_configuration_or_upstreams_is_not_ready() {
    let mut harness = Harness::unready();
    let (call, effects) = harness.call("/look/1", 3_000);
    let refusal = refused(&effects, call).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.kind.status()),
        (RefusalKind::Unready, 503)
    );
    let ready = |e: &DispatchEffect| matches!(e, DispatchEffect::Ready(true));
    let effects = harness.sim.event(configured(table(1, "key")));
    assert!(!effects.iter().any(ready), "there is no upstream");
    assert!(
        harness
            .list(upstream("desk-0", "booking", None))
            .iter()
            .any(ready)
    );
}

#[test]
fn an_api_key_is_valid_from_the_configuration_that_contains_it() {
    let mut harness = Harness::ready();
    let (call, effects) = harness.call_with_key("/look/1", 3_000, "new");
    assert_eq!(
        refused(&effects, call).expect("a refusal").kind.status(),
        401
    );
    harness.sim.event(configured(table(3, "new")));
    // An older configuration that arrives later changes nothing.
    harness.sim.event(configured(table(2, "key")));
    let (call, effects) = harness.call_with_key("/look/1", 3_000, "new");
    assert!(sent(&effects, call).is_some());
    let (call, effects) = harness.call("/look/1", 3_000);
    assert_eq!(
        refused(&effects, call).expect("a refusal").kind.status(),
        401
    );
}

/// Fault: a route and an organisation of the configuration can't be decoded.
#[test]
fn calls_that_may_need_an_unreadable_object_are_refused_as_not_run() {
    let mut harness = Harness::ready();
    let unreadable = UnreadableObjects {
        routes: vec![RoutePattern {
            host: "desk.example".into(),
            path_prefix: "/look/new/".into(),
        }],
        has_organisations: true,
        ..UnreadableObjects::default()
    };
    let newer = RoutingTable::clone(&table(2, "key")).with_unreadable(unreadable);
    harness.sim.event(configured(Arc::new(newer)));
    let unreadable = Some(RefusalKind::ConfigurationUnreadable);
    let (call, effects) = harness.call("/look/new/1", 1_000);
    assert_eq!(
        refused(&effects, call).map(|refusal| refusal.kind),
        unreadable
    );
    let (call, effects) = harness.call_with_key("/look/1", 1_000, "unknown");
    assert_eq!(
        refused(&effects, call).map(|refusal| refusal.kind),
        unreadable
    );
    let (call, effects) = harness.call("/look/1", 1_000);
    assert!(sent(&effects, call).is_some());
}

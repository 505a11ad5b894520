//! Requests that end each upstream which begins to run them.

use crate::support::{Harness, receive, refused, reports, sent, upstream};
use egretstage_dispatch::harmful_requests::{END_LIFETIME, MIN_ENDS};
use egretstage_dispatch::{
    Attempt, AttemptEnd, CallKey, DispatchEffect, DispatchEvent, RefusalKind, RequestHash,
    UnknownCause, UpstreamState,
};
use std::time::Duration;

/// Time in which all entries must know a request that ends upstreams.
const CONTACT: Duration = Duration::from_secs(3);

/// Time from the start of a run to the upstream's end.
const RUN: Duration = Duration::from_millis(50);

/// A path of each kind of route, with the service of its upstreams and their group.
const ROUTES: [(&str, &str, Option<&str>); 3] = [
    ("/draft/1", "drafting", Some("g")),
    ("/look/1", "booking", None),
    ("/book/1", "booking", None),
];

const HARMFUL: RequestHash = RequestHash(0xbad);

/// Sends a request; returns the call with the effects of its arrival.
fn call(harness: &mut Harness, path: &str, content: RequestHash) -> (CallKey, Vec<DispatchEffect>) {
    harness.content = Some(content);
    harness.call(path, 8_000)
}

/// Ends the upstream that runs a call; returns the effects of the attempt's end.
fn end_attempt(harness: &mut Harness, call: CallKey, cause: UnknownCause) -> Vec<DispatchEffect> {
    let end = AttemptEnd::Unknown { cause };
    harness.sim.event(DispatchEvent::AttemptEnded { call, end })
}

/// Replaces an upstream that has ended by one of another name.
fn replace(harness: &mut Harness, attempt: &Attempt, service: &str, group: Option<&str>) {
    let gone = DispatchEvent::Unlisted(attempt.instance.clone());
    harness.sim.event(gone);
    let name = format!("after-{}", attempt.instance);
    harness.list(upstream(&name, service, group));
}

/// Lets a request end the upstream that it is sent to; returns whether it was sent, and the
/// effects of the attempt's end.
fn end_upstream(
    harness: &mut Harness,
    (path, service, group): (&str, &str, Option<&str>),
    content: RequestHash,
) -> Option<Vec<DispatchEffect>> {
    let (key, effects) = call(harness, path, content);
    let attempt = sent(&effects, key)?;
    harness.sim.advance(RUN);
    let effects = end_attempt(harness, key, UnknownCause::UpstreamEnded);
    replace(harness, &attempt, service, group);
    Some(effects)
}

fn complete(harness: &mut Harness, call: CallKey) {
    let pause = Duration::from_millis(20);
    harness.sim.event(DispatchEvent::FirstByte { call });
    harness.sim.event(DispatchEvent::Pause { call, pause });
    let whole = true;
    harness.sim.event(DispatchEvent::Ended { call, whole });
}

/// Load pattern of the second BUDGET incident: a request ends one upstream after the other and
/// comes again.
#[test]
fn a_request_that_ended_two_upstreams_is_sent_to_no_other() {
    for route in ROUTES {
        let mut harness = Harness::ready();
        let mut ended = 0;
        while end_upstream(&mut harness, route, HARMFUL).is_some() {
            ended += 1;
            assert!(ended <= MIN_ENDS, "{route:?}");
            harness.sim.advance(CONTACT);
        }
        assert_eq!(ended, MIN_ENDS, "{route:?}");
        let (key, effects) = call(&mut harness, route.0, HARMFUL);
        let refusal = refused(&effects, key).expect("a refusal at once");
        assert_eq!(refusal.kind, RefusalKind::HarmfulRequest);
        assert_eq!(refusal.kind.status(), 503);
        let delay = refusal
            .retry_after
            .expect("the time until the verdict ends");
        assert!(delay > Duration::from_mins(1) && delay < END_LIFETIME);
        let (key, effects) = call(&mut harness, route.0, RequestHash(1));
        assert!(sent(&effects, key).is_some(), "another one is sent");
        harness.sim.advance(delay + RUN);
        let (key, effects) = call(&mut harness, route.0, HARMFUL);
        assert!(sent(&effects, key).is_some(), "a wrong verdict ends");
    }
}

/// Load pattern: each entry sees one of the ends, and one entry has just started.
#[test]
fn entries_find_a_harmful_request_together() {
    let mut restarted = Harness::ready();
    for index in 0..MIN_ENDS {
        let mut witness = Harness::ready();
        let name = format!("rank-of-{index}");
        for rank in ["rank-0", "rank-1"] {
            let rank = rank.try_into().expect("valid name");
            witness.sim.event(DispatchEvent::Unlisted(rank));
        }
        witness.list(upstream(&name, "drafting", Some("g")));
        // The runs follow each other at the entry that hears of both.
        witness.sim.advance(restarted.sim.elapsed());
        assert!(end_upstream(&mut witness, ROUTES[0], HARMFUL).is_some());
        let reports = reports(&mut witness);
        // A repeated report counts once.
        receive(&mut restarted, &reports);
        receive(&mut restarted, &reports);
        restarted.sim.advance(CONTACT);
        let (key, effects) = call(&mut restarted, ROUTES[0].0, HARMFUL);
        let is_last = index + 1 == MIN_ENDS;
        assert_eq!(sent(&effects, key).is_none(), is_last, "report {index}");
        let whole = false;
        let left = DispatchEvent::Ended { call: key, whole };
        restarted.sim.event(left);
    }
}

/// An entry passes on what it has learnt from others, so that one that starts later learns it
/// although the witness is gone.
#[test]
fn ends_under_requests_are_passed_on_by_other_entries() {
    let mut witness = Harness::ready();
    for _ in 0..MIN_ENDS {
        assert!(end_upstream(&mut witness, ROUTES[1], HARMFUL).is_some());
        witness.sim.advance(CONTACT);
    }
    let (mut other, mut restarted) = (Harness::ready(), Harness::ready());
    receive(&mut other, &reports(&mut witness));
    drop(witness);
    receive(&mut restarted, &reports(&mut other));
    let (key, effects) = call(&mut restarted, "/look/1", HARMFUL);
    assert!(refused(&effects, key).is_some());
}

/// Fault: an upstream ends by itself, and the caller of a sound call returns.
#[test]
fn a_caller_that_returns_after_an_end_gets_through() {
    for route in ROUTES {
        let mut harness = Harness::ready();
        let sound = RequestHash(7);
        assert!(end_upstream(&mut harness, route, sound).is_some());
        let (key, effects) = call(&mut harness, route.0, sound);
        assert!(sent(&effects, key).is_some(), "{route:?}");
        complete(&mut harness, key);
        for _ in 0..MIN_ENDS {
            assert!(end_upstream(&mut harness, route, sound).is_some());
        }
        let (key, effects) = call(&mut harness, route.0, sound);
        assert!(sent(&effects, key).is_some(), "what was answered is sound");
    }
}

/// Fault: a rack loses power. A caller who sends a request word for word many times has it at
/// several upstreams that end at one moment.
#[test]
fn ends_under_runs_at_one_time_make_no_request_harmful() {
    let mut harness = Harness::ready();
    let sound = RequestHash(7);
    for index in 2..6 {
        let name = format!("desk-{index}");
        harness.list(upstream(&name, "booking", None));
    }
    let running: Vec<_> = (0..6)
        .map(|_| call(&mut harness, "/look/1", sound))
        .collect();
    for (key, effects) in running {
        let attempt = sent(&effects, key).expect("an attempt");
        harness.sim.advance(Duration::from_millis(30));
        end_attempt(&mut harness, key, UnknownCause::UpstreamEnded);
        replace(&mut harness, &attempt, "booking", None);
    }
    let (key, effects) = call(&mut harness, "/look/1", sound);
    assert!(sent(&effects, key).is_some());
}

/// Fault: upstreams end while many callers poll with one request word for word, and each of
/// the entries sees some of the answers and some of the ends.
#[test]
fn a_request_that_another_entry_saw_answered_is_not_harmful() {
    let (mut first, mut second) = (Harness::ready(), Harness::ready());
    let sound = RequestHash(7);
    let (key, _) = call(&mut second, "/look/1", sound);
    complete(&mut second, key);
    assert!(end_upstream(&mut first, ROUTES[1], sound).is_some());
    receive_both_ways(&mut first, &mut second);
    for _ in 0..MIN_ENDS {
        assert!(end_upstream(&mut first, ROUTES[1], sound).is_some());
        first.sim.advance(CONTACT);
    }
    let (key, effects) = call(&mut first, "/look/1", sound);
    assert!(sent(&effects, key).is_some());
}

fn receive_both_ways(first: &mut Harness, second: &mut Harness) {
    let suspects = reports(first);
    receive(second, &suspects);
    let cleared = reports(second);
    receive(first, &cleared);
}

/// Resets, cuts and planned stops are no evidence against a request.
#[test]
fn lost_connections_and_planned_stops_make_no_request_harmful() {
    let mut harness = Harness::ready();
    for index in 0..MIN_ENDS * 3 {
        let (key, effects) = call(&mut harness, "/book/1", HARMFUL);
        let attempt = sent(&effects, key).expect("an attempt");
        harness.sim.advance(RUN);
        let cause = if index % 2 == 0 {
            UnknownCause::ConnectionLost
        } else {
            let mut leaving = upstream(attempt.instance.as_str(), "booking", None);
            leaving.state = UpstreamState::Draining;
            harness.list(leaving);
            UnknownCause::UpstreamEnded
        };
        end_attempt(&mut harness, key, cause);
        replace(&mut harness, &attempt, "booking", None);
        harness.sim.advance(CONTACT);
    }
    let (key, effects) = call(&mut harness, "/book/1", HARMFUL);
    assert!(sent(&effects, key).is_some());
}

/// An entry doesn't repeat a call itself under which an upstream has ended, unless an upstream
/// has answered the request before.
#[test]
fn a_call_under_which_an_upstream_ended_is_repeated_only_if_it_is_sound() {
    let mut harness = Harness::ready();
    let (key, _) = call(&mut harness, "/look/1", HARMFUL);
    let effects = end_attempt(&mut harness, key, UnknownCause::UpstreamEnded);
    assert!(sent(&effects, key).is_none());
    let refusal = refused(&effects, key).expect("an answer at once");
    assert_eq!(refusal.kind.status(), 502, "the call may have run");
    let sound = RequestHash(7);
    let (key, _) = call(&mut harness, "/look/1", sound);
    complete(&mut harness, key);
    let (key, _) = call(&mut harness, "/look/1", sound);
    let effects = end_attempt(&mut harness, key, UnknownCause::UpstreamEnded);
    assert!(sent(&effects, key).is_some());
}

/// Calls that wait when their request becomes harmful are refused at that moment.
#[test]
fn a_waiting_call_is_refused_as_its_request_becomes_harmful() {
    let mut harness = Harness::ready();
    assert!(end_upstream(&mut harness, ROUTES[0], HARMFUL).is_some());
    harness.sim.advance(CONTACT);
    let (key, _) = call(&mut harness, "/draft/1", HARMFUL);
    let waiting = loop {
        let (other, effects) = call(&mut harness, "/draft/1", HARMFUL);
        if sent(&effects, other).is_none() {
            break other;
        }
    };
    harness.sim.advance(RUN);
    let effects = end_attempt(&mut harness, key, UnknownCause::UpstreamEnded);
    let refusal = refused(&effects, waiting).expect("a refusal at once");
    assert_eq!(refusal.kind, RefusalKind::HarmfulRequest);
}

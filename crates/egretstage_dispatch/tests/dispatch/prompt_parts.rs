//! Calls whose prompts share a part that ends each upstream which generates on it.

use crate::support::{Harness, receive, refused, reports, sent, upstream};
use egretstage_dispatch::harmful_parts::{END_LIFETIME, MIN_ENDS};
use egretstage_dispatch::{
    AttemptEnd, CallKey, DispatchEffect, DispatchEvent, PromptPart, PromptParts, UnknownCause,
    UpstreamState,
};
use std::time::Duration;

/// Ends that a part may cause before calls with it are refused everywhere.
const MAX_ENDS: usize = 5;

/// Time in which all entries must know a part that ends upstreams.
const CONTACT: Duration = Duration::from_secs(3);

/// Time budget of a caller, in milliseconds.
const BUDGET_MS: u64 = 8_000;

const UPSTREAM_ENDED: AttemptEnd = AttemptEnd::Unknown {
    cause: UnknownCause::UpstreamEnded,
};
const CONNECTION_LOST: AttemptEnd = AttemptEnd::Unknown {
    cause: UnknownCause::ConnectionLost,
};

/// Returns the parts of a prompt, the last of which no other prompt has.
fn parts(shared: &[&str], own: usize) -> PromptParts {
    let own = format!("own-{own}");
    let shared = shared.iter().map(|part| PromptPart::from(*part));
    shared.chain([PromptPart::from(own.as_str())]).collect()
}

/// Sends a call with these parts; returns it with the effects of its arrival.
fn call(harness: &mut Harness, parts: PromptParts) -> (CallKey, Vec<DispatchEffect>) {
    harness.prompt_parts = parts;
    harness.call("/draft/1", BUDGET_MS)
}

/// Ends the upstream that runs a call, and replaces it by one of another name; returns
/// the effects of the attempt's end.
fn end_upstream(
    harness: &mut Harness,
    call: CallKey,
    effects: &[DispatchEffect],
    replacement: usize,
) -> Vec<DispatchEffect> {
    let attempt = sent(effects, call).expect("an attempt");
    let end = UPSTREAM_ENDED;
    let effects = harness.sim.event(DispatchEvent::AttemptEnded { call, end });
    let gone = DispatchEvent::Unlisted(attempt.instance);
    harness.sim.event(gone);
    let name = format!("replacement-{replacement}");
    harness.list(upstream(&name, "drafting", Some("g")));
    effects
}

/// Ends the call without an answer.
fn leave(harness: &mut Harness, call: CallKey) {
    let whole = false;
    harness.sim.event(DispatchEvent::Ended { call, whole });
}

/// Ends as many upstreams by calls with these parts as they are sent to, and at most
/// `count`; returns the number.
fn end_upstreams(harness: &mut Harness, shared: &[&str], count: usize) -> usize {
    for index in 0..count {
        let (key, effects) = call(harness, parts(shared, index));
        if sent(&effects, key).is_none() {
            return index;
        }
        end_upstream(harness, key, &effects, index);
        leave(harness, key);
    }
    count
}

/// Ends one upstream by a call with these parts and the own part of this number.
fn end_upstream_with(harness: &mut Harness, shared: &[&str], own: usize) {
    let (key, effects) = call(harness, parts(shared, own));
    end_upstream(harness, key, &effects, own);
    leave(harness, key);
}

/// Generates two events of a call's answer and completes it.
fn complete(harness: &mut Harness, call: CallKey) {
    let pause = Duration::from_millis(20);
    harness.sim.event(DispatchEvent::FirstByte { call });
    harness.sim.event(DispatchEvent::Pause { call, pause });
    let whole = true;
    harness.sim.event(DispatchEvent::Ended { call, whole });
}

/// Load pattern of the BUDGET incident: one rank after the other ends under calls that
/// share a part.
#[test]
fn a_part_that_ended_five_upstreams_is_sent_to_no_other() {
    let mut harness = Harness::ready();
    let ended = end_upstreams(&mut harness, &["shared", "harmful"], MAX_ENDS);
    assert!(ended <= MAX_ENDS);
    harness.sim.advance(CONTACT);
    for index in 0..10 {
        let (key, effects) = call(&mut harness, parts(&["shared", "harmful"], 100 + index));
        assert!(sent(&effects, key).is_none(), "call {index} is sent");
        let refusal = refused(&effects, key).expect("a refusal at once");
        assert_eq!(refusal.kind.status(), 503);
        assert!(
            refusal
                .retry_after
                .is_some_and(|delay| delay > Duration::from_secs(10))
        );
    }
}

/// Sound calls share the caller, the first part and the upstreams with harmful ones.
#[test]
fn sound_calls_are_sent_while_a_part_ends_upstreams() {
    let mut harness = Harness::ready();
    for index in 0..MAX_ENDS {
        let (sound, effects) = call(&mut harness, parts(&["shared", "sound"], 200 + index));
        assert!(sent(&effects, sound).is_some(), "call {index} isn't sent");
        complete(&mut harness, sound);
        let (key, effects) = call(&mut harness, parts(&["shared", "harmful"], index));
        if sent(&effects, key).is_some() {
            end_upstream(&mut harness, key, &effects, index);
        }
        leave(&mut harness, key);
        harness.sim.advance(CONTACT);
    }
    let (sound, effects) = call(&mut harness, parts(&["shared", "sound"], 300));
    assert!(sent(&effects, sound).is_some());
    complete(&mut harness, sound);
    let (harmful, effects) = call(&mut harness, parts(&["shared", "harmful"], 301));
    assert!(refused(&effects, harmful).is_some());
}

/// Creates an entry with a single upstream of this name for streams.
fn entry_with_upstream(name: &str) -> Harness {
    let mut entry = Harness::ready();
    for rank in ["rank-0", "rank-1"] {
        let rank = rank.try_into().expect("valid name");
        entry.sim.event(DispatchEvent::Unlisted(rank));
    }
    entry.list(upstream(name, "drafting", Some("g")));
    entry
}

/// Load pattern: each entry sees one of the ends, and one entry has just started.
#[test]
fn entries_find_a_harmful_part_together() {
    let mut restarted = Harness::ready();
    for index in 0..MIN_ENDS {
        let mut entry = entry_with_upstream(&format!("rank-of-{index}"));
        end_upstream_with(&mut entry, &["shared", "harmful"], index);
        let reports = reports(&mut entry);
        // A repeated report counts once.
        receive(&mut restarted, &reports);
        receive(&mut restarted, &reports);
        restarted.sim.advance(CONTACT);
        let (key, effects) = call(&mut restarted, parts(&["shared", "harmful"], 400 + index));
        let is_last = index + 1 == MIN_ENDS;
        assert_eq!(sent(&effects, key).is_none(), is_last, "report {index}");
        leave(&mut restarted, key);
    }
}

/// An entry passes on what it has learnt from others, so that one that starts later
/// learns it although the first witnesses are gone.
#[test]
fn ends_are_passed_on_by_entries_that_did_not_see_them() {
    let mut witness = Harness::ready();
    for index in 0..MIN_ENDS {
        end_upstream_with(&mut witness, &["shared", "harmful"], index);
        witness.sim.advance(CONTACT);
    }
    let (mut other, mut restarted) = (Harness::ready(), Harness::ready());
    receive(&mut other, &reports(&mut witness));
    drop(witness);
    receive(&mut restarted, &reports(&mut other));
    let (key, effects) = call(&mut restarted, parts(&["shared", "harmful"], 400));
    assert!(refused(&effects, key).is_some());
}

/// Resets, cuts and planned stops are no evidence against a part.
#[test]
fn lost_connections_and_planned_stops_make_no_part_harmful() {
    let mut harness = Harness::ready();
    for index in 0..MAX_ENDS * 2 {
        let (key, effects) = call(&mut harness, parts(&["shared", "sound"], index));
        let attempt = sent(&effects, key).expect("an attempt");
        let end = if index % 2 == 0 {
            CONNECTION_LOST
        } else {
            let mut leaving = upstream(attempt.instance.as_str(), "drafting", Some("g"));
            leaving.state = UpstreamState::Draining;
            harness.list(leaving);
            UPSTREAM_ENDED
        };
        harness
            .sim
            .event(DispatchEvent::AttemptEnded { call: key, end });
        leave(&mut harness, key);
        let name = format!("replacement-{index}");
        harness.list(upstream(&name, "drafting", Some("g")));
        harness.sim.advance(CONTACT);
    }
    let (key, effects) = call(&mut harness, parts(&["shared", "sound"], 500));
    assert!(sent(&effects, key).is_some());
}

/// Fault: a rack loses power, and several upstreams end at one moment under calls with a
/// part on which none of them has generated yet.
#[test]
fn ends_at_one_moment_make_no_part_harmful() {
    let mut harness = Harness::ready();
    end_upstreams(&mut harness, &["shared", "sound"], MAX_ENDS - 1);
    let (key, effects) = call(&mut harness, parts(&["shared", "sound"], 500));
    assert!(sent(&effects, key).is_some());
}

/// Repeats of one request are one prompt.
#[test]
fn a_call_under_which_an_upstream_ended_is_not_repeated() {
    let mut harness = Harness::ready();
    let (key, effects) = call(&mut harness, parts(&["shared", "harmful"], 1));
    let effects = end_upstream(&mut harness, key, &effects, 1);
    assert!(sent(&effects, key).is_none());
    let refusal = refused(&effects, key).expect("an answer at once");
    assert_eq!(refusal.kind.status(), 502, "the call may have run");
}

/// A part that another entry has seen to be sound is cleared everywhere.
#[test]
fn a_cleared_part_is_cleared_at_the_other_entries() {
    let (mut first, mut second) = (Harness::ready(), Harness::ready());
    let (sound, _) = call(&mut second, parts(&["sound"], 0));
    complete(&mut second, sound);
    for index in 0..2 {
        end_upstream_with(&mut first, &["sound"], index);
        let suspects = reports(&mut first);
        receive(&mut second, &suspects);
        let cleared = reports(&mut second);
        receive(&mut first, &cleared);
        first.sim.advance(CONTACT);
        end_upstream_with(&mut first, &["sound"], 10 + index);
    }
    let (key, effects) = call(&mut first, parts(&["sound"], 500));
    assert!(sent(&effects, key).is_some());
}

/// Calls that wait when a part becomes harmful are refused at that moment.
#[test]
fn a_waiting_call_with_a_harmful_part_is_refused_at_once() {
    let mut harness = Harness::ready();
    let mut running = Vec::new();
    for index in 0..2 {
        end_upstream_with(&mut harness, &["shared", "harmful"], index);
        harness.sim.advance(CONTACT);
    }
    let waiting = loop {
        let (key, effects) = call(&mut harness, parts(&["shared", "harmful"], running.len()));
        if sent(&effects, key).is_none() {
            assert!(refused(&effects, key).is_none(), "the call waits");
            break key;
        }
        running.push((key, effects));
    };
    let (key, effects) = running.remove(0);
    let attempt = sent(&effects, key).expect("an attempt");
    let end = UPSTREAM_ENDED;
    let effects = harness
        .sim
        .event(DispatchEvent::AttemptEnded { call: key, end });
    let refusal = refused(&effects, waiting).expect("a refusal at once");
    assert_eq!(refusal.kind.status(), 503);
    for (key, _) in running {
        let refusal = refused(&effects, key).expect("its attempt ends");
        assert_eq!(refusal.kind.status(), 502, "at {}", attempt.instance);
    }
}

/// A wrong verdict ends by itself.
#[test]
fn a_part_is_sent_again_after_the_lifetime_of_its_ends() {
    let mut harness = Harness::ready();
    for index in 0..MIN_ENDS {
        end_upstream_with(&mut harness, &["shared", "harmful"], index);
        harness.sim.advance(CONTACT);
    }
    let (key, effects) = call(&mut harness, parts(&["shared", "harmful"], 7));
    let refusal = refused(&effects, key).expect("a refusal");
    let delay = refusal.retry_after.expect("a time to return");
    assert!(delay < END_LIFETIME);
    harness.sim.advance(delay + Duration::from_millis(100));
    let (key, effects) = call(&mut harness, parts(&["shared", "harmful"], 8));
    assert!(sent(&effects, key).is_some());
}

/// Memory stays bounded when each end has many suspect parts.
#[test]
fn reports_stay_within_a_datagram_under_many_suspect_parts() {
    let mut harness = Harness::ready();
    for index in 0..40 {
        let names: Vec<String> = (0..30).map(|part| format!("{index}-{part}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        end_upstream_with(&mut harness, &names, index);
    }
    for report in reports(&mut harness) {
        let mut bytes = Vec::new();
        ciborium::into_writer(&report, &mut bytes).expect("encodable");
        assert!(bytes.len() < 4_096, "{} bytes", bytes.len());
    }
}

/// A stream that goes on after its first event clears its parts before it is complete.
#[test]
fn a_stream_that_goes_on_clears_its_parts() {
    let mut harness = Harness::ready();
    let (running, _) = call(&mut harness, parts(&["sound"], 100));
    let pause = Duration::from_millis(20);
    harness
        .sim
        .event(DispatchEvent::FirstByte { call: running });
    let second = DispatchEvent::Pause {
        call: running,
        pause,
    };
    harness.sim.event(second);
    for index in 0..MIN_ENDS {
        end_upstream_with(&mut harness, &["sound"], index);
        harness.sim.advance(CONTACT);
        let name = format!("spare-{index}");
        harness.list(upstream(&name, "drafting", Some("g")));
    }
    let (key, effects) = call(&mut harness, parts(&["sound"], 500));
    assert!(sent(&effects, key).is_some());
}

/// Fault: the first event is still written before the upstream ends.
#[test]
fn a_stream_that_ends_after_its_first_event_clears_nothing() {
    let mut harness = Harness::ready();
    for index in 0..MIN_ENDS {
        let (key, effects) = call(&mut harness, parts(&["harmful"], index));
        harness.sim.event(DispatchEvent::FirstByte { call: key });
        end_upstream(&mut harness, key, &effects, index);
        leave(&mut harness, key);
        harness.sim.advance(CONTACT);
    }
    let (key, effects) = call(&mut harness, parts(&["harmful"], 500));
    assert!(refused(&effects, key).is_some());
}

/// Fault: one request is repeated by its caller, and by chance an upstream ends each time.
#[test]
fn ends_under_one_prompt_make_no_part_harmful() {
    let mut harness = Harness::ready();
    for _ in 0..MIN_ENDS {
        let (key, effects) = call(&mut harness, parts(&["sound"], 1));
        let attempt = sent(&effects, key).expect("an attempt");
        end_upstream(&mut harness, key, &effects, 0);
        leave(&mut harness, key);
        harness.sim.advance(CONTACT);
        let name = format!("after-{}", attempt.instance);
        harness.list(upstream(&name, "drafting", Some("g")));
    }
    let (key, effects) = call(&mut harness, parts(&["sound"], 2));
    assert!(sent(&effects, key).is_some());
}

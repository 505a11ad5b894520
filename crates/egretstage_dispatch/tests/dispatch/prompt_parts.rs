//! Calls whose prompts share a part that ends each upstream which generates on it.

use crate::support::{Harness, refused, sent, upstream};
use egretstage_dispatch::{
    AttemptEnd, CallKey, DispatchEffect, DispatchEvent, PromptPart, PromptParts, UnknownCause,
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

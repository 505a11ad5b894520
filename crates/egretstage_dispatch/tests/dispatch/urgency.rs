//! Calls of several urgencies that compete for the same model group.

use crate::support::{
    ENGINE, Harness, MAX_PAUSE, configured, organisation, refused, route, sent, sent_calls,
    table_with,
};
use egretstage_dispatch::{
    CallKey, DispatchEffect, DispatchEvent, EngineProfile, RouteKind, RoutingTable,
};
use std::sync::Arc;
use std::time::Duration;

/// Returns a table with three routes of these priorities to the same model groups, and with
/// organisations with and without a priority.
pub(crate) fn table(priorities: [u8; 3], engine: EngineProfile) -> Arc<RoutingTable> {
    let kind = RouteKind::Stream {
        resumable: true,
        max_pause: MAX_PAUSE,
    };
    let routes = std::iter::zip(["urgent", "usual", "batch"], priorities);
    let routes = routes.map(|(name, priority)| {
        let mut route = route(name, kind, "drafting", 8_000);
        route.priority = priority;
        route
    });
    let organisations = vec![
        organisation("carrier", None, "key"),
        organisation("first", Some(0), "first"),
        organisation("middle", Some(1), "middle"),
    ];
    table_with(2, routes.collect(), organisations, engine)
}

/// Load pattern: the group is full. Callers of two organisations, one with a priority and
/// one without, wait with calls of each route. The organisation's priority orders its
/// calls among those of others, and the route's priority orders them among each other.
#[test]
fn a_routes_priority_orders_the_calls_of_an_organisation_with_a_priority() {
    let mut harness = Harness::ready();
    harness.sim.event(configured(table([0, 1, 2], ENGINE)));
    let mut running: Vec<CallKey> = Vec::new();
    let last = loop {
        let (call, effects) = harness.call("/batch/1", 8_000);
        if sent(&effects, call).is_none() {
            break call;
        }
        running.push(call);
    };
    let mut waiting = Vec::new();
    for (path, api_key, position) in [
        ("/batch/1", "middle", 4),
        ("/urgent/1", "middle", 2),
        ("/usual/1", "middle", 3),
        ("/batch/1", "first", 1),
        ("/urgent/1", "key", 0),
    ] {
        let (call, effects) = harness.call_with_key(path, 8_000, api_key);
        assert!(sent(&effects, call).is_none(), "the group is full");
        waiting.push((position, call));
    }
    waiting.sort_unstable();
    waiting.push((waiting.len(), last));
    let mut started = Vec::new();
    for call in running {
        let whole = true;
        let effects = harness.sim.event(DispatchEvent::Ended { call, whole });
        started.extend(sent_calls(&effects));
    }
    let expected: Vec<CallKey> = waiting.into_iter().map(|(_, call)| call).collect();
    assert_eq!(started, expected);
}

/// Returns the reasons of the log lines on kept room.
fn room_lines(effects: &[DispatchEffect]) -> Vec<&'static str> {
    let lines = effects.iter().filter_map(|effect| match effect {
        DispatchEffect::Log(line) if line.verb == "room" => line.reason,
        _ => None,
    });
    lines.collect()
}

/// Number of most urgent calls that wait in the tests.
const URGENT_CALLS: usize = 10;

/// Fills the group with calls of the least urgent route, so that the most urgent ones have
/// to wait; returns the streams that run, and the log lines on kept room.
fn fill(harness: &mut Harness) -> (Vec<CallKey>, Vec<&'static str>) {
    let mut running = Vec::new();
    loop {
        let (call, effects) = harness.call("/batch/1", 8_000);
        if sent(&effects, call).is_none() {
            break;
        }
        running.push(call);
    }
    for _ in 0..URGENT_CALLS {
        let (call, effects) = harness.call("/urgent/1", 8_000);
        assert!(sent(&effects, call).is_none() && refused(&effects, call).is_none());
    }
    let effects = harness.sim.advance(Duration::from_millis(100));
    (running, room_lines(&effects))
}

/// Load pattern: the least urgent calls fill the group, and the most urgent one has to wait.
/// Freed places are then kept from less urgent calls, until no call has waited for seconds.
#[test]
fn room_is_kept_while_urgent_calls_wait_and_for_some_seconds() {
    let mut harness = Harness::ready();
    harness.sim.event(configured(table([0, 1, 2], ENGINE)));
    let (running, lines) = fill(&mut harness);
    assert_eq!(lines, ["kept"]);
    let mut started = 0;
    for call in &running[..URGENT_CALLS + 4] {
        let (call, whole) = (*call, true);
        let effects = harness.sim.event(DispatchEvent::Ended { call, whole });
        started += sent_calls(&effects).len();
    }
    assert_eq!(started, URGENT_CALLS, "the batch call still waits");
    let (batch, effects) = harness.call("/batch/1", 8_000);
    assert!(sent(&effects, batch).is_none(), "the room is kept");
    let (urgent, effects) = harness.call("/urgent/1", 8_000);
    assert!(sent(&effects, urgent).is_some(), "for urgent calls");
    let effects = harness.sim.advance(Duration::from_secs(5));
    assert_eq!(room_lines(&effects), ["open"]);
    let (batch, effects) = harness.call("/batch/1", 8_000);
    assert!(sent(&effects, batch).is_some(), "no call has waited");
}

/// Load pattern: the same, but the routes have one priority, and only the organisations
/// have different ones. All places stay open to all calls.
#[test]
fn no_room_is_kept_where_routes_have_one_priority() {
    let mut harness = Harness::ready();
    harness.sim.event(configured(table([1, 1, 1], ENGINE)));
    let (running, lines) = fill(&mut harness);
    let (first, _) = harness.call_with_key("/urgent/1", 8_000, "first");
    let (call, whole) = (running[0], true);
    let effects = harness.sim.event(DispatchEvent::Ended { call, whole });
    assert_eq!(sent_calls(&effects), [first]);
    let whole = true;
    let effects = harness
        .sim
        .event(DispatchEvent::Ended { call: first, whole });
    assert_eq!(
        sent_calls(&effects).len(),
        1,
        "the next call starts at once"
    );
    assert_eq!(lines, [""; 0]);
}

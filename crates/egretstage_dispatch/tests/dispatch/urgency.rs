//! Calls of several urgencies that compete for the same model group.

use crate::support::{
    Harness, MAX_PAUSE, configured, organisation, route, sent, sent_calls, table_with,
};
use egretstage_dispatch::{CallKey, DispatchEvent, RouteKind, RoutingTable};
use std::sync::Arc;

/// Returns a table with a route of each priority to the same model groups, and with
/// organisations with and without a priority.
fn table() -> Arc<RoutingTable> {
    let kind = RouteKind::Stream {
        resumable: true,
        max_pause: MAX_PAUSE,
    };
    let routes = [("urgent", 0), ("usual", 1), ("batch", 2)];
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
    table_with(2, routes.into(), organisations)
}

/// Load pattern: the group is full. Callers of two organisations, one with a priority and
/// one without, wait with calls of each route. The organisation's priority orders its
/// calls among those of others, and the route's priority orders them among each other.
#[test]
fn a_routes_priority_orders_the_calls_of_an_organisation_with_a_priority() {
    let mut harness = Harness::ready();
    harness.sim.event(configured(table()));
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
    for (_, expected) in waiting {
        let call = running.pop().expect("a stream that runs");
        let whole = true;
        let effects = harness.sim.event(DispatchEvent::Ended { call, whole });
        assert_eq!(sent_calls(&effects), [expected]);
    }
}

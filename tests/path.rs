//! The whole path: real processes from a caller to an upstream and back.

use egretstage_standins::engine::expected_stream;
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, drafting, wait_for_route};
use std::time::Duration;

fn quick_engine() -> EngineOptions {
    EngineOptions {
        token_interval: Duration::from_millis(5),
        ..EngineOptions::default()
    }
}

#[test]
fn a_streamed_draft_arrives_whole() {
    let fleet = scenario::start_fleet(programs!());
    let (engine, upstream) = fleet.engine(quick_engine());
    let _companion = fleet.companion(&drafting("draft-1", "west", upstream));
    let entry = fleet.entry("entry-1", "west");
    wait_for_route(&entry, &CallerRequest::chat("draft-1", "probe", 1, false));

    let told = CallerRequest::chat("draft-1", "duct 17", 20, true).send(entry.address);

    assert!(told.is_completed(), "{told:?}");
    let prompt = chat_messages("duct 17").to_string();
    assert_eq!(told.body, expected_stream("draft-1", &prompt, 20));
    let ran = wait_for("the engine's record", || {
        engine
            .executed_streams()
            .into_iter()
            .find(|ran| ran.request == told.request)
    });
    assert!(ran.finished);
}

#[test]
fn a_booking_runs_and_its_decision_is_logged() {
    let fleet = scenario::start_fleet(programs!());
    let (ledger, upstream) = fleet.plain_service(PlainServiceOptions::default());
    let _companion = fleet.companion(&booking("ledger-1", "west", upstream));
    let entry = fleet.entry("entry-1", "west");
    wait_for_route(
        &entry,
        &CallerRequest::plain("GET", "/services/booking/ping", ""),
    );

    let ask =
        CallerRequest::plain("POST", "/services/booking/bookings", "{\"duct\":17}").key("b-17");
    let told = ask.send(entry.address);

    assert!(told.is_completed(), "{told:?}");
    let ran = ledger.executed_calls();
    let bookings: Vec<_> = ran.iter().filter(|ran| ran.path == "/bookings").collect();
    assert_eq!(bookings.len(), 1);
    assert_eq!(bookings[0].key.as_deref(), Some("b-17"));
    let request = told.request.expect("an answer names its request");
    let line = wait_for("the decision line", || {
        let lines = entry.log_lines();
        lines
            .into_iter()
            .find(|line| line["decision"]["request"] == request.as_str())
    });
    assert_eq!(line["decision"]["chosen"], "ledger-1");
}

#[test]
fn bad_input_is_answered_with_what_is_wrong() {
    let fleet = scenario::start_fleet(programs!());
    let entry = fleet.entry("entry-1", "west");
    let cases = [
        (CallerRequest::plain("GET", "/nowhere", ""), 404),
        (CallerRequest::plain("GET", "/v1/chat/completions", ""), 405),
        (
            CallerRequest::plain("POST", "/v1/chat/completions", "{}"),
            400,
        ),
        (CallerRequest::plain("GET", "/services/unknown/x", ""), 404),
        (
            CallerRequest::plain("GET", "/services/booking/x", "").token("wrong"),
            401,
        ),
        (
            CallerRequest::plain("GET", "/services/booking/x", "").budget(Duration::from_hours(9)),
            400,
        ),
        (
            CallerRequest::plain("POST", "/services/booking/x", &"x".repeat(2_000_000)),
            413,
        ),
    ];
    for (ask, status) in cases {
        let told = ask.send(entry.address);
        assert_eq!(told.status, status, "{told:?}");
        assert!(told.is_not_run(), "{told:?}");
        assert!(told.body.contains("message"), "{told:?}");
    }
}

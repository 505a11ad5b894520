//! End-to-end tests: requests pass through real processes from a caller to an
//! upstream and back.

use egretstage_standins::engine::expected_stream;
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, drafting, wait_for_route};
use std::time::Duration;

fn fast_engine_options() -> EngineOptions {
    EngineOptions {
        token_interval: Duration::from_millis(5),
        ..EngineOptions::default()
    }
}

#[test]
fn a_streamed_draft_arrives_whole() {
    let fleet = scenario::start_fleet(programs!());
    let (engine, upstream) = fleet.engine(fast_engine_options());
    let _companion = fleet.companion(&drafting("draft-1", "west", upstream));
    let entry = fleet.entry("entry-1", "west");
    wait_for_route(&entry, &CallerRequest::chat("draft-1", "probe", 1, false));

    let answer = CallerRequest::chat("draft-1", "duct 17", 20, true).send(entry.address);

    assert!(answer.is_completed(), "{answer:?}");
    let prompt = chat_messages("duct 17").to_string();
    assert_eq!(answer.body, expected_stream("draft-1", &prompt, 20));
    let stream = wait_for("the engine's record of the run", || {
        engine
            .executed_streams()
            .into_iter()
            .find(|stream| stream.request == answer.request)
    });
    assert!(stream.finished);
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

    let request =
        CallerRequest::plain("POST", "/services/booking/bookings", "{\"duct\":17}").key("b-17");
    let answer = request.send(entry.address);

    assert!(answer.is_completed(), "{answer:?}");
    let calls = ledger.executed_calls();
    let bookings: Vec<_> = calls
        .iter()
        .filter(|call| call.path == "/bookings")
        .collect();
    assert_eq!(bookings.len(), 1);
    assert_eq!(bookings[0].key.as_deref(), Some("b-17"));
    let request_id = answer.request.expect("an answer has a request ID");
    let line = wait_for("the decision log line", || {
        let lines = entry.log_lines();
        lines
            .into_iter()
            .find(|line| line["decision"]["request"] == request_id.as_str())
    });
    assert_eq!(line["decision"]["chosen"], "ledger-1");
}

#[test]
fn bad_input_gets_an_error_status_and_message() {
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
    for (request, status) in cases {
        let answer = request.send(entry.address);
        assert_eq!(answer.status, status, "{answer:?}");
        assert!(answer.is_not_run(), "{answer:?}");
        assert!(answer.body.contains("message"), "{answer:?}");
    }
}

//! Routing and admission limits with real processes.

use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, drafting, wait_for_route};
use std::time::Duration;

/// Length of the answers from which the companion measures its upstream's
/// token interval.
const WARM_UP_TOKENS: u32 = 20;

fn warm_up_request(topic: &str) -> CallerRequest {
    let prompt = format!(
        "{} {topic}",
        "survey of the duct under the harbour ".repeat(60)
    );
    CallerRequest::chat("draft-1", &prompt, WARM_UP_TOKENS, true)
}

#[test]
fn a_draft_that_cannot_finish_is_refused_at_once_and_does_not_run() {
    let fleet = scenario::start_fleet(programs!());
    let (engine, upstream) = fleet.engine(EngineOptions {
        token_interval: Duration::from_millis(20),
        ..EngineOptions::default()
    });
    let _companion = fleet.companion(&drafting("draft-1", "west", upstream));
    let entry = fleet.entry("entry-1", "west");
    wait_for_route(&entry, &CallerRequest::chat("draft-1", "probe", 1, false));
    for topic in ["east", "west", "north"] {
        assert!(warm_up_request(topic).send(entry.address).is_completed());
    }
    let refused = wait_for("a refusal", || {
        let request = CallerRequest::chat("draft-1", "a long letter", 200, true);
        let answer = request.budget(Duration::from_secs(1)).send(entry.address);
        answer.is_not_run().then_some(answer)
    });
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused.retry_after.is_some_and(|after| after > 0),
        "{refused:?}"
    );
    let streams = engine.executed_streams();
    assert!(
        streams
            .iter()
            .all(|stream| stream.request != refused.request)
    );
}

#[test]
fn a_decision_log_line_holds_its_inputs() {
    let fleet = scenario::start_fleet(programs!());
    let (_engine_1, upstream_1) = fleet.engine(EngineOptions::default());
    let (_engine_2, upstream_2) = fleet.engine(EngineOptions::default());
    let _companion_1 = fleet.companion(&drafting("draft-1", "west", upstream_1));
    let _companion_2 = fleet.companion(&drafting("draft-2", "east", upstream_2));
    let entry = fleet.entry("entry-1", "west");
    wait_for_route(&entry, &CallerRequest::chat("draft-1", "probe", 1, false));
    assert!(warm_up_request("first").send(entry.address).is_completed());

    let line = wait_for("a decision with two candidates, one measured", || {
        let answer = warm_up_request("again").send(entry.address);
        let request_id = answer.request.expect("an answer has a request ID");
        let lines = entry.log_lines();
        let mut lines = lines.into_iter();
        let line = lines.find(|line| line["decision"]["request"] == request_id.as_str())?;
        let candidates = line["decision"]["candidates"].as_array()?;
        let has_measurements = |c: &serde_json::Value| {
            c["load"]["token_interval_ms"].as_f64() > Some(0.0)
                && c["predicted"]["first_token_us"].as_u64() > Some(0)
        };
        (candidates.len() == 2 && candidates.iter().any(has_measurements)).then_some(line)
    });

    let decision = &line["decision"];
    assert_eq!(decision["candidates"][0]["instance"], decision["chosen"]);
    assert!(decision["reason"].is_string(), "{line}");
    let cached = decision["candidates"][0]["cached_tokens"].as_u64();
    assert!(
        cached > Some(0),
        "the chosen instance cached this prompt before: {line}"
    );
}

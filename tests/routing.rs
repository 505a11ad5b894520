//! Routing and limits with real processes.

use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, drafting, wait_for_route};
use std::time::Duration;

/// Tokens of the answers that teach the companion its upstream's pace.
const LESSON_TOKENS: u32 = 20;

fn lesson(topic: &str) -> CallerRequest {
    let prompt = format!(
        "{} {topic}",
        "survey of the duct under the harbour ".repeat(60)
    );
    CallerRequest::chat("draft-1", &prompt, LESSON_TOKENS, true)
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
        assert!(lesson(topic).send(entry.address).is_completed());
    }
    let refused = wait_for("a refusal", || {
        let ask = CallerRequest::chat("draft-1", "a long letter", 200, true);
        let told = ask.budget(Duration::from_secs(1)).send(entry.address);
        told.is_not_run().then_some(told)
    });
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused.retry_after.is_some_and(|after| after > 0),
        "{refused:?}"
    );
    let ran = engine.executed_streams();
    assert!(ran.iter().all(|ran| ran.request != refused.request));
}

#[test]
fn a_decision_line_holds_the_figures_that_it_rests_on() {
    let fleet = scenario::start_fleet(programs!());
    let (_near, near) = fleet.engine(EngineOptions::default());
    let (_far, far) = fleet.engine(EngineOptions::default());
    let _one = fleet.companion(&drafting("draft-1", "west", near));
    let _two = fleet.companion(&drafting("draft-2", "east", far));
    let entry = fleet.entry("entry-1", "west");
    wait_for_route(&entry, &CallerRequest::chat("draft-1", "probe", 1, false));
    assert!(lesson("first").send(entry.address).is_completed());

    let line = wait_for("a line with two candidates and a known pace", || {
        let told = lesson("again").send(entry.address);
        let request = told.request.expect("an answer names its request");
        let lines = entry.log_lines();
        let mut lines = lines.into_iter();
        let line = lines.find(|line| line["decision"]["request"] == request.as_str())?;
        let candidates = line["decision"]["candidates"].as_array()?;
        let known = |c: &serde_json::Value| {
            c["load"]["token_interval_ms"].as_f64() > Some(0.0)
                && c["predicted"]["first_token_us"].as_u64() > Some(0)
        };
        (candidates.len() == 2 && candidates.iter().any(known)).then_some(line)
    });

    let decision = &line["decision"];
    assert_eq!(decision["candidates"][0]["instance"], decision["chosen"]);
    assert!(decision["reason"].is_string(), "{line}");
    let cached = decision["candidates"][0]["cached_tokens"].as_u64();
    assert!(
        cached > Some(0),
        "the same prompt went there before: {line}"
    );
}

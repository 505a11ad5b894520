//! `egretctl` as operators use it, against real processes.

use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking};
use serde_json::{Value, json};
use std::process::Output;

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

fn output_text(output: &Output) -> String {
    let (out, err) = (&output.stdout, &output.stderr);
    format!(
        "{}{}",
        String::from_utf8_lossy(out),
        String::from_utf8_lossy(err)
    )
}

fn parse_json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout)
        .unwrap_or_else(|e| panic!("{e}: {}", output_text(output)))
}

#[test]
fn exit_codes_distinguish_outcomes() {
    let fleet = scenario::start_fleet(programs!());
    let log = fleet.log_url.clone();
    let invalid =
        json!([{"kind": "service", "name": "booking", "schema": 2, "body": {"idempotnt": []}}]);
    let invalid = fleet.write_file("bad.json", &invalid.to_string());
    let stale = json!([{"kind": "service", "name": "booking", "schema": 2, "base": 0, "body": {}}]);
    let stale = fleet.write_file("stale.json", &stale.to_string());
    let cases: [(&[&str], i32, &str); 11] = [
        (&["--help"], 0, "Exit codes:"),
        (&["--version"], 0, "egretctl "),
        (&["story", "r1", "/nowhere.log"], 1, "/nowhere.log"),
        (&["appply", &stale], 2, "did you mean apply?"),
        (&["apply", &stale], 2, "use --log URL"),
        (&["reset", "--log", &log], 2, "reset needs --yes"),
        (&["reset", "--yes", "--log", &log], 1, "nothing was changed"),
        (
            &["check", &invalid],
            4,
            "record 1: service booking: body.idempotnt: unknown field",
        ),
        (
            &["apply", &invalid, "--log", &log],
            4,
            "did you mean `idempotent`?",
        ),
        (
            &["apply", &stale, "--log", &log],
            3,
            "the current revision is 4",
        ),
        (
            &["apply", &stale, "--log", "http://127.0.0.1:1"],
            1,
            "127.0.0.1:1",
        ),
    ];
    for (args, expected, part) in cases {
        let output = fleet.egretctl(args);
        assert_eq!(
            exit_code(&output),
            expected,
            "{args:?}: {}",
            output_text(&output)
        );
        assert!(
            output_text(&output).contains(part),
            "{args:?}: {}",
            output_text(&output)
        );
    }
}

#[test]
fn objects_are_shown_compared_and_upgraded() {
    let fleet = scenario::start_fleet(programs!());
    let settings = format!("log_url = \"{}\"\n", fleet.log_url);
    let settings = fleet.write_file("egretctl.toml", &settings);
    let run =
        |args: &[&str]| fleet.egretctl(&[args, &["--settings", &settings, "--json"]].concat());

    let all = parse_json(&run(&["get"]));
    assert_eq!(all.as_array().map(Vec::len), Some(4));
    let service = parse_json(&run(&["get", "service", "booking"]));
    assert_eq!(service[0]["envelope"]["schema"], 1);
    let upgraded = run(&["upgrade"]);
    assert_eq!(exit_code(&upgraded), 0, "{}", output_text(&upgraded));
    assert_eq!(parse_json(&upgraded)["fate"]["accepted"]["revision"], 5);
    let service = parse_json(&run(&["get", "service", "booking"]));
    assert_eq!(service[0]["envelope"]["schema"], 2);
    let history = parse_json(&run(&["history", "service", "booking"]));
    assert_eq!(history.as_array().map(Vec::len), Some(2));
    assert_eq!(history[1]["verdict"], "accepted");

    let wanted = json!([{"kind": "model-group", "name": "drafting", "schema": 1,
        "body": {"model": "draft-1", "ranks": 16, "experts": 64}}]);
    let file = fleet.write_file("wanted.json", &wanted.to_string());
    let differences = parse_json(&run(&["diff", &file]));
    assert_eq!(differences[0]["field"], "body.ranks");
    assert_eq!(
        (&differences[0]["in_force"], &differences[0]["in_file"]),
        (&json!(8), &json!(16))
    );
}

#[test]
fn status_and_explain_show_nodes_rules_and_upstreams() {
    let fleet = scenario::start_fleet(programs!());
    let rule = json!([{"kind": "placement-rule", "name": "desk-west", "schema": 1,
        "body": {"organisation": "leasing-desk", "service": "booking", "zones": ["west"]}}]);
    fleet.publish(&rule);
    let (_west_service, west_upstream) = fleet.plain_service(PlainServiceOptions::default());
    let (_east_service, east_upstream) = fleet.plain_service(PlainServiceOptions::default());
    let companion = fleet.companion(&booking("ledger-west", "west", west_upstream));
    let _other = fleet.companion(&booking("ledger-east", "east", east_upstream));
    let entry = fleet.entry("entry-1", "west");
    let (entry_admin, companion_admin) = (entry.admin.to_string(), companion.admin.to_string());
    let args = [
        "--log",
        &fleet.log_url,
        "--list",
        &fleet.list_url,
        "--node",
        &entry_admin,
        "--node",
        &companion_admin,
    ];
    let run = |command: &[&str]| fleet.egretctl(&[command, &args].concat());

    let healthy_output = wait_for("all nodes to hold the configuration", || {
        let output = run(&["status"]);
        let lists_both = output_text(&output).contains("ledger-east  east");
        (exit_code(&output) == 0 && lists_both).then_some(output)
    });
    let table = output_text(&healthy_output);
    for part in [
        "configuration log: offset 5",
        "entry-1",
        "ledger-west",
        "LAG",
        "LISTED",
    ] {
        assert!(table.contains(part), "{table}");
    }
    let explained = wait_for("links to both upstreams", || {
        let output = parse_json(&run(&["explain", "leasing-desk", "booking", "--json"]));
        let upstreams = output["runners"].as_array()?;
        (upstreams.len() == 2 && upstreams.iter().all(|r| r["link"] == "up")).then_some(output)
    });
    assert_eq!(explained["rule"], "desk-west");
    for upstream in explained["runners"].as_array().expect("upstreams") {
        assert_eq!(
            upstream["candidate"],
            upstream["zone"] == "west",
            "{upstream}"
        );
    }
    let unknown = run(&["explain", "nobody", "booking"]);
    assert!(
        output_text(&unknown).contains("organisation nobody is not configured"),
        "{}",
        output_text(&unknown)
    );

    let unreachable = fleet.egretctl(&["status", "--node", "127.0.0.1:1"]);
    assert_eq!(exit_code(&unreachable), 6, "{}", output_text(&unreachable));
}

#[test]
fn requests_to_a_service_with_an_unreadable_body_are_refused_as_not_run() {
    let fleet = scenario::start_fleet(programs!());
    let (ledger, upstream) = fleet.plain_service(PlainServiceOptions::default());
    let _companion = fleet.companion(&booking("ledger-1", "west", upstream));
    let entry = fleet.entry("entry-1", "west");
    scenario::wait_for_route(
        &entry,
        &CallerRequest::plain("GET", "/services/booking/ping", ""),
    );
    // A record of a newer release, as that release's `egretctl` publishes it.
    let newer_record = json!({"id": "newer", "kind": "service", "name": "booking", "base": 4,
        "schema": 99, "body": {"shape": "unknown"}});
    let url = format!("{}/streams/configuration/records", fleet.log_url);
    let append = json!({"id": "newer", "data": newer_record});
    ureq::post(&url).send_json(append).expect("an append");
    let answer = wait_for("the refusal", || {
        let answer =
            CallerRequest::plain("POST", "/services/booking/bookings", "{}").send(entry.address);
        answer.is_not_run().then_some(answer)
    });
    assert!(
        answer.body.contains("configuration-unreadable"),
        "{answer:?}"
    );
    assert!(answer.retry_after.is_some(), "{answer:?}");
    let runs_before = ledger.executed_calls().len();
    let second_answer =
        CallerRequest::plain("POST", "/services/booking/bookings", "{}").send(entry.address);
    assert!(second_answer.is_not_run(), "{second_answer:?}");
    assert_eq!(ledger.executed_calls().len(), runs_before);
    wait_for("the unreadable object in the status", || {
        let status = entry.status();
        let unreadable = &status["configuration"]["unreadable"][0];
        (unreadable["name"] == "booking").then_some(())
    });
}

#[test]
fn status_shows_who_holds_the_fence_of_a_group() {
    let fleet = scenario::start_fleet(programs!());
    let (_engine, upstream) = fleet.engine(EngineOptions::default());
    let address = free_address();
    let rank = RankPlacement {
        index: 0,
        ranks: 1,
        sender_lock: free_address(),
        advertise: address,
    };
    let placement = scenario::drafting("draft-1", "west", upstream);
    let companion = fleet.rank_companion(&placement, address, &rank);
    let admin = companion.admin.to_string();
    let fences = wait_for("the holder of the fence", || {
        let output = fleet.egretctl(&["status", "--node", &admin, "--json"]);
        let fences = parse_json(&output)["nodes"][0]["status"]["fences"].clone();
        (!fences.as_array()?.is_empty()).then_some(fences)
    });
    let expected = json!([{"group": "drafting", "fence": 1, "holder": "draft-1"}]);
    assert_eq!(fences, expected);
}

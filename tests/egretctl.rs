//! `egretctl` as operators use it, against the real programs.

use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking};
use serde_json::{Value, json};
use std::process::Output;

fn code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

fn text(output: &Output) -> String {
    let (out, err) = (&output.stdout, &output.stderr);
    format!(
        "{}{}",
        String::from_utf8_lossy(out),
        String::from_utf8_lossy(err)
    )
}

fn json_of(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {}", text(output)))
}

#[test]
fn exit_codes_tell_what_happened() {
    let fleet = scenario::start_fleet(programs!());
    let log = fleet.log_url.clone();
    let bad =
        json!([{"kind": "service", "name": "booking", "schema": 2, "body": {"idempotnt": []}}]);
    let bad = fleet.write_file("bad.json", &bad.to_string());
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
            &["check", &bad],
            4,
            "record 1: service booking: body.idempotnt: unknown field",
        ),
        (
            &["apply", &bad, "--log", &log],
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
        assert_eq!(code(&output), expected, "{args:?}: {}", text(&output));
        assert!(text(&output).contains(part), "{args:?}: {}", text(&output));
    }
}

#[test]
fn objects_are_shown_compared_and_upgraded() {
    let fleet = scenario::start_fleet(programs!());
    let settings = format!("log_url = \"{}\"\n", fleet.log_url);
    let settings = fleet.write_file("egretctl.toml", &settings);
    let run =
        |args: &[&str]| fleet.egretctl(&[args, &["--settings", &settings, "--json"]].concat());

    let all = json_of(&run(&["get"]));
    assert_eq!(all.as_array().map(Vec::len), Some(4));
    let service = json_of(&run(&["get", "service", "booking"]));
    assert_eq!(service[0]["envelope"]["schema"], 1);
    let upgraded = run(&["upgrade"]);
    assert_eq!(code(&upgraded), 0, "{}", text(&upgraded));
    assert_eq!(json_of(&upgraded)["fate"]["accepted"]["revision"], 5);
    let service = json_of(&run(&["get", "service", "booking"]));
    assert_eq!(service[0]["envelope"]["schema"], 2);
    let history = json_of(&run(&["history", "service", "booking"]));
    assert_eq!(history.as_array().map(Vec::len), Some(2));
    assert_eq!(history[1]["verdict"], "accepted");

    let wanted = json!([{"kind": "model-group", "name": "drafting", "schema": 1,
        "body": {"model": "draft-1", "ranks": 16, "experts": 64}}]);
    let file = fleet.write_file("wanted.json", &wanted.to_string());
    let differences = json_of(&run(&["diff", &file]));
    assert_eq!(differences[0]["field"], "body.ranks");
    assert_eq!(
        (&differences[0]["in_force"], &differences[0]["in_file"]),
        (&json!(8), &json!(16))
    );
}

#[test]
fn status_and_explain_show_nodes_rules_and_runners() {
    let fleet = scenario::start_fleet(programs!());
    let rule = json!([{"kind": "placement-rule", "name": "desk-west", "schema": 1,
        "body": {"organisation": "leasing-desk", "service": "booking", "zones": ["west"]}}]);
    fleet.publish(&rule);
    let (_west, west) = fleet.plain_service(PlainServiceOptions::default());
    let (_east, east) = fleet.plain_service(PlainServiceOptions::default());
    let companion = fleet.companion(&booking("ledger-west", "west", west));
    let _other = fleet.companion(&booking("ledger-east", "east", east));
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

    let healthy = wait_for("all nodes to hold the configuration", || {
        let output = run(&["status"]);
        let both = text(&output).contains("ledger-east  east");
        (code(&output) == 0 && both).then_some(output)
    });
    let shown = text(&healthy);
    for part in [
        "configuration log: offset 5",
        "entry-1",
        "ledger-west",
        "LAG",
        "LISTED",
    ] {
        assert!(shown.contains(part), "{shown}");
    }
    let explained = wait_for("both runners to be linked", || {
        let output = json_of(&run(&["explain", "leasing-desk", "booking", "--json"]));
        let runners = output["runners"].as_array()?;
        (runners.len() == 2 && runners.iter().all(|r| r["link"] == "up")).then_some(output)
    });
    assert_eq!(explained["rule"], "desk-west");
    for runner in explained["runners"].as_array().expect("runners") {
        assert_eq!(runner["candidate"], runner["zone"] == "west", "{runner}");
    }
    let unknown = run(&["explain", "nobody", "booking"]);
    assert!(
        text(&unknown).contains("organisation nobody is not configured"),
        "{}",
        text(&unknown)
    );

    let dead = fleet.egretctl(&["status", "--node", "127.0.0.1:1"]);
    assert_eq!(code(&dead), 6, "{}", text(&dead));
}

#[test]
fn an_accepted_body_that_no_node_can_read_is_refused_as_not_run() {
    let fleet = scenario::start_fleet(programs!());
    let (ledger, upstream) = fleet.plain_service(PlainServiceOptions::default());
    let _companion = fleet.companion(&booking("ledger-1", "west", upstream));
    let entry = fleet.entry("entry-1", "west");
    scenario::wait_for_route(
        &entry,
        &CallerRequest::plain("GET", "/services/booking/ping", ""),
    );
    // A newer release's record, as its own egretctl publishes it.
    let newer = json!({"id": "newer", "kind": "service", "name": "booking", "base": 4,
        "schema": 99, "body": {"shape": "unknown"}});
    let url = format!("{}/streams/configuration/records", fleet.log_url);
    let append = json!({"id": "newer", "data": newer});
    ureq::post(&url).send_json(append).expect("an append");
    let told = wait_for("the refusal", || {
        let told =
            CallerRequest::plain("POST", "/services/booking/bookings", "{}").send(entry.address);
        told.is_not_run().then_some(told)
    });
    assert!(told.body.contains("configuration-unreadable"), "{told:?}");
    assert!(told.retry_after.is_some(), "{told:?}");
    let before = ledger.executed_calls().len();
    let again =
        CallerRequest::plain("POST", "/services/booking/bookings", "{}").send(entry.address);
    assert!(again.is_not_run(), "{again:?}");
    assert_eq!(ledger.executed_calls().len(), before);
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
    let place = scenario::drafting("draft-1", "west", upstream);
    let companion = fleet.rank_companion(&place, address, &rank);
    let admin = companion.admin.to_string();
    let fences = wait_for("the holder of the fence", || {
        let output = fleet.egretctl(&["status", "--node", &admin, "--json"]);
        let fences = json_of(&output)["nodes"][0]["status"]["fences"].clone();
        (!fences.as_array()?.is_empty()).then_some(fences)
    });
    let expected = json!([{"group": "drafting", "fence": 1, "holder": "draft-1"}]);
    assert_eq!(fences, expected);
}

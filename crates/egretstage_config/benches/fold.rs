//! What a change costs at a configuration of 580 organisations.
//!
//! `cargo bench -p egretstage_config --bench fold` prints the time of one
//! change, of the copy that the rest of the process gets, of a whole state
//! taken over from a checkpoint, and the state's size.

use egretstage_config::prelude::*;
use egretstage_config::token_digest;
use serde_json::json;
use std::time::{Duration, Instant};

/// Organisations of the measured configuration, each with a placement rule.
const ORGANISATIONS: u64 = 580;

/// Changes that are timed.
const CHANGES: u32 = 2_000;

fn record(id: u64, kind: &str, name: &str, base: Offset, body: &serde_json::Value) -> Record {
    let record = json!({
        "id": format!("change-{id}"), "kind": kind, "name": name, "base": base,
        "schema": 1, "body": body,
    });
    serde_json::from_value(record).expect("a valid record")
}

fn organisation(n: u64, weight: u64) -> serde_json::Value {
    let digests = [
        token_digest(&format!("a{n}")),
        token_digest(&format!("b{n}")),
    ];
    json!({"token_digests": digests.map(String::from), "weight": weight})
}

fn start() -> ConfigurationFold {
    let mut fold = ConfigurationFold::default();
    for n in 0..ORGANISATIONS {
        let name = format!("organisation-{n}");
        let offset = fold.offset().next();
        fold.apply(
            offset,
            &record(
                offset.0,
                "organisation",
                &name,
                Offset(0),
                &organisation(n, 1),
            ),
        );
        let rule =
            json!({"organisation": name, "service": format!("s-{}", n % 40), "zones": ["a", "b"]});
        let offset = fold.offset().next();
        fold.apply(
            offset,
            &record(offset.0, "placement-rule", &name, Offset(0), &rule),
        );
    }
    fold
}

fn main() {
    let mut fold = start();
    let changes: Vec<(String, serde_json::Value)> = (0..u64::from(CHANGES))
        .map(|n| {
            (
                format!("organisation-{}", n % ORGANISATIONS),
                organisation(n % ORGANISATIONS, n + 2),
            )
        })
        .collect();
    let mut folding = Duration::ZERO;
    let mut copying = Duration::ZERO;
    for (name, body) in &changes {
        let offset = fold.offset().next();
        let probe = record(offset.0, "organisation", name, Offset(0), body);
        let base = fold.revision(&probe.envelope.kind, &probe.envelope.name);
        let change = record(offset.0, "organisation", name, base, body);
        // The rest of the process holds the last configuration, as in a node.
        let held = fold.configuration().clone();
        let begin = Instant::now();
        fold.apply(offset, &change);
        folding += begin.elapsed();
        let begin = Instant::now();
        std::hint::black_box(Configuration::clone(&held));
        copying += begin.elapsed();
    }
    let whole = fold.delta(Offset(0));
    let bytes: usize = whole
        .clone()
        .into_chunks()
        .iter()
        .map(|chunk| serde_json::to_vec(chunk).map_or(0, |buf| buf.len()))
        .sum();
    let begin = Instant::now();
    let mut fresh = ConfigurationFold::default();
    fresh.merge(whole);
    let merging = begin.elapsed();
    println!(
        "objects:                        {}",
        fresh.objects().count()
    );
    println!("state in JSON:                  {bytes} bytes");
    println!("one change, copy included:      {:?}", folding / CHANGES);
    println!("the copy alone:                 {:?}", copying / CHANGES);
    println!("a whole state taken over:       {merging:?}");
}

//! Cost of a change in a configuration of 580 organisations.
//!
//! `cargo bench -p egretstage_config --bench fold` prints the time of one
//! change, of the copy of the configuration that it includes, and of merging a
//! whole state from a checkpoint, and the size of that state.

use egretstage_config::prelude::*;
use egretstage_config::token_digest;
use serde_json::json;
use std::time::{Duration, Instant};

/// Number of organisations, each with a placement rule.
const ORGANISATIONS: u64 = 580;

/// Number of changes that are timed.
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

fn build_fold() -> ConfigurationFold {
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
    let mut fold = build_fold();
    let changes: Vec<(String, serde_json::Value)> = (0..u64::from(CHANGES))
        .map(|n| {
            (
                format!("organisation-{}", n % ORGANISATIONS),
                organisation(n % ORGANISATIONS, n + 2),
            )
        })
        .collect();
    let mut fold_time = Duration::ZERO;
    let mut copy_time = Duration::ZERO;
    for (name, body) in &changes {
        let offset = fold.offset().next();
        let probe = record(offset.0, "organisation", name, Offset(0), body);
        let base = fold.revision(&probe.envelope.kind, &probe.envelope.name);
        let change = record(offset.0, "organisation", name, base, body);
        // Holds the last configuration, as the rest of a node's process does, so
        // that the fold has to copy it.
        let held = fold.configuration().clone();
        let begin = Instant::now();
        fold.apply(offset, &change);
        fold_time += begin.elapsed();
        let begin = Instant::now();
        std::hint::black_box(Configuration::clone(&held));
        copy_time += begin.elapsed();
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
    let merge_time = begin.elapsed();
    println!(
        "objects:                        {}",
        fresh.objects().count()
    );
    println!("state in JSON:                  {bytes} bytes");
    println!("one change, copy included:      {:?}", fold_time / CHANGES);
    println!("the copy alone:                 {:?}", copy_time / CHANGES);
    println!("a whole state taken over:       {merge_time:?}");
}

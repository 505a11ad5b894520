//! A change of the configuration, and the state of 580 organisations.

use super::measure::{bytes_each, micros, row};
use egretstage_config::{Configuration, ConfigurationFold, Offset, Record, Verdict};
use egretstage_wire::{ConfigurationFrame, Frame, encode};
use serde_json::json;
use std::sync::Arc;

/// Organisations at the target's size.
const ORGANISATIONS: usize = 580;

/// Placement rules of each organisation.
const RULES_EACH: usize = 2;

/// Changes that are timed.
const CHANGES: usize = 200;

/// Models in steady use.
const MODELS: usize = 5;

pub(crate) fn print() {
    let mut folds = Vec::with_capacity(1);
    let bytes = bytes_each(ORGANISATIONS, || folds.push(full_fold()));
    row("organisation with 2 rules, in the fold", bytes, "B");
    let mut fold = folds.remove(0);
    let change = organisation(7, fold.revision_of(7), "again");
    let text = serde_json::to_string(&change).expect("records are plain data");
    row(
        "change of an organisation, on the log",
        count(text.len()),
        "B",
    );
    let before = fold.offset();
    let time = micros(CHANGES, |index| {
        let record = organisation(index, fold.revision_of(index), "next");
        let verdict = fold.apply(fold.offset().next(), &record);
        assert_eq!(verdict, Verdict::Accepted);
    });
    row("change, folded among 580 organisations", time, "µs");
    let per_change = |since: Offset| {
        let chunks = fold.delta(since).into_chunks();
        let frame = |c| Frame::Configuration(ConfigurationFrame::Chunk(Box::new(c)));
        let sizes = chunks
            .into_iter()
            .map(|c| encode(&frame(c)).map_or(0, |b| b.len()));
        sizes.sum::<usize>()
    };
    row(
        "change, relayed",
        count(per_change(before)) / count(CHANGES),
        "B",
    );
    row("whole state, relayed", count(per_change(Offset(0))), "B");
    let time = micros(20, |_| {
        std::hint::black_box(per_change(Offset(0)));
    });
    row("whole state, encode", time, "µs");
    let time = micros(20, |_| {
        let mut fresh = ConfigurationFold::default();
        std::hint::black_box(fresh.merge(fold.delta(Offset(0))));
    });
    row("whole state, taken over", time, "µs");
}

/// Returns a configuration at the target's size.
pub(crate) fn configuration() -> Arc<Configuration> {
    Arc::clone(full_fold().configuration())
}

trait Revisions {
    fn revision_of(&self, organisation: usize) -> Offset;
}

impl Revisions for ConfigurationFold {
    fn revision_of(&self, organisation: usize) -> Offset {
        let found = self
            .objects()
            .find(|o| o.envelope.name.as_str() == name(organisation));
        found.map_or(Offset(0), |o| o.revision)
    }
}

fn name(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

fn full_fold() -> ConfigurationFold {
    let mut fold = ConfigurationFold::default();
    let models = (0..MODELS).map(model);
    let organisations = (0..ORGANISATIONS).map(|i| organisation(i, Offset(0), "first"));
    let rules = (0..ORGANISATIONS * RULES_EACH).map(rule);
    for record in models.chain(organisations).chain(rules) {
        let verdict = fold.apply(fold.offset().next(), &record);
        assert_eq!(verdict, Verdict::Accepted);
    }
    fold
}

fn model(index: usize) -> Record {
    record(json!({
        "id": format!("model-change-{index}"), "kind": "model-group",
        "name": format!("model-{index}"), "base": 0, "schema": 1,
        "body": {"model": format!("model-{index}"), "ranks": 128, "experts": 128},
    }))
}

fn organisation(index: usize, base: Offset, change: &str) -> Record {
    record(json!({
        "id": format!("organisation-change-{change}-{index}"), "kind": "organisation",
        "name": name(index), "base": base, "schema": 1,
        "body": {"token_digests": [format!("{index:064x}")], "weight": 2.0, "priority": 1},
    }))
}

fn rule(index: usize) -> Record {
    record(json!({
        "id": format!("rule-change-{index}"), "kind": "placement-rule",
        "name": format!("rule-{index}"), "base": 0, "schema": 1,
        "body": {
            "organisation": name(index / RULES_EACH),
            "service": format!("model-{}", index % MODELS),
            "zones": ["region-0-0", "region-0-1"],
        },
    }))
}

fn record(value: serde_json::Value) -> Record {
    serde_json::from_value(value).expect("a valid record")
}

#[expect(clippy::cast_precision_loss, reason = "a bench counts little")]
fn count(n: usize) -> f64 {
    n as f64
}

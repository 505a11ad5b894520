//! Size and processor time of a configuration change and of the state of 580
//! organisations.

use super::measure::{bytes_per_item, mean_micros, print_slope};
use egretstage_config::{Configuration, ConfigurationFold, Offset, Record, Verdict};
use egretstage_wire::{ConfigurationFrame, Frame, encode};
use serde_json::json;
use std::sync::Arc;

/// Organisations at the target's size.
const ORGANISATIONS: usize = 580;

/// Placement rules of each organisation.
const RULES_PER_ORGANISATION: usize = 2;

/// Number of changes that are timed.
const TIMED_CHANGES: usize = 200;

/// Number of models in steady use.
const MODELS: usize = 5;

pub(crate) fn print() {
    // Allocated before the measurement, so that only the fold's memory is counted.
    let mut folds = Vec::with_capacity(1);
    let bytes = bytes_per_item(ORGANISATIONS, || folds.push(full_fold()));
    print_slope("organisation with 2 rules, in the fold", bytes, "B");
    let mut fold = folds.remove(0);
    let change = organisation(7, fold.revision_of(7), "again");
    let change_json = serde_json::to_string(&change).expect("records are plain data");
    print_slope(
        "change of an organisation, on the log",
        to_f64(change_json.len()),
        "B",
    );
    let before = fold.offset();
    let time = mean_micros(TIMED_CHANGES, |index| {
        let record = organisation(index, fold.revision_of(index), "next");
        let verdict = fold.apply(fold.offset().next(), &record);
        assert_eq!(verdict, Verdict::Accepted);
    });
    print_slope("change, folded among 580 organisations", time, "µs");
    let relayed_bytes = |since: Offset| {
        let chunks = fold.delta(since).into_chunks();
        let chunk_frame = |c| Frame::Configuration(ConfigurationFrame::Chunk(Box::new(c)));
        let sizes = chunks
            .into_iter()
            .map(|c| encode(&chunk_frame(c)).map_or(0, |b| b.len()));
        sizes.sum::<usize>()
    };
    print_slope(
        "change, relayed",
        to_f64(relayed_bytes(before)) / to_f64(TIMED_CHANGES),
        "B",
    );
    print_slope(
        "whole state, relayed",
        to_f64(relayed_bytes(Offset(0))),
        "B",
    );
    let time = mean_micros(20, |_| {
        std::hint::black_box(relayed_bytes(Offset(0)));
    });
    print_slope("whole state, encode", time, "µs");
    let time = mean_micros(20, |_| {
        let mut receiver = ConfigurationFold::default();
        std::hint::black_box(receiver.merge(fold.delta(Offset(0))));
    });
    print_slope("whole state, taken over", time, "µs");
}

/// Returns a configuration at the target's size.
pub(crate) fn configuration() -> Arc<Configuration> {
    Arc::clone(full_fold().configuration())
}

/// Finds the revision of an organisation in a fold.
trait Revisions {
    fn revision_of(&self, index: usize) -> Offset;
}

impl Revisions for ConfigurationFold {
    fn revision_of(&self, index: usize) -> Offset {
        let found = self
            .objects()
            .find(|o| o.envelope.name.as_str() == organisation_name(index));
        found.map_or(Offset(0), |o| o.revision)
    }
}

fn organisation_name(index: usize) -> String {
    format!("organisation-{index}")
}

fn full_fold() -> ConfigurationFold {
    let mut fold = ConfigurationFold::default();
    let models = (0..MODELS).map(model);
    let organisations = (0..ORGANISATIONS).map(|i| organisation(i, Offset(0), "first"));
    let rules = (0..ORGANISATIONS * RULES_PER_ORGANISATION).map(rule);
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
        "name": organisation_name(index), "base": base, "schema": 1,
        "body": {"token_digests": [format!("{index:064x}")], "weight": 2.0, "priority": 1},
    }))
}

fn rule(index: usize) -> Record {
    record(json!({
        "id": format!("rule-change-{index}"), "kind": "placement-rule",
        "name": format!("rule-{index}"), "base": 0, "schema": 1,
        "body": {
            "organisation": organisation_name(index / RULES_PER_ORGANISATION),
            "service": format!("model-{}", index % MODELS),
            "zones": ["region-0-0", "region-0-1"],
        },
    }))
}

fn record(value: serde_json::Value) -> Record {
    serde_json::from_value(value).expect("a valid record")
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn to_f64(n: usize) -> f64 {
    n as f64
}

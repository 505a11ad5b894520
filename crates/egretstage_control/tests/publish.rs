//! Publishing: the outcome that an operator gets is the one that every reader
//! of the log finds.

#[path = "../../egretstage_relay/tests/support/memory_log.rs"]
#[allow(dead_code, reason = "this test uses a part of it")]
mod memory_log;

use egretstage_config::{CONFIGURATION_STREAM, Offset};
use egretstage_control::{
    ApplyOutcome, FileRecord, LogView, ResetError, RetryPolicy, ViewError, diff, publish, reset,
    upgraded_records,
};
use egretstage_relay::publish_checkpoint;
use memory_log::{Faults, MemoryLog};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use std::time::Duration;

/// Retries for up to 5 s without a pause.
const RETRY_WITHOUT_PAUSE: RetryPolicy = RetryPolicy {
    timeout: Duration::from_secs(5),
    delay: Duration::ZERO,
};

fn record(name: &str, schema: u16, base: Option<u64>, body: &Value) -> FileRecord {
    let mut record = json!({"kind": "service", "name": name, "schema": schema, "body": body});
    if let Some(base) = base {
        record["base"] = base.into();
    }
    serde_json::from_value(record).unwrap()
}

fn open_and_publish(log: &MemoryLog, record: FileRecord) -> ApplyOutcome {
    let mut view = LogView::open(log).unwrap();
    publish(&mut view, record, RETRY_WITHOUT_PAUSE)
        .unwrap()
        .fate
}

#[test]
fn a_record_takes_effect_once_despite_lost_answers_and_appends() {
    for faults in [
        Faults {
            lost_answers: 1,
            ..Faults::default()
        },
        Faults {
            lost_answers: 2,
            ..Faults::default()
        },
        Faults {
            lost_appends: 1,
            ..Faults::default()
        },
        Faults {
            lost_appends: 2,
            lost_answers: 1,
            ..Faults::default()
        },
    ] {
        let log = MemoryLog::default();
        let mut view = LogView::open(&log).unwrap();
        *log.faults.lock().unwrap() = faults;
        let report = publish(
            &mut view,
            record("booking", 1, None, &json!({})),
            RETRY_WITHOUT_PAUSE,
        )
        .unwrap();
        assert_eq!(
            report.fate,
            ApplyOutcome::Accepted {
                revision: Offset(1)
            }
        );
        let fresh = LogView::open(&log).unwrap();
        assert_eq!(fresh.fold().objects().count(), 1);
    }
}

#[test]
fn the_outcome_is_unknown_until_the_log_answers() {
    let log = MemoryLog::default();
    let mut view = LogView::open(&log).unwrap();
    *log.faults.lock().unwrap() = Faults {
        lost_answers: u32::MAX,
        failed_reads: u32::MAX,
        ..Faults::default()
    };
    let no_retry = RetryPolicy {
        timeout: Duration::ZERO,
        delay: Duration::ZERO,
    };
    let file = record("booking", 1, None, &json!({}));
    let report = publish(&mut view, file.clone(), no_retry).unwrap();
    assert_eq!(report.fate, ApplyOutcome::Unknown);
    *log.faults.lock().unwrap() = Faults::default();
    assert_eq!(
        open_and_publish(&log, file),
        ApplyOutcome::Unchanged {
            revision: Offset(1)
        },
        "applying again does no harm"
    );
}

#[test]
fn unchanged_settings_publish_nothing() {
    let log = MemoryLog::default();
    let file = record("booking", 2, None, &json!({"idempotent": []}));
    assert_eq!(
        open_and_publish(&log, file.clone()),
        ApplyOutcome::Accepted {
            revision: Offset(1)
        }
    );
    assert_eq!(
        open_and_publish(&log, file),
        ApplyOutcome::Unchanged {
            revision: Offset(1)
        }
    );
    assert_eq!(log.records(CONFIGURATION_STREAM).len(), 1);
}

#[test]
fn a_conflict_names_the_current_revision() {
    let log = MemoryLog::default();
    let first = record("booking", 1, Some(0), &json!({}));
    let second = record("booking", 2, Some(0), &json!({}));
    assert_eq!(
        open_and_publish(&log, first),
        ApplyOutcome::Accepted {
            revision: Offset(1)
        }
    );
    let conflict = ApplyOutcome::Conflict {
        base: Offset(0),
        current: Offset(1),
    };
    assert_eq!(open_and_publish(&log, second), conflict);
    let future = record("booking", 2, Some(99), &json!({}));
    let conflict = ApplyOutcome::Conflict {
        base: Offset(99),
        current: Offset(1),
    };
    assert_eq!(open_and_publish(&log, future), conflict);
}

#[test]
fn upgrades_rewrite_old_bodies_once() {
    let log = MemoryLog::default();
    let old = json!({"repeatable": [{"method": "POST", "path_prefix": "/search"}]});
    open_and_publish(&log, record("booking", 1, None, &old));
    open_and_publish(&log, record("lookup", 2, None, &json!({})));
    let mut view = LogView::open(&log).unwrap();
    let files = upgraded_records(&view);
    assert_eq!(files.len(), 1);
    assert_eq!((files[0].schema, files[0].base), (2, Some(Offset(1))));
    for file in files {
        let report = publish(&mut view, file, RETRY_WITHOUT_PAUSE).unwrap();
        assert_eq!(
            report.fate,
            ApplyOutcome::Accepted {
                revision: Offset(3)
            }
        );
    }
    assert!(upgraded_records(&view).is_empty());
}

#[test]
fn a_diff_names_each_field() {
    let log = MemoryLog::default();
    open_and_publish(&log, record("booking", 1, None, &json!({"repeatable": []})));
    let view = LogView::open(&log).unwrap();
    let files = [
        record("booking", 2, None, &json!({"idempotent": []})),
        record("new", 2, None, &json!({})),
    ];
    let fields: Vec<_> = diff(&view, &files).into_iter().map(|d| d.field).collect();
    assert_eq!(
        fields,
        ["schema", "body.repeatable", "body.idempotent", "object"]
    );
}

#[test]
fn a_view_reads_the_checkpoint_and_reports_missing_records() {
    let log = MemoryLog::default();
    for name in ["a", "b", "c"] {
        open_and_publish(&log, record(name, 2, None, &json!({})));
    }
    let chunks = LogView::open(&log)
        .unwrap()
        .fold()
        .delta(Offset(0))
        .into_chunks();
    log.expire(CONFIGURATION_STREAM, 4);
    let missing = LogView::open(&log).err().expect("records are missing");
    assert!(
        matches!(missing, ViewError::Incomplete { first: 4 }),
        "{missing}"
    );
    publish_checkpoint(&log, &chunks, Duration::from_hours(1)).unwrap();
    let view = LogView::open(&log).unwrap();
    assert_eq!(view.fold().objects().count(), 3);
    assert_eq!(
        open_and_publish(&log, record("a", 2, Some(1), &json!({"idempotent": []}))),
        ApplyOutcome::Accepted {
            revision: Offset(4)
        }
    );
}

#[test]
fn a_lost_configuration_can_be_reset() {
    let log = MemoryLog::default();
    for name in ["a", "b"] {
        open_and_publish(&log, record(name, 2, None, &json!({})));
    }
    assert!(matches!(reset(&log), Err(ResetError::NotLost)));
    log.expire(CONFIGURATION_STREAM, 3);
    assert!(LogView::open(&log).is_err());
    assert_eq!(reset(&log).unwrap(), Offset(2));
    assert!(matches!(reset(&log), Err(ResetError::NotLost)));
    let again = record("a", 2, None, &json!({}));
    assert_eq!(
        open_and_publish(&log, again),
        ApplyOutcome::Accepted {
            revision: Offset(3)
        }
    );
}

/// Returns the configuration of a property test; its seed is fixed, so that
/// every run tests the same cases. `EGRET_PROPTEST_SEED` sets another seed.
fn property_config(cases: u32) -> ProptestConfig {
    let seed = std::env::var("EGRET_PROPTEST_SEED").ok();
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed.and_then(|text| text.parse().ok()).unwrap_or(1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(property_config(200))]

    /// Operators with their own, often stale, views publish in any order, while
    /// the network loses requests and answers.
    #[test]
    fn each_operator_gets_the_outcome_that_every_reader_finds(
        steps in prop::collection::vec((0..3_usize, 0..2_u8, 0..2_u32, 0..2_u32), 1..12),
    ) {
        let log = MemoryLog::default();
        let mut views: Vec<LogView<'_>> = (0..3).map(|_| LogView::open(&log).unwrap()).collect();
        let mut accepted = 0;
        for (at, (operator, name, lost_answers, lost_appends)) in steps.into_iter().enumerate() {
            *log.faults.lock().unwrap() = Faults {
                lost_answers,
                lost_appends: if at % 5 == 0 { lost_appends } else { 0 },
                ..Faults::default()
            };
            let body = json!({"idempotent": [{"methods": ["POST"], "path_prefix": format!("/{at}")}]});
            let file = record(&format!("s{name}"), 2, None, &body);
            let report = publish(&mut views[operator], file, RETRY_WITHOUT_PAUSE).unwrap();
            *log.faults.lock().unwrap() = Faults::default();
            let reader = LogView::open(&log).unwrap();
            let object = reader.fold().object(&report.kind, &report.name).unwrap();
            let is_own = Some(&object.envelope.id) == report.id.as_ref();
            match report.fate {
                ApplyOutcome::Accepted { revision } => {
                    accepted += 1;
                    prop_assert!(is_own);
                    prop_assert_eq!(object.revision, revision);
                }
                ApplyOutcome::Conflict { current, .. } => {
                    prop_assert!(!is_own);
                    prop_assert_eq!(object.revision, current);
                }
                ApplyOutcome::Unchanged { .. } | ApplyOutcome::Unknown => prop_assert!(false, "{:?}", report),
            }
        }
        let reader = LogView::open(&log).unwrap();
        let revisions: std::collections::BTreeSet<_> = egretstage_control::retained_records(&log)
            .unwrap()
            .into_iter()
            .filter(|folded| folded.verdict == egretstage_config::Verdict::Accepted)
            .map(|folded| folded.offset)
            .collect();
        prop_assert_eq!(revisions.len(), accepted);
        prop_assert!(reader.fold().objects().all(|o| revisions.contains(&o.revision)));
    }
}

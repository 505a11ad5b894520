//! Errors in record files name the record, the field and what is allowed.

use egretstage_control::parse_records;

fn error(record: &str) -> String {
    let valid = r#"{"kind": "service", "name": "booking", "schema": 2, "body": {}}"#;
    let problems = parse_records(&format!("[{valid}, {record}]")).unwrap_err();
    assert_eq!(problems.len(), 1);
    problems[0].to_string()
}

#[test]
fn each_error_names_its_record() {
    let cases = [
        (
            r#"{"kind": "servise", "name": "a", "schema": 1}"#,
            "kind: \"servise\" is not known, allowed are organisation, service, model-group, placement-rule; did you mean service?",
        ),
        (
            r#"{"kind": "service", "name": "A b", "schema": 1}"#,
            "name: object \"A b\" is not valid",
        ),
        (
            r#"{"kind": "service", "name": "a", "shema": 1}"#,
            "unknown field `shema`",
        ),
        (
            r#"{"kind": "service", "name": "a", "schema": 9, "body": {}}"#,
            "schema: version 9 is not supported, allowed are 1 to 2",
        ),
        (
            r#"{"kind": "service", "name": "a", "schema": 2, "body": {"idempotnt": []}}"#,
            "did you mean `idempotent`?",
        ),
        (
            r#"{"kind": "model-group", "name": "a", "schema": 1, "body": {"model": "m", "ranks": 0}}"#,
            "model-group a: body.ranks: 0 is not allowed, allowed are 1 to 65535",
        ),
        (
            r#"{"kind": "organisation", "name": "a", "schema": 1, "body": {"weight": 2}}"#,
            "missing field `token_digests`",
        ),
        ("7", "invalid type"),
    ];
    for (record, expected) in cases {
        let error = error(record);
        assert!(error.starts_with("record 2: "), "{error}");
        assert!(error.contains(expected), "{error:?} lacks {expected:?}");
    }
}

#[test]
fn all_invalid_records_are_reported_together() {
    let problems = parse_records(r#"[{"kind": "x"}, {"kind": "y"}]"#).unwrap_err();
    assert_eq!(
        problems.iter().map(|p| p.record).collect::<Vec<_>>(),
        [1, 2]
    );
    assert_eq!(parse_records("{").unwrap_err()[0].record, 0);
}

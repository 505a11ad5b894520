//! All schema versions give the same body, and errors name what is allowed.

use egretstage_config::{RecordBody, RecordKind, read_body, write_newest_schema};
use egretstage_wire::{ChangeId, Envelope, KindName, ObjectName, Offset};
use serde_json::{Value, json};

fn envelope(kind: &str, schema: u16) -> Envelope {
    Envelope {
        id: ChangeId::try_from("id").unwrap(),
        kind: KindName::try_from(kind).unwrap(),
        name: ObjectName::try_from("booking").unwrap(),
        base: Offset(0),
        schema,
        removed: false,
    }
}

fn read(kind: &str, schema: u16, body: &Value) -> Result<RecordBody, String> {
    read_body(&envelope(kind, schema), body).map_err(|e| e.to_string())
}

#[test]
fn both_versions_of_a_service_give_the_same_body() {
    let first = json!({"repeatable": [
        {"method": "POST", "path_prefix": "/search"},
        {"method": "PUT", "path_prefix": "/search"},
    ]});
    let second = json!({"idempotent": [{"methods": ["POST", "PUT"], "path_prefix": "/search"}]});
    let body = read("service", 1, &first).unwrap();
    assert_eq!(read("service", 2, &second).unwrap(), body);
    assert_eq!(write_newest_schema(&body), second);
    assert_eq!(RecordKind::Service.newest_schema(), 2);
}

#[test]
fn each_version_refuses_the_fields_of_the_other() {
    let error = read("service", 2, &json!({"repeatable": []})).unwrap_err();
    assert!(error.contains("unknown field `repeatable`"), "{error}");
    assert!(read("service", 1, &json!({"idempotent": []})).is_err());
}

#[test]
fn errors_name_the_record_the_field_and_what_is_allowed() {
    let cases = [
        (
            "organisation",
            1,
            json!({"token_digest": []}),
            "did you mean `token_digests`?",
        ),
        (
            "organisation",
            1,
            json!({"token_digests": ["x"]}),
            "body.token_digests[0]: not a SHA-256",
        ),
        (
            "organisation",
            1,
            json!({"token_digests": [], "weight": -1.0}),
            "body.weight: -1 is not allowed",
        ),
        (
            "model-group",
            1,
            json!({"model": "m", "ranks": 0}),
            "body.ranks: 0 is not allowed",
        ),
        ("model-group", 1, json!({"model": "M!"}), "body.model: "),
        (
            "service",
            2,
            json!({"idempotent": [{"methods": 3, "path_prefix": "/"}]}),
            "body.idempotent[0].methods: ",
        ),
        (
            "service",
            3,
            json!({}),
            "schema: version 3 is not supported, allowed are 1 to 2",
        ),
        ("servise", 1, json!({}), "did you mean service?"),
    ];
    for (kind, schema, body, expected) in cases {
        let error = read(kind, schema, &body).unwrap_err();
        assert!(error.contains(expected), "{error:?} lacks {expected:?}");
        assert!(error.starts_with(&format!("{kind} booking: ")), "{error}");
    }
}

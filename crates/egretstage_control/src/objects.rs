//! `get`, `history`, `diff` and `upgrade`.

use crate::FileRecord;
use crate::log_view::{FoldedRecord, LogView};
use crate::table::Table;
use compact_str::{CompactString, ToCompactString, format_compact};
use egretstage_config::{RecordKind, read_body, write_newest_schema};
use egretstage_wire::{KindName, ObjectName, ObjectState};
use serde::Serialize;
use serde_json::Value;

/// Which objects a command is about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// Their kind; all kinds if it is left out.
    pub kind: Option<KindName>,
    /// The name; all objects of the kind if it is left out.
    pub name: Option<ObjectName>,
}

impl Selection {
    fn covers(&self, kind: &KindName, name: &ObjectName) -> bool {
        self.kind.as_ref().is_none_or(|wanted| wanted == kind)
            && self.name.as_ref().is_none_or(|wanted| wanted == name)
    }
}

/// Returns the objects in force that a selection covers, by kind and name.
#[must_use]
pub fn get(view: &LogView<'_>, selection: &Selection) -> Vec<ObjectState> {
    let wanted = |object: &&ObjectState| {
        let envelope = &object.envelope;
        !envelope.removed && selection.covers(&envelope.kind, &envelope.name)
    };
    let mut objects: Vec<ObjectState> = view.fold().objects().filter(wanted).cloned().collect();
    objects.sort_by(|a, b| {
        let key = |o: &ObjectState| (o.envelope.kind.clone(), o.envelope.name.clone());
        key(a).cmp(&key(b))
    });
    objects
}

pub(crate) fn print_objects(objects: &[ObjectState]) {
    let mut table = Table::new(&["KIND", "NAME", "REVISION", "SCHEMA", "READABLE", "BODY"]);
    for object in objects {
        let envelope = &object.envelope;
        let readable = match read_body(envelope, &object.body) {
            Ok(_) => CompactString::from("yes"),
            Err(e) => format_compact!("no: {}", e.reason),
        };
        table.row(vec![
            envelope.kind.to_compact_string(),
            envelope.name.to_compact_string(),
            object.revision.0.to_compact_string(),
            envelope.schema.to_compact_string(),
            readable,
            object.body.to_compact_string(),
        ]);
    }
    table.print();
}

/// Keeps the records that a selection covers.
#[must_use]
pub fn history(records: Vec<FoldedRecord>, selection: &Selection) -> Vec<FoldedRecord> {
    let wanted = |held: &FoldedRecord| {
        let envelope = &held.record.envelope;
        selection.covers(&envelope.kind, &envelope.name)
    };
    records.into_iter().filter(wanted).collect()
}

pub(crate) fn print_history(records: &[FoldedRecord]) {
    let mut table = Table::new(&[
        "OFFSET", "KIND", "NAME", "VERDICT", "BASE", "SCHEMA", "BODY",
    ]);
    for held in records {
        let envelope = &held.record.envelope;
        let body = if envelope.removed {
            CompactString::from("removed")
        } else {
            held.record.body.to_compact_string()
        };
        table.row(vec![
            held.offset.0.to_compact_string(),
            envelope.kind.to_compact_string(),
            envelope.name.to_compact_string(),
            held.verdict.to_compact_string(),
            envelope.base.0.to_compact_string(),
            envelope.schema.to_compact_string(),
            body,
        ]);
    }
    table.print();
}

/// How a record in a file differs from the object in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Kind of the object.
    pub kind: KindName,
    /// Name of the object.
    pub name: ObjectName,
    /// Field that differs, `object` when the whole object is new or removed.
    pub field: CompactString,
    /// The value in force; null if there is none.
    pub in_force: Value,
    /// The file's value; null if there is none.
    pub in_file: Value,
}

/// Compares a file of records with what is in force.
#[must_use]
pub fn diff(view: &LogView<'_>, files: &[FileRecord]) -> Vec<Difference> {
    let mut differences = Vec::new();
    for file in files {
        let held = view.fold().object(&file.kind, &file.name);
        let held = held.filter(|object| !object.envelope.removed);
        let push = |field: CompactString, in_force: Value, in_file: Value| {
            differences.push(Difference {
                kind: file.kind.clone(),
                name: file.name.clone(),
                field,
                in_force,
                in_file,
            });
        };
        diff_one(held, file, push);
    }
    differences
}

fn diff_one(
    held: Option<&ObjectState>,
    file: &FileRecord,
    mut push: impl FnMut(CompactString, Value, Value),
) {
    match held {
        None if file.removed => {}
        None => push("object".into(), Value::Null, file.body.clone()),
        Some(held) if file.removed => push("object".into(), held.body.clone(), Value::Null),
        Some(held) => {
            if held.envelope.schema != file.schema {
                push(
                    "schema".into(),
                    held.envelope.schema.into(),
                    file.schema.into(),
                );
            }
            diff_values("body".into(), &held.body, &file.body, &mut push);
        }
    }
}

fn diff_values(
    path: CompactString,
    held: &Value,
    file: &Value,
    push: &mut impl FnMut(CompactString, Value, Value),
) {
    let (Value::Object(held_fields), Value::Object(file_fields)) = (held, file) else {
        if held != file {
            push(path, held.clone(), file.clone());
        }
        return;
    };
    let added = file_fields
        .keys()
        .filter(|key| !held_fields.contains_key(*key));
    for key in held_fields.keys().chain(added) {
        let of = |fields: &serde_json::Map<String, Value>| fields.get(key).cloned();
        let (held, file) = (of(held_fields), of(file_fields));
        let path = format_compact!("{path}.{key}");
        diff_values(
            path,
            &held.unwrap_or_default(),
            &file.unwrap_or_default(),
            push,
        );
    }
}

pub(crate) fn print_differences(differences: &[Difference]) {
    if differences.is_empty() {
        println!("no differences");
        return;
    }
    let mut table = Table::new(&["KIND", "NAME", "FIELD", "IN FORCE", "IN FILE"]);
    for difference in differences {
        table.row(vec![
            difference.kind.to_compact_string(),
            difference.name.to_compact_string(),
            difference.field.clone(),
            difference.in_force.to_compact_string(),
            difference.in_file.to_compact_string(),
        ]);
    }
    table.print();
}

/// Returns the records that rewrite older bodies to the newest schema.
///
/// Each replaces exactly the revision that it was made from.
#[must_use]
pub fn upgraded_records(view: &LogView<'_>) -> Vec<FileRecord> {
    let objects = view.fold().objects().filter(|o| !o.envelope.removed);
    objects.filter_map(upgraded_record).collect()
}

fn upgraded_record(object: &ObjectState) -> Option<FileRecord> {
    let envelope = &object.envelope;
    let newest = RecordKind::try_from(&envelope.kind).ok()?.newest_schema();
    if envelope.schema >= newest {
        return None;
    }
    let body = read_body(envelope, &object.body).ok()?;
    Some(FileRecord {
        kind: envelope.kind.clone(),
        name: envelope.name.clone(),
        schema: newest,
        base: Some(object.revision),
        removed: false,
        body: write_newest_schema(&body),
    })
}

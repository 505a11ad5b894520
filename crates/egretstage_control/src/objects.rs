//! The commands `get`, `history`, `diff` and `upgrade`.

use crate::FileRecord;
use crate::log_view::{FoldedRecord, LogView};
use crate::table::Table;
use compact_str::{CompactString, ToCompactString, format_compact};
use egretstage_config::{RecordKind, read_body, write_newest_schema};
use egretstage_wire::{KindName, ObjectName, ObjectState};
use serde::Serialize;
use serde_json::Value;

/// The objects that a command covers.
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

/// Returns the active objects that a selection covers, by kind and name.
#[must_use]
pub fn get(view: &LogView<'_>, selection: &Selection) -> Vec<ObjectState> {
    let is_selected = |object: &&ObjectState| {
        let envelope = &object.envelope;
        !envelope.removed && selection.covers(&envelope.kind, &envelope.name)
    };
    let mut objects: Vec<ObjectState> =
        view.fold().objects().filter(is_selected).cloned().collect();
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
        table.add_row(vec![
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

/// Returns the records that a selection covers.
#[must_use]
pub fn history(records: Vec<FoldedRecord>, selection: &Selection) -> Vec<FoldedRecord> {
    let is_selected = |folded: &FoldedRecord| {
        let envelope = &folded.record.envelope;
        selection.covers(&envelope.kind, &envelope.name)
    };
    records.into_iter().filter(is_selected).collect()
}

pub(crate) fn print_history(records: &[FoldedRecord]) {
    let mut table = Table::new(&[
        "OFFSET", "KIND", "NAME", "VERDICT", "BASE", "SCHEMA", "BODY",
    ]);
    for folded in records {
        let envelope = &folded.record.envelope;
        let body = if envelope.removed {
            CompactString::from("removed")
        } else {
            folded.record.body.to_compact_string()
        };
        table.add_row(vec![
            folded.offset.0.to_compact_string(),
            envelope.kind.to_compact_string(),
            envelope.name.to_compact_string(),
            folded.verdict.to_compact_string(),
            envelope.base.0.to_compact_string(),
            envelope.schema.to_compact_string(),
            body,
        ]);
    }
    table.print();
}

/// A difference between a record in a file and the active object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Kind of the object.
    pub kind: KindName,
    /// Name of the object.
    pub name: ObjectName,
    /// The field that differs; `object` if the whole object is new or removed.
    pub field: CompactString,
    /// The active value; null if there is none.
    pub in_force: Value,
    /// The file's value; null if there is none.
    pub in_file: Value,
}

/// Compares the records of a file with the active objects.
#[must_use]
pub fn diff(view: &LogView<'_>, records: &[FileRecord]) -> Vec<Difference> {
    let mut differences = Vec::new();
    for record in records {
        let active = view.fold().object(&record.kind, &record.name);
        let active = active.filter(|object| !object.envelope.removed);
        let add = |field: CompactString, in_force: Value, in_file: Value| {
            differences.push(Difference {
                kind: record.kind.clone(),
                name: record.name.clone(),
                field,
                in_force,
                in_file,
            });
        };
        diff_record(active, record, add);
    }
    differences
}

fn diff_record(
    active: Option<&ObjectState>,
    record: &FileRecord,
    mut add: impl FnMut(CompactString, Value, Value),
) {
    match active {
        None if record.removed => {}
        None => add("object".into(), Value::Null, record.body.clone()),
        Some(active) if record.removed => add("object".into(), active.body.clone(), Value::Null),
        Some(active) => {
            if active.envelope.schema != record.schema {
                add(
                    "schema".into(),
                    active.envelope.schema.into(),
                    record.schema.into(),
                );
            }
            diff_values("body".into(), &active.body, &record.body, &mut add);
        }
    }
}

fn diff_values(
    path: CompactString,
    active: &Value,
    file: &Value,
    add: &mut impl FnMut(CompactString, Value, Value),
) {
    let (Value::Object(active_fields), Value::Object(file_fields)) = (active, file) else {
        if active != file {
            add(path, active.clone(), file.clone());
        }
        return;
    };
    let added = file_fields
        .keys()
        .filter(|key| !active_fields.contains_key(*key));
    for key in active_fields.keys().chain(added) {
        let value_in = |fields: &serde_json::Map<String, Value>| fields.get(key).cloned();
        let (active, file) = (value_in(active_fields), value_in(file_fields));
        let path = format_compact!("{path}.{key}");
        diff_values(
            path,
            &active.unwrap_or_default(),
            &file.unwrap_or_default(),
            add,
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
        table.add_row(vec![
            difference.kind.to_compact_string(),
            difference.name.to_compact_string(),
            difference.field.clone(),
            difference.in_force.to_compact_string(),
            difference.in_file.to_compact_string(),
        ]);
    }
    table.print();
}

/// Returns records that rewrite older bodies to the newest schema version.
///
/// The base of each record is the revision that it was made from, so it never
/// overwrites a later change.
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

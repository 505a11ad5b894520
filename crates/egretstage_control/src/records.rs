//! Files of configuration records, written by operators.

use compact_str::{CompactString, ToCompactString, format_compact};
use egretstage_config::{
    Envelope, InvalidReason, InvalidRecord, Offset, Record, RecordBody, suggest,
};
use egretstage_wire::{ChangeId, KindName, ObjectName};
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// One record in an operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileRecord {
    /// Kind of the object.
    pub kind: KindName,
    /// Name of the object.
    pub name: ObjectName,
    /// Schema version of the body.
    pub schema: u16,
    /// Revision that the record replaces; the newest one if it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Offset>,
    /// Whether the object is removed.
    #[serde(default)]
    pub removed: bool,
    /// The object's settings.
    #[serde(default)]
    pub body: serde_json::Value,
}

impl FileRecord {
    /// Completes the record with an identity and, if it names no base, the
    /// newest revision.
    #[must_use]
    pub fn into_record(self, id: ChangeId, newest: Offset) -> Record {
        Record {
            envelope: Envelope {
                id,
                kind: self.kind,
                name: self.name,
                base: self.base.unwrap_or(newest),
                schema: self.schema,
                removed: self.removed,
            },
            body: self.body,
        }
    }

    fn check(&self) -> Result<(), InvalidRecord> {
        let id = ChangeId::try_from("check").expect("a valid id");
        let record = self.clone().into_record(id, Offset(0));
        if self.removed && self.body.is_null() {
            return Ok(());
        }
        RecordBody::try_from(&record).map(|_| ())
    }
}

/// A file of records that can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{path} can't be used")]
pub struct InvalidFile {
    path: CompactString,
    /// The problems, by record.
    #[related]
    pub problems: Vec<Problem>,
}

/// What is wrong with one record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("record {record}: {reason}")]
pub struct Problem {
    /// Position of the record in the file, counted from 1; 0 for the file.
    pub record: usize,
    /// The field, what is wrong and what is allowed.
    pub reason: CompactString,
}

/// Reads and checks a file of records, which is a JSON array.
///
/// # Errors
///
/// Returns an error that names each invalid record, the field and what is
/// allowed.
pub fn read_records(path: &Path) -> Result<Vec<FileRecord>, InvalidFile> {
    let invalid = |problems| InvalidFile {
        path: path.display().to_compact_string(),
        problems,
    };
    let invalid_file = |reason| invalid(vec![Problem { record: 0, reason }]);
    let text = std::fs::read_to_string(path).map_err(|e| invalid_file(format_compact!("{e}")))?;
    parse_records(&text).map_err(invalid)
}

/// Parses and checks the text of a file of records.
///
/// # Errors
///
/// Returns the problems, by record.
pub fn parse_records(text: &str) -> Result<Vec<FileRecord>, Vec<Problem>> {
    let values: Vec<serde_json::Value> = serde_json::from_str(text).map_err(|e| {
        let reason = format_compact!("not a JSON array of records: {e}");
        vec![Problem { record: 0, reason }]
    })?;
    let mut problems = Vec::new();
    let mut records = Vec::with_capacity(values.len());
    for (index, value) in values.into_iter().enumerate() {
        match parse_record(value) {
            Ok(record) => records.push(record),
            Err(reason) => problems.push(Problem {
                record: index + 1,
                reason,
            }),
        }
    }
    if problems.is_empty() {
        Ok(records)
    } else {
        Err(problems)
    }
}

fn parse_record(value: serde_json::Value) -> Result<FileRecord, CompactString> {
    let record: FileRecord = serde_path_to_error::deserialize(value).map_err(|e| {
        let field = e.path().to_compact_string();
        let reason = suggest::with_suggestion(&e.into_inner().to_string());
        format_compact!("{field}: {reason}")
    })?;
    record.check().map_err(|e| match e.reason {
        InvalidReason::UnknownKind(..) => format_compact!("{}: {}", record.name, e.reason),
        _ => format_compact!("{e}"),
    })?;
    Ok(record)
}

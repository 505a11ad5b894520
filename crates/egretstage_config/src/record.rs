//! Configuration records as they are stored on the log.

use crate::{RecordBody, RecordKind, schema, suggest};
use compact_str::CompactString;
use egretstage_wire::{Envelope, KindName, ObjectName};
use serde::{Deserialize, Serialize};

/// The log stream that holds configuration records.
pub const CONFIGURATION_STREAM: &str = "configuration";

/// A configuration record as it is stored on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The fields that alone decide whether the record is accepted.
    #[serde(flatten)]
    pub envelope: Envelope,
    /// The object's settings, in the shape of the envelope's schema version.
    #[serde(default)]
    pub body: serde_json::Value,
}

/// Parses and validates the body of a record.
///
/// Whether a record is accepted never depends on the result, so releases with
/// different readers accept the same changes.
pub type BodyReader = fn(&Envelope, &serde_json::Value) -> Result<RecordBody, InvalidRecord>;

/// A record that this release can't read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind} {name}: {reason}")]
pub struct InvalidRecord {
    /// Kind of the object.
    pub kind: KindName,
    /// Name of the object.
    pub name: ObjectName,
    /// Why it can't be read.
    pub reason: InvalidReason,
}

/// Why a record can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidReason {
    /// The kind isn't known to this release.
    #[error("kind: {0:?} is not known, allowed are {1}")]
    UnknownKind(CompactString, CompactString),
    /// The schema version is newer than this release reads.
    #[error("schema: version {schema} is not supported, allowed are 1 to {newest}")]
    UnsupportedSchema {
        /// The record's schema version.
        schema: u16,
        /// The newest version that this release reads.
        newest: u16,
    },
    /// The object's name isn't valid for its kind.
    #[error("name: {0}")]
    Name(CompactString),
    /// A field is missing, unknown or has a value that isn't allowed.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field, such as `body.weight`.
        field: CompactString,
        /// What is wrong and what is allowed.
        reason: CompactString,
    },
}

impl InvalidReason {
    pub(crate) fn field(field: &str, reason: &str) -> Self {
        Self::Field {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// Parses and validates a body in any schema version that this release
/// supports.
///
/// # Errors
///
/// Returns an error that names the record, the field and what is allowed.
pub fn read_body(
    envelope: &Envelope,
    body: &serde_json::Value,
) -> Result<RecordBody, InvalidRecord> {
    let invalid = |reason| InvalidRecord {
        kind: envelope.kind.clone(),
        name: envelope.name.clone(),
        reason,
    };
    let kind = RecordKind::try_from(&envelope.kind).map_err(|e| {
        let allowed = suggest::list_allowed(e.0.as_str(), RecordKind::names());
        invalid(InvalidReason::UnknownKind(e.0.into(), allowed))
    })?;
    schema::parse(kind, envelope.schema, &envelope.name, body).map_err(invalid)
}

impl TryFrom<&Record> for RecordBody {
    type Error = InvalidRecord;

    fn try_from(record: &Record) -> Result<Self, InvalidRecord> {
        read_body(&record.envelope, &record.body)
    }
}

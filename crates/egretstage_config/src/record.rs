//! The envelope of a configuration record, which decides its acceptance.

use crate::body::RecordBody;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// The log stream that holds configuration records.
pub const CONFIGURATION_STREAM: &str = "configuration";

/// Newest schema version of record bodies that this release reads.
pub const SCHEMA_VERSION: u16 = 1;

/// Position of a record in a log stream; the first is 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

/// Kind of the object that a record describes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RecordKind {
    /// A customer with its tokens and shares.
    Organisation,
    /// A plain service.
    Service,
    /// A group of ranks that serves one model.
    ModelGroup,
    /// Which organisation's work may run where.
    PlacementRule,
}

/// The part of a record that every release reads alike.
///
/// Acceptance depends on the envelope alone, so a node of an older release
/// accepts exactly what a newer one does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Unique identity of the change; a repeat is dropped.
    pub id: CompactString,
    /// Kind of the object.
    pub kind: RecordKind,
    /// Name of the object.
    pub name: CompactString,
    /// Offset of the accepted record that this one replaces; 0 for none.
    pub base: Offset,
    /// Schema version of the body.
    pub schema: u16,
    /// Whether the object is removed.
    #[serde(default)]
    pub removed: bool,
}

/// A configuration record as it stands on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The part that decides acceptance.
    #[serde(flatten)]
    pub envelope: Envelope,
    /// The object's settings, in the shape of the envelope's schema version.
    #[serde(default)]
    pub body: serde_json::Value,
}

/// Why a record can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRecord {
    /// The schema version is newer than this release reads.
    #[error("{kind} {name:?}: schema {schema} is not supported, allowed are 1 to {SCHEMA_VERSION}")]
    UnsupportedSchema {
        /// Kind of the object.
        kind: RecordKind,
        /// Name of the object.
        name: CompactString,
        /// The record's schema version.
        schema: u16,
    },
    /// A field is missing, unknown or has a value that isn't allowed.
    #[error("{kind} {name:?}: {reason}")]
    Body {
        /// Kind of the object.
        kind: RecordKind,
        /// Name of the object.
        name: CompactString,
        /// The field and what is allowed.
        reason: String,
    },
}

impl TryFrom<&Record> for RecordBody {
    type Error = InvalidRecord;

    fn try_from(record: &Record) -> Result<Self, InvalidRecord> {
        let Envelope {
            kind, name, schema, ..
        } = &record.envelope;
        if !(1..=SCHEMA_VERSION).contains(schema) {
            return Err(InvalidRecord::UnsupportedSchema {
                kind: *kind,
                name: name.clone(),
                schema: *schema,
            });
        }
        RecordBody::parse(*kind, name, &record.body).map_err(|reason| InvalidRecord::Body {
            kind: *kind,
            name: name.clone(),
            reason,
        })
    }
}

//! Publishes configuration records and finds out what became of them.

use compact_str::CompactString;
use egretstage_config::{
    CONFIGURATION_STREAM, ConfigurationFold, Envelope, Offset, Record, RecordBody, RecordKind,
    Verdict,
};
use egretstage_platform::{AppendLog, AppendRequest, PlatformError};
use miette::{IntoDiagnostic, WrapErr};
use serde::Deserialize;
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// One record in a file of the operator's.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordFile {
    /// Kind of the object.
    pub kind: RecordKind,
    /// Name of the object.
    pub name: CompactString,
    /// Schema version of the body.
    pub schema: u16,
    /// Revision that the record replaces; the newest one if it is left out.
    #[serde(default)]
    pub base: Option<Offset>,
    /// Whether the object is removed.
    #[serde(default)]
    pub removed: bool,
    /// The object's settings.
    #[serde(default)]
    pub body: serde_json::Value,
}

impl RecordFile {
    fn into_record(self, id: CompactString, newest: Offset) -> Record {
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
}

/// What became of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Kind of the object.
    pub kind: RecordKind,
    /// Name of the object.
    pub name: CompactString,
    /// Where the record stands on the log.
    pub offset: Offset,
    /// What every node makes of it.
    pub verdict: Verdict,
}

impl Applied {
    /// Tells whether another change came first.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        matches!(self.verdict, Verdict::Conflict { .. })
    }
}

impl fmt::Display for Applied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            name,
            offset,
            verdict,
        } = self;
        write!(f, "{kind} {name}: {verdict} at offset {}", offset.0)
    }
}

/// Why records couldn't be published.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The log can't be used.
    #[error(transparent)]
    Log(#[from] PlatformError),
    /// The record isn't on the log.
    #[error("the record of {0} can't be found on the log")]
    Missing(CompactString),
}

/// Reads and checks a file of records: a JSON array.
///
/// # Errors
///
/// Returns an error that names the record, the field and what is allowed.
pub fn read_records(path: &Path) -> miette::Result<Vec<RecordFile>> {
    let name = path.display();
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("can't read {name}"))?;
    let records: Vec<RecordFile> = serde_json::from_str(&text)
        .into_diagnostic()
        .wrap_err_with(|| format!("{name} is not an array of records"))?;
    for (index, record) in records.iter().enumerate() {
        let record = record.clone().into_record("check".into(), Offset(0));
        if !record.envelope.removed {
            RecordBody::try_from(&record)
                .into_diagnostic()
                .wrap_err_with(|| format!("{name}: record {}", index + 1))?;
        }
    }
    Ok(records)
}

/// Publishes records one by one and reads on until the fate of each is known.
///
/// # Errors
///
/// Returns an error when the log can't be used.
pub fn apply(log: &dyn AppendLog, records: &[RecordFile]) -> Result<Vec<Applied>, ApplyError> {
    let mut fold = ConfigurationFold::default();
    read_on(log, &mut fold, None)?;
    records
        .iter()
        .map(|record| publish(log, &mut fold, record.clone()))
        .collect()
}

fn publish(
    log: &dyn AppendLog,
    fold: &mut ConfigurationFold,
    file: RecordFile,
) -> Result<Applied, ApplyError> {
    let id = compact_str::format_compact!("{:032x}", rand::random::<u128>());
    let newest = fold.revision(file.kind, &file.name);
    let record = file.into_record(id.clone(), newest);
    let req = AppendRequest {
        id: id.clone(),
        data: serde_json::to_value(&record).expect("records are plain data"),
    };
    match log.append(CONFIGURATION_STREAM, &req) {
        Ok(_) | Err(PlatformError::NoAnswer { .. }) => {}
        Err(e) => return Err(e.into()),
    }
    let (offset, verdict) =
        read_on(log, fold, Some(&id))?.ok_or(ApplyError::Missing(record.envelope.name.clone()))?;
    Ok(Applied {
        kind: record.envelope.kind,
        name: record.envelope.name,
        offset,
        verdict,
    })
}

/// Folds what the log holds and returns the verdict on the record sought.
fn read_on(
    log: &dyn AppendLog,
    fold: &mut ConfigurationFold,
    sought: Option<&CompactString>,
) -> Result<Option<(Offset, Verdict)>, PlatformError> {
    let mut found = None;
    loop {
        let from = fold.offset().0 + 1;
        let page = log.read(CONFIGURATION_STREAM, from, Duration::ZERO)?;
        if page.records.is_empty() {
            return Ok(found);
        }
        for held in page.records {
            let Ok(record) = serde_json::from_value::<Record>(held.data) else {
                fold.skip(Offset(held.offset));
                continue;
            };
            let verdict = fold.apply(Offset(held.offset), &record);
            if sought == Some(&record.envelope.id) && found.is_none() {
                found = Some((Offset(held.offset), verdict));
            }
        }
    }
}

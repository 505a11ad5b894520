//! Publishes configuration records and determines their outcome.

use crate::FileRecord;
use crate::log_view::{FoldedRecord, LogView, ViewError};
use compact_str::format_compact;
use egretstage_config::{CONFIGURATION_STREAM, Offset, Record, Verdict};
use egretstage_platform::{AppendRequest, PlatformError};
use egretstage_wire::{ChangeId, KindName, ObjectName};
use serde::Serialize;
use std::fmt;
use std::time::{Duration, Instant};

/// How publishing is retried while a record's outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Time after which publishing is no longer retried.
    pub timeout: Duration,
    /// Pause between two attempts.
    pub delay: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(20),
            delay: Duration::from_millis(200),
        }
    }
}

/// Outcome of applying one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ApplyReport {
    /// Kind of the object.
    pub kind: KindName,
    /// Name of the object.
    pub name: ObjectName,
    /// Identity of the change; none if nothing was published.
    pub id: Option<ChangeId>,
    /// The outcome, which is the same at every node.
    pub fate: ApplyOutcome,
}

/// Outcome of a record, which is the same at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyOutcome {
    /// It is active from an offset on.
    Accepted {
        /// The offset, which is the object's revision.
        revision: Offset,
    },
    /// The object already had these settings; nothing was published.
    Unchanged {
        /// The object's revision.
        revision: Offset,
    },
    /// Another change came first.
    Conflict {
        /// The revision that the record would have replaced.
        base: Offset,
        /// The object's revision.
        current: Offset,
    },
    /// The log didn't answer; the record may still take effect.
    Unknown,
}

impl fmt::Display for ApplyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: ", self.kind, self.name)?;
        match self.fate {
            ApplyOutcome::Accepted { revision } => write!(f, "accepted at offset {}", revision.0),
            ApplyOutcome::Unchanged { revision } => {
                write!(f, "unchanged, accepted before at offset {}", revision.0)
            }
            ApplyOutcome::Conflict { base, current } => write!(
                f,
                "conflict: another change came first; the current revision is {}, the record replaces {}",
                current.0, base.0
            ),
            ApplyOutcome::Unknown => f.write_str(
                "unknown: the log did not answer; apply the same file again to find out, which does no harm",
            ),
        }
    }
}

/// Why a record couldn't be published.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The log can't be read.
    #[error(transparent)]
    View(#[from] ViewError),
    /// The log refused the record, which has no effect.
    #[error("{kind} {name} was not published: {source}")]
    Refused {
        /// Kind of the object.
        kind: KindName,
        /// Name of the object.
        name: ObjectName,
        /// Why the log refused it.
        source: PlatformError,
    },
}

/// Publishes one record and reads the log until its outcome is known.
///
/// All attempts use the same identity, so that the record takes effect at most
/// once.
///
/// # Errors
///
/// Returns an error when the log still refuses the record at the end of the
/// retries.
pub fn publish(
    view: &mut LogView<'_>,
    file_record: FileRecord,
    retry: RetryPolicy,
) -> Result<ApplyReport, ApplyError> {
    let newest = view.fold().revision(&file_record.kind, &file_record.name);
    if let Some(report) = report_unchanged(view, &file_record) {
        return Ok(report);
    }
    let record = file_record.into_record(new_change_id(), newest);
    if record.envelope.base > view.fold().offset() {
        return Ok(ApplyReport {
            fate: ApplyOutcome::Conflict {
                base: record.envelope.base,
                current: newest,
            },
            kind: record.envelope.kind,
            name: record.envelope.name,
            id: None,
        });
    }
    let mut publication = Publication {
        record: &record,
        may_be_published: false,
        deadline: Instant::now() + retry.timeout,
        delay: retry.delay,
    };
    let fate = publication.run(view)?;
    Ok(ApplyReport {
        kind: record.envelope.kind,
        name: record.envelope.name,
        id: Some(record.envelope.id),
        fate,
    })
}

/// Returns a report if a record without a base equals the object as it is.
fn report_unchanged(view: &LogView<'_>, file_record: &FileRecord) -> Option<ApplyReport> {
    let current = view.fold().object(&file_record.kind, &file_record.name)?;
    let is_same_body = file_record.removed || current.body == file_record.body;
    let envelope = &current.envelope;
    let is_same = envelope.removed == file_record.removed
        && is_same_body
        && envelope.schema == file_record.schema;
    (file_record.base.is_none() && is_same).then(|| ApplyReport {
        kind: file_record.kind.clone(),
        name: file_record.name.clone(),
        id: None,
        fate: ApplyOutcome::Unchanged {
            revision: current.revision,
        },
    })
}

fn new_change_id() -> ChangeId {
    let text = format_compact!("{:032x}", rand::random::<u128>());
    ChangeId::try_from(text).expect("hexadecimal digits are a valid id")
}

/// Attempts to publish one record until its outcome is known or the retries end.
struct Publication<'a> {
    record: &'a Record,
    may_be_published: bool,
    deadline: Instant,
    delay: Duration,
}

impl Publication<'_> {
    fn run(&mut self, view: &mut LogView<'_>) -> Result<ApplyOutcome, ApplyError> {
        let req = AppendRequest {
            id: self.record.envelope.id.as_str().into(),
            data: serde_json::to_value(self.record).expect("a record can be serialised"),
        };
        loop {
            match view.log().append(CONFIGURATION_STREAM, &req) {
                Ok(_)
                | Err(
                    PlatformError::NoAnswer { .. }
                    | PlatformError::StaleEra { .. }
                    | PlatformError::Malformed { .. },
                ) => {
                    self.may_be_published = true;
                }
                Err(source) if self.is_timed_out() && !self.may_be_published => {
                    return Err(self.refused_error(source));
                }
                Err(PlatformError::Refused { .. }) => {}
            }
            if self.may_be_published
                && let Ok(folded) = view.read_new()
                && let Some(outcome) = self.find_outcome(view, &folded)
            {
                return Ok(outcome);
            }
            if self.is_timed_out() && self.may_be_published {
                return Ok(ApplyOutcome::Unknown);
            }
            std::thread::sleep(self.delay);
        }
    }

    fn is_timed_out(&self) -> bool {
        self.deadline <= Instant::now()
    }

    fn refused_error(&self, source: PlatformError) -> ApplyError {
        ApplyError::Refused {
            kind: self.record.envelope.kind.clone(),
            name: self.record.envelope.name.clone(),
            source,
        }
    }

    /// Returns the record's outcome, which its first occurrence on the log
    /// decides; none if it was not found.
    fn find_outcome(&self, view: &LogView<'_>, folded: &[FoldedRecord]) -> Option<ApplyOutcome> {
        let envelope = &self.record.envelope;
        let own_record = folded
            .iter()
            .find(|candidate| candidate.record.envelope.id == envelope.id);
        if let Some(own_record) = own_record {
            return Some(match own_record.verdict {
                Verdict::Conflict { current } => ApplyOutcome::Conflict {
                    base: envelope.base,
                    current,
                },
                Verdict::Accepted | Verdict::Repeated | Verdict::OutOfOrder => {
                    ApplyOutcome::Accepted {
                        revision: own_record.offset,
                    }
                }
            });
        }
        let object = view.fold().object(&envelope.kind, &envelope.name)?;
        (object.envelope.id == envelope.id).then_some(ApplyOutcome::Accepted {
            revision: object.revision,
        })
    }
}

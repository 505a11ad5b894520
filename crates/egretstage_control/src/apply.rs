//! Publishes configuration records and finds out what became of them.

use crate::RecordFile;
use crate::log_view::{FoldedRecord, LogView, ViewError};
use compact_str::format_compact;
use egretstage_config::{CONFIGURATION_STREAM, Offset, Record, Verdict};
use egretstage_platform::{AppendRequest, PlatformError};
use egretstage_wire::{ChangeId, KindName, ObjectName};
use serde::Serialize;
use std::fmt;
use std::time::{Duration, Instant};

/// How long a record whose fate isn't known is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Longest time.
    pub patience: Duration,
    /// Pause between two tries.
    pub delay: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            patience: Duration::from_secs(20),
            delay: Duration::from_millis(200),
        }
    }
}

/// What became of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Applied {
    /// Kind of the object.
    pub kind: KindName,
    /// Name of the object.
    pub name: ObjectName,
    /// Identity of the change; none if nothing was published.
    pub id: Option<ChangeId>,
    /// What every node makes of it.
    pub fate: Fate,
}

/// What every node makes of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fate {
    /// It is in force from an offset on.
    Accepted {
        /// The offset, which is the object's revision.
        revision: Offset,
    },
    /// The object had these settings before; nothing was published.
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
    /// The log can't be read; the record may come into force.
    Unknown,
}

impl fmt::Display for Applied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: ", self.kind, self.name)?;
        match self.fate {
            Fate::Accepted { revision } => write!(f, "accepted at offset {}", revision.0),
            Fate::Unchanged { revision } => {
                write!(f, "unchanged, accepted before at offset {}", revision.0)
            }
            Fate::Conflict { base, current } => write!(
                f,
                "conflict: another change came first; the current revision is {}, the record replaces {}",
                current.0, base.0
            ),
            Fate::Unknown => f.write_str(
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
    /// The log refused the record; it took no effect.
    #[error("{kind} {name} was not published: {source}")]
    Refused {
        /// Kind of the object.
        kind: KindName,
        /// Name of the object.
        name: ObjectName,
        /// Why.
        source: PlatformError,
    },
}

/// Publishes one record and reads on until its fate is known.
///
/// The record keeps its identity through all tries, so that it takes effect at
/// most once.
///
/// # Errors
///
/// Returns an error when the log refuses the record for good.
pub fn publish(
    view: &mut LogView<'_>,
    file: RecordFile,
    retry: RetryPolicy,
) -> Result<Applied, ApplyError> {
    let newest = view.fold().revision(&file.kind, &file.name);
    if let Some(applied) = unchanged(view, &file) {
        return Ok(applied);
    }
    let record = file.into_record(new_id(), newest);
    if record.envelope.base > view.fold().offset() {
        return Ok(Applied {
            fate: Fate::Conflict {
                base: record.envelope.base,
                current: newest,
            },
            kind: record.envelope.kind,
            name: record.envelope.name,
            id: None,
        });
    }
    let mut attempt = Attempt {
        record: &record,
        may_be_published: false,
        deadline: Instant::now() + retry.patience,
        delay: retry.delay,
    };
    let fate = attempt.run(view)?;
    Ok(Applied {
        kind: record.envelope.kind,
        name: record.envelope.name,
        id: Some(record.envelope.id),
        fate,
    })
}

/// Tells whether a record without a base asks for what is in force.
fn unchanged(view: &LogView<'_>, file: &RecordFile) -> Option<Applied> {
    let held = view.fold().object(&file.kind, &file.name)?;
    let same_body = file.removed || held.body == file.body;
    let envelope = &held.envelope;
    let same = envelope.removed == file.removed && same_body && envelope.schema == file.schema;
    (file.base.is_none() && same).then(|| Applied {
        kind: file.kind.clone(),
        name: file.name.clone(),
        id: None,
        fate: Fate::Unchanged {
            revision: held.revision,
        },
    })
}

fn new_id() -> ChangeId {
    let text = format_compact!("{:032x}", rand::random::<u128>());
    ChangeId::try_from(text).expect("hexadecimal digits are valid")
}

/// The tries to publish one record.
struct Attempt<'a> {
    record: &'a Record,
    may_be_published: bool,
    deadline: Instant,
    delay: Duration,
}

impl Attempt<'_> {
    fn run(&mut self, view: &mut LogView<'_>) -> Result<Fate, ApplyError> {
        let req = AppendRequest {
            id: self.record.envelope.id.as_str().into(),
            data: serde_json::to_value(self.record).expect("records are plain data"),
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
                Err(source) if self.is_over() && !self.may_be_published => {
                    return Err(self.refused(source));
                }
                Err(PlatformError::Refused { .. }) => {}
            }
            if self.may_be_published
                && let Ok(folded) = view.read_on()
                && let Some(fate) = self.find(view, &folded)
            {
                return Ok(fate);
            }
            if self.is_over() && self.may_be_published {
                return Ok(Fate::Unknown);
            }
            std::thread::sleep(self.delay);
        }
    }

    fn is_over(&self) -> bool {
        self.deadline <= Instant::now()
    }

    fn refused(&self, source: PlatformError) -> ApplyError {
        ApplyError::Refused {
            kind: self.record.envelope.kind.clone(),
            name: self.record.envelope.name.clone(),
            source,
        }
    }

    /// Finds the record's fate; its first place on the log decides.
    fn find(&self, view: &LogView<'_>, folded: &[FoldedRecord]) -> Option<Fate> {
        let envelope = &self.record.envelope;
        let own = folded
            .iter()
            .find(|held| held.record.envelope.id == envelope.id);
        if let Some(held) = own {
            return Some(match held.verdict {
                Verdict::Conflict { current } => Fate::Conflict {
                    base: envelope.base,
                    current,
                },
                Verdict::Accepted | Verdict::Repeated | Verdict::OutOfOrder => Fate::Accepted {
                    revision: held.offset,
                },
            });
        }
        let object = view.fold().object(&envelope.kind, &envelope.name)?;
        (object.envelope.id == envelope.id).then_some(Fate::Accepted {
            revision: object.revision,
        })
    }
}

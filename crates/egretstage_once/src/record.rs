//! The records of a service's stream on the log.

use crate::KeyDigest;
use compact_str::{CompactString, format_compact};
use egretstage_wire::{Epoch, Member, ServiceName};
use serde::{Deserialize, Serialize};
use strum::Display;

/// Returns the log stream that holds the owners of a service.
#[must_use]
pub fn owners_stream(service: &ServiceName) -> CompactString {
    format_compact!("owners-{service}")
}

/// One record of a service's owners stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnersRecord {
    /// Unique identity of the record.
    pub id: CompactString,
    /// The member that the record is about.
    pub member: Member,
    /// The epoch that the writer saw; a change is accepted only on top of it.
    pub base: Epoch,
    /// The newest epoch that is older than an embargo by the writer's clock.
    pub settled: Epoch,
    /// What the record does.
    pub action: OwnersAction,
}

/// What a record does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OwnersAction {
    /// The member owns keys from now on; an earlier start of its instance is
    /// replaced.
    Join,
    /// The member stops as planned.
    Leave,
    /// The member is believed dead.
    Remove,
    /// The member lists the keys that it may have run and doesn't own.
    Handover(Handover),
    /// The members as they are, put on the log again before they expire.
    Refresh(Vec<Member>),
}

/// A part of the list of keys that a member may have run and doesn't own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The epoch up to which the list is complete; none when the member will
    /// own no more keys.
    pub covers: Option<Epoch>,
    /// The member's count of its lists.
    pub list: u32,
    /// This part, counted from 0.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// The keys.
    pub keys: Vec<KeyDigest>,
}

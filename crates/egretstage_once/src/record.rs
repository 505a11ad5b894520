//! The records of a service's owners stream on the log.

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
    /// Unique identifier of the record.
    pub id: CompactString,
    /// The member that the record concerns.
    pub member: Member,
    /// The current epoch as the writer saw it; a change is accepted only while
    /// this epoch is still the current one.
    pub base: Epoch,
    /// The newest epoch that began at least an embargo ago by the writer's clock;
    /// owners before it no longer matter.
    pub settled: Epoch,
    /// The change or list that the record carries.
    pub action: OwnersAction,
}

/// The change or list that an owners record carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OwnersAction {
    /// The member joins the owners and replaces an earlier incarnation of its
    /// instance.
    Join,
    /// The member leaves in a planned stop.
    Leave,
    /// The member is removed because it is assumed to have failed.
    Remove,
    /// The member lists the keys that it may have run but doesn't own.
    Handover(Handover),
    /// The unchanged members, appended again before the log drops the records
    /// that hold them.
    Refresh(Vec<Member>),
}

/// A part of the list of keys that a member may have run but doesn't own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The epoch up to which the list is complete; none if the member takes no
    /// more keys, so that the list covers every epoch.
    pub covers: Option<Epoch>,
    /// Number of the list among the member's lists; a higher one replaces a
    /// lower one.
    pub list: u32,
    /// Number of this part, counted from 0.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// Digests of the keys in this part.
    pub keys: Vec<KeyDigest>,
}

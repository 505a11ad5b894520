//! The fields of load reports for limits and starts.

use crate::peers::hash32;
use crate::{CallRate, UpstreamStart};
use egretstage_wire::InstanceId;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Identifies one start of an entry in load reports: a hash of its name and its
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct EntryStart(u32);

impl EntryStart {
    pub(super) fn new(entry: &InstanceId, incarnation: u64) -> Self {
        let mut bytes = entry.as_str().as_bytes().to_vec();
        bytes.extend(incarnation.to_be_bytes());
        Self(hash32(&bytes))
    }
}

/// What an entry reports of upstreams with limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Whether the entry may distribute starts.
    #[serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) hands_out: bool,
    /// What upstreams named last.
    #[serde(rename = "l", default, skip_serializing_if = "SmallVec::is_empty")]
    pub(super) limits: SmallVec<[ReportedLimit; 0]>,
    /// The starts that the entry has handed out and that haven't expired.
    #[serde(rename = "g", default, skip_serializing_if = "SmallVec::is_empty")]
    pub(super) grants: SmallVec<[StartGrant; 0]>,
}

impl LimitReport {
    /// Returns whether there is nothing to report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.hands_out && self.limits.is_empty() && self.grants.is_empty()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ReportedLimit {
    #[serde(rename = "u")]
    pub(super) upstream: UpstreamStart,
    /// The limit, `None` if the upstream has named none since.
    #[serde(rename = "r")]
    pub(super) rate: Option<CallRate>,
    /// Age of the answer that named it, in milliseconds.
    #[serde(rename = "a")]
    pub(super) age_ms: u32,
    /// Calls that the entry could send there.
    #[serde(rename = "d")]
    pub(super) demand: u32,
}

/// Starts that an entry hands out to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StartGrant {
    #[serde(rename = "e")]
    pub(super) entry: EntryStart,
    #[serde(rename = "u")]
    pub(super) upstream: UpstreamStart,
    /// Number of the grant among those of the distributor, in ascending order.
    #[serde(rename = "n")]
    pub(super) number: u32,
    /// Number of starts.
    #[serde(rename = "c")]
    pub(super) count: u32,
    /// Age in milliseconds.
    #[serde(rename = "a")]
    pub(super) age_ms: u32,
}

//! Load reports that the entries exchange.
//!
//! Load pattern: several entries share the upstreams of a service. Without the
//! counts of the others, all would fill the same upstream, and the bound of a
//! group would apply to each entry separately.

use crate::{LimitReport, ListedUpstream, RequestReport, SuspectReport, ZoneSet};
use egretstage_wire::{InstanceId, ZoneName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age at which an entry's report no longer counts: several reports were lost,
/// or the entry has failed and its callers have left.
pub(crate) const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

/// Identifies an upstream in load reports: a four-byte hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamTag(u32);

impl From<&InstanceId> for UpstreamTag {
    fn from(instance: &InstanceId) -> Self {
        Self(hash32(instance.as_str().as_bytes()))
    }
}

/// Identifies one start of an upstream in load reports: a hash of its name and the time of
/// its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamStart(u32);

impl UpstreamStart {
    /// Returns the bytes of the tag.
    pub(crate) fn to_bytes(self) -> [u8; 4] {
        self.0.to_be_bytes()
    }
}

impl From<&ListedUpstream> for UpstreamStart {
    fn from(upstream: &ListedUpstream) -> Self {
        let mut bytes = upstream.instance.as_str().as_bytes().to_vec();
        bytes.extend(upstream.started_ms.unwrap_or(0).to_be_bytes());
        Self(hash32(&bytes))
    }
}

/// Identifies an availability zone in load reports: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ZoneTag(u32);

impl From<&ZoneName> for ZoneTag {
    fn from(zone: &ZoneName) -> Self {
        Self(hash32(zone.as_str().as_bytes()))
    }
}

/// Returns the upper half of a hash, which fits into the rows of reports.
pub(crate) fn hash32(bytes: &[u8]) -> u32 {
    u32::try_from(rapidhash::v3::rapidhash_v3(bytes) >> 32).unwrap_or(u32::MAX)
}

/// An entry's calls at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// Calls that it runs for the entry.
    pub calls: u16,
}

/// Size of one upstream's load in a report: a tag and a count.
const ROW_BYTES: usize = 6;

/// An entry's calls at the upstreams that it uses, packed into bytes because a
/// report goes to all other entries many times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamLoads(#[serde(with = "serde_bytes")] Vec<u8>);

impl FromIterator<UpstreamLoad> for UpstreamLoads {
    fn from_iter<I: IntoIterator<Item = UpstreamLoad>>(loads: I) -> Self {
        let mut bytes = Vec::new();
        for UpstreamLoad { upstream, calls } in loads {
            bytes.extend(upstream.0.to_be_bytes());
            bytes.extend(calls.to_be_bytes());
        }
        Self(bytes)
    }
}

impl UpstreamLoads {
    /// Returns an iterator over the loads.
    pub fn iter(&self) -> impl Iterator<Item = UpstreamLoad> + '_ {
        self.0.chunks_exact(ROW_BYTES).filter_map(|row| {
            let (tag, calls) = row.split_first_chunk()?;
            Some(UpstreamLoad {
                upstream: UpstreamTag(u32::from_be_bytes(*tag)),
                calls: u16::from_be_bytes(*calls.first_chunk()?),
            })
        })
    }
}

/// Load that an entry reports to the other entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The entry.
    #[serde(rename = "e")]
    pub entry: InstanceId,
    /// Random number that each start of the entry draws.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Sequence number of the report within this start.
    #[serde(rename = "n")]
    pub number: u64,
    /// Version of the active configuration at the entry, 0 for none.
    #[serde(rename = "v")]
    pub configuration: u64,
    /// Its calls at the upstreams that it uses.
    #[serde(rename = "l")]
    pub loads: UpstreamLoads,
    /// Costs of streams that it has recently observed at model groups.
    #[serde(rename = "g", default)]
    pub costs: SmallVec<[GroupCost; 4]>,
    /// Prompt parts that it suspects of ending upstreams. Entries of older releases
    /// neither send nor read it.
    #[serde(rename = "p", default, skip_serializing_if = "SuspectReport::is_empty")]
    pub suspects: SuspectReport,
    /// Requests that it suspects of ending upstreams. Entries of older releases neither send
    /// nor read it.
    #[serde(rename = "q", default, skip_serializing_if = "RequestReport::is_empty")]
    pub requests: RequestReport,
    /// Limits of upstreams, and starts at them. Entries of older releases neither send nor
    /// read it.
    #[serde(rename = "t", default, skip_serializing_if = "LimitReport::is_empty")]
    pub limits: LimitReport,
    /// The evacuated zones, if any zone is known to have been evacuated. Entries of older
    /// releases neither send nor read it.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<ZoneSet>,
    /// The entry's availability zone, if calls between zones have a cost. Entries of older
    /// releases neither send nor read it.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneTag>,
}

/// Identifies a model group in load reports: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupTag(u32);

impl From<&str> for GroupTag {
    fn from(group: &str) -> Self {
        Self(hash32(group.as_bytes()))
    }
}

/// Cost of a stream of a model group, as an entry has recently observed it, in
/// milliseconds for one event.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupCost(pub GroupTag, pub f32);

impl Eq for GroupCost {}

/// Sum of a value that other entries report, and the number of these entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerSum {
    /// Sum of the reported values.
    pub sum: f32,
    /// Number of entries that report the value.
    pub entries: u16,
}

impl PeerSum {
    /// Returns the mean of the reported values and this entry's own, if there is
    /// any.
    #[must_use]
    pub fn mean_with(self, own: Option<f32>) -> Option<f32> {
        let entries = self.entries + u16::from(own.is_some());
        (entries > 0).then(|| (self.sum + own.unwrap_or(0.0)) / f32::from(entries))
    }
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    report: LoadReport,
    received_at: Instant,
}

/// The newest report of each other entry, and the calls that they add up to.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    reports: HashMap<InstanceId, ReceivedReport>,
    /// Calls at each upstream, summed over all reports.
    calls: HashMap<UpstreamTag, u32>,
}

/// Upstreams whose calls have changed.
pub type ChangedUpstreams = SmallVec<[UpstreamTag; 32]>;

impl PeerLoads {
    /// Applies a report; returns the upstreams whose calls it changes.
    ///
    /// A report that isn't newer than the stored one is ignored.
    pub fn apply_report(&mut self, now: Instant, report: LoadReport) -> ChangedUpstreams {
        if self.is_outdated(&report) {
            return ChangedUpstreams::new();
        }
        let entry = report.entry.clone();
        let loads = report.loads.clone();
        let received_at = now;
        let previous = self.reports.insert(
            entry,
            ReceivedReport {
                report,
                received_at,
            },
        );
        let previous = previous.map(|last| last.report.loads).unwrap_or_default();
        self.replace_loads(&previous, &loads)
    }

    /// Returns whether a report isn't newer than the stored one of its entry.
    #[must_use]
    pub fn is_outdated(&self, report: &LoadReport) -> bool {
        self.reports.get(&report.entry).is_some_and(|last| {
            last.report.incarnation == report.incarnation && last.report.number >= report.number
        })
    }

    /// Removes expired reports; returns the upstreams whose calls have changed.
    pub fn remove_expired(&mut self, now: Instant) -> ChangedUpstreams {
        let is_expired = |last: &ReceivedReport| {
            now.saturating_duration_since(last.received_at) >= REPORT_LIFETIME
        };
        let expired: Vec<ReceivedReport> = self
            .reports
            .extract_if(|_, last| is_expired(last))
            .map(|(_, last)| last)
            .collect();
        let none = UpstreamLoads::default();
        let expired = expired.iter();
        expired
            .flat_map(|last| self.replace_loads(&last.report.loads, &none))
            .collect()
    }

    /// Replaces an entry's previous loads in the sums.
    fn replace_loads(
        &mut self,
        previous: &UpstreamLoads,
        loads: &UpstreamLoads,
    ) -> ChangedUpstreams {
        if previous == loads {
            return ChangedUpstreams::new();
        }
        let mut changed = ChangedUpstreams::new();
        for UpstreamLoad { upstream, calls } in loads.iter() {
            *self.calls.entry(upstream).or_default() += u32::from(calls);
            changed.push(upstream);
        }
        for UpstreamLoad { upstream, calls } in previous.iter() {
            if let Some(sum) = self.calls.get_mut(&upstream) {
                *sum = sum.saturating_sub(u32::from(calls));
                if *sum == 0 {
                    self.calls.remove(&upstream);
                }
            }
            changed.push(upstream);
        }
        changed
    }

    /// Returns the sum of the costs that the other entries report for a group's
    /// streams.
    #[must_use]
    pub fn group_cost(&self, group: GroupTag) -> PeerSum {
        let costs = self.reports.values().flat_map(|last| &last.report.costs);
        let of_group = costs.filter(|GroupCost(tag, cost)| *tag == group && cost.is_finite());
        of_group.fold(PeerSum::default(), |sum, GroupCost(_, cost)| PeerSum {
            sum: sum.sum + cost,
            entries: sum.entries.saturating_add(1),
        })
    }

    /// Returns the calls of the other entries at an upstream.
    #[must_use]
    pub fn calls_at(&self, upstream: UpstreamTag) -> u32 {
        self.calls.get(&upstream).copied().unwrap_or(0)
    }

    /// Returns the loads of the other entries, each with the entry's zone.
    pub fn loads(&self) -> impl Iterator<Item = (Option<ZoneTag>, UpstreamLoad)> + '_ {
        let reports = self.reports.values().map(|last| &last.report);
        reports.flat_map(|report| report.loads.iter().map(|load| (report.zone, load)))
    }

    /// Returns the number of other entries with a report that counts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether no other entry has a report that counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the age of the oldest report that counts.
    #[must_use]
    pub fn oldest_age(&self, now: Instant) -> Option<Duration> {
        let ages = self.reports.values();
        ages.map(|last| now.saturating_duration_since(last.received_at))
            .max()
    }
}

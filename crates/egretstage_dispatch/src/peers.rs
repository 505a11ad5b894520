//! What the entries tell each other of their load.
//!
//! Load pattern: several entries share the upstreams of a service. Without the
//! others' counts each would fill the same upstream, and the bound of a group
//! would hold for each entry by itself.

use egretstage_wire::InstanceId;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age at which an entry's report no longer counts: several reports were lost,
/// or the entry is gone and its callers with it.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

/// Names an upstream between entries in four bytes: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamTag(u32);

impl From<&InstanceId> for UpstreamTag {
    fn from(instance: &InstanceId) -> Self {
        let hash = rapidhash::v3::rapidhash_v3(instance.as_str().as_bytes());
        Self(u32::try_from(hash >> 32).unwrap_or(u32::MAX))
    }
}

/// An entry's calls at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// Calls that it runs for the entry.
    pub calls: u16,
}

/// Bytes of one upstream in a report.
const ROW_BYTES: usize = 6;

/// An entry's calls at the upstreams that it uses, packed: a report goes to
/// all other entries many times a second.
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
    /// Returns the loads.
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

/// An entry's load, as it tells it to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The entry.
    #[serde(rename = "e")]
    pub entry: InstanceId,
    /// Random for each start of the entry.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Counts the reports of this start.
    #[serde(rename = "n")]
    pub number: u64,
    /// Version of the configuration in force at the entry, 0 for none.
    #[serde(rename = "v")]
    pub configuration: u64,
    /// Its calls at the upstreams that it uses.
    #[serde(rename = "l")]
    pub loads: UpstreamLoads,
    /// What it learnt of the model groups that run its streams.
    #[serde(rename = "g", default)]
    pub costs: SmallVec<[GroupCost; 4]>,
}

/// Names a model group between entries: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupTag(u32);

impl From<&str> for GroupTag {
    fn from(group: &str) -> Self {
        let hash = rapidhash::v3::rapidhash_v3(group.as_bytes());
        Self(u32::try_from(hash >> 32).unwrap_or(u32::MAX))
    }
}

/// What a stream of a model group costs, as an entry has seen it of late.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupCost(pub GroupTag, pub f32);

impl Eq for GroupCost {}

/// The sum of what other entries say of one figure, and how many say it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerSum {
    /// The sum.
    pub sum: f32,
    /// How many entries say something.
    pub entries: u16,
}

impl PeerSum {
    /// Returns the mean of what the others say and an own figure, if any of
    /// them is known.
    #[must_use]
    pub fn mean_with(self, own: Option<f32>) -> Option<f32> {
        let entries = self.entries + u16::from(own.is_some());
        (entries > 0).then(|| (self.sum + own.unwrap_or(0.0)) / f32::from(entries))
    }
}

#[derive(Clone, Debug)]
struct Held {
    report: LoadReport,
    received: Instant,
}

/// The newest report of each other entry, and what they add up to.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    held: HashMap<InstanceId, Held>,
    calls: HashMap<UpstreamTag, u32>,
}

/// The upstreams whose calls have changed.
pub type ChangedUpstreams = SmallVec<[UpstreamTag; 32]>;

impl PeerLoads {
    /// Takes in a report; returns the upstreams whose calls have changed by it.
    ///
    /// One that is older than what is held changes nothing.
    pub fn reported(&mut self, now: Instant, report: LoadReport) -> ChangedUpstreams {
        let older = self.held.get(&report.entry).is_some_and(|held| {
            held.report.incarnation == report.incarnation && held.report.number >= report.number
        });
        if older {
            return ChangedUpstreams::new();
        }
        let entry = report.entry.clone();
        let loads = report.loads.clone();
        let received = now;
        let before = self.held.insert(entry, Held { report, received });
        let before = before.map(|held| held.report.loads).unwrap_or_default();
        self.replace(&before, &loads)
    }

    /// Forgets the entries that are silent; returns the upstreams whose calls
    /// have changed.
    pub fn forget_silent(&mut self, now: Instant) -> ChangedUpstreams {
        let is_silent =
            |held: &Held| now.saturating_duration_since(held.received) >= REPORT_LIFETIME;
        let silent: Vec<Held> = self
            .held
            .extract_if(|_, held| is_silent(held))
            .map(|(_, held)| held)
            .collect();
        let none = UpstreamLoads::default();
        let gone = silent.iter();
        gone.flat_map(|held| self.replace(&held.report.loads, &none))
            .collect()
    }

    /// Counts an entry's loads instead of those that it had before.
    fn replace(&mut self, before: &UpstreamLoads, loads: &UpstreamLoads) -> ChangedUpstreams {
        if before == loads {
            return ChangedUpstreams::new();
        }
        let mut changed = ChangedUpstreams::new();
        for UpstreamLoad { upstream, calls } in loads.iter() {
            *self.calls.entry(upstream).or_default() += u32::from(calls);
            changed.push(upstream);
        }
        for UpstreamLoad { upstream, calls } in before.iter() {
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

    /// Returns what the other entries say that a group's stream costs.
    #[must_use]
    pub fn cost_of(&self, group: GroupTag) -> PeerSum {
        let costs = self.held.values().flat_map(|held| &held.report.costs);
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

    /// Returns how many other entries report.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no other entry reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the age of the oldest report that counts.
    #[must_use]
    pub fn oldest(&self, now: Instant) -> Option<Duration> {
        let ages = self.held.values();
        ages.map(|held| now.saturating_duration_since(held.received))
            .max()
    }
}

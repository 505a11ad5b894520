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

/// An entry's calls at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: InstanceId,
    /// Calls that it runs for the entry.
    #[serde(rename = "c")]
    pub calls: u32,
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
    pub loads: SmallVec<[UpstreamLoad; 16]>,
}

#[derive(Clone, Debug)]
struct Held {
    report: LoadReport,
    received: Instant,
}

/// The newest report of each other entry.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads(HashMap<InstanceId, Held>);

impl PeerLoads {
    /// Takes in a report; returns whether it is newer than what was held.
    pub fn reported(&mut self, now: Instant, report: LoadReport) -> bool {
        let older = self.0.get(&report.entry).is_some_and(|held| {
            held.report.incarnation == report.incarnation && held.report.number >= report.number
        });
        if !older {
            let entry = report.entry.clone();
            let received = now;
            self.0.insert(entry, Held { report, received });
        }
        !older
    }

    /// Forgets the entries that are silent; returns whether there were any.
    pub fn forget_silent(&mut self, now: Instant) -> bool {
        let known = self.0.len();
        self.0
            .retain(|_, held| now.saturating_duration_since(held.received) < REPORT_LIFETIME);
        self.0.len() < known
    }

    /// Returns the calls of the other entries at each upstream.
    #[must_use]
    pub fn calls(&self) -> HashMap<&InstanceId, u32> {
        let mut calls = HashMap::new();
        for load in self.0.values().flat_map(|held| &held.report.loads) {
            *calls.entry(&load.upstream).or_default() += load.calls;
        }
        calls
    }

    /// Returns how many other entries report.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Tells whether no other entry reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the age of the oldest report that counts.
    #[must_use]
    pub fn oldest(&self, now: Instant) -> Option<Duration> {
        let ages = self.0.values();
        ages.map(|held| now.saturating_duration_since(held.received))
            .max()
    }
}

//! Counts of the instance list that decide the size of a subset.

use egretstage_wire::{InstanceId, ServiceName, ZoneName};
use std::collections::BTreeMap;

/// A runner on the instance list.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamInstance<'a> {
    /// The companion's instance.
    pub instance: &'a InstanceId,
    /// Its zone.
    pub zone: &'a ZoneName,
    /// The service of its upstream.
    pub service: &'a ServiceName,
}

/// Live entries of each zone.
#[derive(Clone, Debug, Default)]
pub struct EntryCounts {
    entries: BTreeMap<ZoneName, usize>,
}

impl EntryCounts {
    /// Counts the zones of the listed entries.
    pub fn new<'a>(entry_zones: impl IntoIterator<Item = &'a ZoneName>) -> Self {
        let mut census = Self::default();
        for zone in entry_zones {
            *census.entries.entry(zone.clone()).or_default() += 1;
        }
        census
    }

    /// Returns the entries of a zone.
    #[must_use]
    pub fn in_zone(&self, zone: &ZoneName) -> usize {
        self.entries.get(zone).copied().unwrap_or(0)
    }

    /// Returns the entries of all zones.
    #[must_use]
    pub fn total(&self) -> usize {
        self.entries.values().sum()
    }
}

//! The parts of the instance list that determine an entry's subset.

use egretstage_wire::{InstanceId, ServiceName, ZoneName};
use std::collections::BTreeMap;

/// An upstream on the instance list, named by its companion.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamInstance<'a> {
    /// Instance id of the companion.
    pub instance: &'a InstanceId,
    /// Availability zone of the companion.
    pub zone: &'a ZoneName,
    /// Service that the upstream runs.
    pub service: &'a ServiceName,
}

/// Number of live entries in each availability zone.
#[derive(Clone, Debug, Default)]
pub struct EntryCounts {
    by_zone: BTreeMap<ZoneName, usize>,
}

impl EntryCounts {
    /// Counts entries, given the zone of each one.
    pub fn new<'a>(entry_zones: impl IntoIterator<Item = &'a ZoneName>) -> Self {
        let mut counts = Self::default();
        for zone in entry_zones {
            *counts.by_zone.entry(zone.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the number of entries in a zone.
    #[must_use]
    pub fn in_zone(&self, zone: &ZoneName) -> usize {
        self.by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Returns the number of entries in all zones.
    #[must_use]
    pub fn total(&self) -> usize {
        self.by_zone.values().sum()
    }
}

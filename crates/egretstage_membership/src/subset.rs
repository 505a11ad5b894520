//! Chooses the subset of upstreams that an entry keeps links to.

use crate::{EntryCounts, UpstreamInstance};
use egretstage_wire::{ServiceName, ZoneName};
use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};
use std::collections::BTreeMap;

/// Parameters that decide the size of an entry's subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetPolicy {
    /// Mean number of entries in its own zone that hold each upstream.
    pub entries_per_upstream: usize,
    /// Minimum number of upstreams of a service in the entry's own zone, if
    /// there are that many. If there are none, the minimum is divided among the
    /// other zones.
    pub min_upstreams: usize,
    /// Number of upstreams of a service in each other zone.
    pub per_other_zone: usize,
    /// Number of upstreams of a service up to which an entry takes all of them.
    pub whole_service_limit: usize,
    /// Maximum number of upstreams in each zone, for a service with more than
    /// `whole_service_limit` upstreams.
    pub max_per_service: usize,
}

impl Default for SubsetPolicy {
    fn default() -> Self {
        Self {
            entries_per_upstream: 16,
            min_upstreams: 16,
            per_other_zone: 1,
            whole_service_limit: 32,
            max_per_service: 256,
        }
    }
}

/// Seed that identifies an entry in the rendezvous hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntrySeed(pub u64);

impl SubsetPolicy {
    /// Returns how many of a service's upstreams in one zone an entry takes.
    fn upstream_count(&self, zone: &ServiceZone<'_>) -> usize {
        if zone.service_upstreams <= self.whole_service_limit {
            return zone.zone_upstreams;
        }
        let covering_entries = match (zone.is_own_zone, zone.zone_entries) {
            (true, zone_entries) => zone_entries.max(1),
            (false, 0) => zone.total_entries.max(1),
            (false, _) => return self.per_other_zone.min(zone.zone_upstreams),
        };
        let covering_count =
            (self.entries_per_upstream * zone.zone_upstreams).div_ceil(covering_entries);
        let min_count = if zone.is_own_zone {
            self.min_upstreams
        } else {
            self.per_other_zone
        };
        covering_count
            .max(min_count)
            .min(zone.zone_upstreams)
            .min(self.max_per_service)
    }
}

/// The upstreams of one service in one zone.
struct ServiceZone<'a> {
    is_own_zone: bool,
    zone_upstreams: usize,
    service_upstreams: usize,
    zone_entries: usize,
    total_entries: usize,
    /// Indexes into the list of all upstreams.
    indexes: &'a [usize],
}

/// Returns the indexes of the upstreams that an entry keeps links to, in
/// ascending order.
///
/// Each upstream is held by `entries_per_upstream` entries of its own zone on
/// average. An entry also takes `per_other_zone` upstreams from every other
/// zone, so that a placement rule that names a zone finds one. The entries of
/// all zones share the upstreams of a zone that has no entries. If the entry's
/// own zone has no upstream of a service, the other zones together provide at
/// least `min_upstreams`.
#[must_use]
pub fn choose_subset(
    policy: &SubsetPolicy,
    seed: EntrySeed,
    own_zone: &ZoneName,
    entry_counts: &EntryCounts,
    upstreams: &[UpstreamInstance<'_>],
) -> Vec<usize> {
    let mut chosen = Vec::new();
    for zones in group_by_service_and_zone(upstreams).values() {
        let service_upstreams = zones.values().map(Vec::len).sum();
        let has_own = zones.contains_key(own_zone);
        let min_per_zone = policy.min_upstreams.div_ceil(zones.len());
        let policy = SubsetPolicy {
            per_other_zone: if has_own {
                policy.per_other_zone
            } else {
                policy.per_other_zone.max(min_per_zone)
            },
            ..*policy
        };
        for (zone, indexes) in zones {
            let service_zone = ServiceZone {
                is_own_zone: *zone == own_zone,
                zone_upstreams: indexes.len(),
                service_upstreams,
                zone_entries: entry_counts.in_zone(zone),
                total_entries: entry_counts.total(),
                indexes,
            };
            chosen.extend(highest_scored(
                &service_zone,
                policy.upstream_count(&service_zone),
                seed,
                upstreams,
            ));
        }
    }
    chosen.sort_unstable();
    chosen
}

/// Indexes of the upstreams of each service in each zone.
type ByServiceAndZone<'a> = BTreeMap<&'a ServiceName, BTreeMap<&'a ZoneName, Vec<usize>>>;

fn group_by_service_and_zone<'a>(upstreams: &[UpstreamInstance<'a>]) -> ByServiceAndZone<'a> {
    let mut grouped = ByServiceAndZone::new();
    for (index, upstream) in upstreams.iter().enumerate() {
        let zones = grouped.entry(upstream.service).or_default();
        zones.entry(upstream.zone).or_default().push(index);
    }
    grouped
}

/// Returns the indexes of the `count` upstreams that score highest in the
/// entry's rendezvous hash.
fn highest_scored(
    zone: &ServiceZone<'_>,
    count: usize,
    seed: EntrySeed,
    upstreams: &[UpstreamInstance<'_>],
) -> Vec<usize> {
    if count == zone.indexes.len() {
        return zone.indexes.to_vec();
    }
    let secrets = RapidSecrets::seed(seed.0);
    let score = |index: usize| {
        let name = upstreams[index].instance.as_str();
        rapidhash_v3_seeded(name.as_bytes(), &secrets)
    };
    let mut scored: Vec<(u64, usize)> = zone.indexes.iter().map(|i| (score(*i), *i)).collect();
    if count < scored.len() {
        scored.select_nth_unstable_by(count, |a, b| b.cmp(a));
    }
    scored
        .into_iter()
        .take(count)
        .map(|(_, index)| index)
        .collect()
}

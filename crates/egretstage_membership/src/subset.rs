//! The choice of an entry's runners.

use crate::{EntryCounts, UpstreamInstance};
use egretstage_wire::{ServiceName, ZoneName};
use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};
use std::collections::BTreeMap;

/// How large an entry's subset is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetPolicy {
    /// Entries that hold each runner, on average.
    pub entries_per_upstream: usize,
    /// Fewest runners of a service in the entry's own zone, if there are so
    /// many.
    pub min_upstreams: usize,
    /// Runners of a service in each other zone.
    pub per_other_zone: usize,
    /// A service with at most so many runners is taken whole.
    pub whole_service_limit: usize,
    /// Most runners of one service.
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

/// Identifies an entry in the hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntrySeed(pub u64);

impl SubsetPolicy {
    /// Returns how many of a service's runners in one zone an entry takes.
    fn share(&self, zone: &ZoneShare<'_>) -> usize {
        if zone.service_runners <= self.whole_service_limit {
            return zone.runners;
        }
        let covered_by = match (zone.own, zone.entries) {
            (true, entries) => entries.max(1),
            (false, 0) => zone.all_entries.max(1),
            (false, _) => return self.per_other_zone.min(zone.runners),
        };
        let covered = (self.entries_per_upstream * zone.runners).div_ceil(covered_by);
        let least = if zone.own {
            self.min_upstreams
        } else {
            self.per_other_zone
        };
        covered
            .max(least)
            .min(zone.runners)
            .min(self.max_per_service)
    }
}

/// What decides the share of one zone in one service.
struct ZoneShare<'a> {
    own: bool,
    runners: usize,
    service_runners: usize,
    entries: usize,
    all_entries: usize,
    members: &'a [usize],
}

/// Returns the positions of the runners that an entry keeps links to, in
/// order.
///
/// A runner in the entry's zone is held by `coverage` entries of the zone on
/// average. Other zones give a few runners each, so that a placement rule
/// that names a zone finds one; a zone without entries of its own is covered
/// by all others. When the own zone has no runner of a service, the others
/// give at least `min_upstreams` together.
#[must_use]
pub fn choose_subset(
    policy: &SubsetPolicy,
    seed: EntrySeed,
    own_zone: &ZoneName,
    census: &EntryCounts,
    runners: &[UpstreamInstance<'_>],
) -> Vec<usize> {
    let mut chosen = Vec::new();
    for zones in by_service(runners).values() {
        let service_runners = zones.values().map(Vec::len).sum();
        let has_own = zones.contains_key(own_zone);
        let spread = policy.min_upstreams.div_ceil(zones.len());
        let policy = SubsetPolicy {
            per_other_zone: if has_own {
                policy.per_other_zone
            } else {
                policy.per_other_zone.max(spread)
            },
            ..*policy
        };
        for (zone, members) in zones {
            let share = ZoneShare {
                own: *zone == own_zone,
                runners: members.len(),
                service_runners,
                entries: census.in_zone(zone),
                all_entries: census.total(),
                members,
            };
            chosen.extend(highest(&share, policy.share(&share), seed, runners));
        }
    }
    chosen.sort_unstable();
    chosen
}

/// Positions of the runners of each service in each zone.
type Grouped<'a> = BTreeMap<&'a ServiceName, BTreeMap<&'a ZoneName, Vec<usize>>>;

fn by_service<'a>(runners: &[UpstreamInstance<'a>]) -> Grouped<'a> {
    let mut grouped = Grouped::new();
    for (index, runner) in runners.iter().enumerate() {
        let zones = grouped.entry(runner.service).or_default();
        zones.entry(runner.zone).or_default().push(index);
    }
    grouped
}

/// Returns the members that score highest for the entry.
fn highest(
    share: &ZoneShare<'_>,
    count: usize,
    seed: EntrySeed,
    runners: &[UpstreamInstance<'_>],
) -> Vec<usize> {
    if count == share.members.len() {
        return share.members.to_vec();
    }
    let secrets = RapidSecrets::seed(seed.0);
    let score = |index: usize| {
        let name = runners[index].instance.as_str();
        rapidhash_v3_seeded(name.as_bytes(), &secrets)
    };
    let mut scored: Vec<(u64, usize)> = share.members.iter().map(|i| (score(*i), *i)).collect();
    if count < scored.len() {
        scored.select_nth_unstable_by(count, |a, b| b.cmp(a));
    }
    scored
        .into_iter()
        .take(count)
        .map(|(_, index)| index)
        .collect()
}

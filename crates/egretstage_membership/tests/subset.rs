//! Size, evenness and stability of the subsets.

use egretstage_balance::{
    LayerMap, LayerShape, RankId, RawLayerMap, Replica, Share, Sharing, level_shares, skew,
};
use egretstage_membership::{
    EntryCounts, EntrySeed, SubsetPolicy, UpstreamInstance, choose_subset,
};
use egretstage_wire::{InstanceId, ServiceName, ZoneName};
use std::collections::{HashMap, HashSet};

/// Maximum number of links of an entry. At 125 B per second and link, it receives
/// at most 25 KB per second.
const MAX_LINKS_PER_ENTRY: usize = 200;

struct Upstream {
    instance: InstanceId,
    zone: ZoneName,
    service: ServiceName,
}

struct Fleet {
    zones: Vec<ZoneName>,
    /// Seed and zone of each entry.
    entries: Vec<(EntrySeed, ZoneName)>,
    upstreams: Vec<Upstream>,
}

impl Fleet {
    fn new(zones: usize, entries: u64, upstreams: usize, services: usize) -> Self {
        let name = |zone: usize| ZoneName::try_from(&*format!("zone-{zone}")).unwrap();
        let zones: Vec<ZoneName> = (0..zones).map(name).collect();
        let zone = |i: usize| zones[i % zones.len()].clone();
        let upstream = |i: usize| Upstream {
            instance: InstanceId::try_from(&*format!("runner-{i}")).unwrap(),
            zone: zone(i),
            service: ServiceName::try_from(&*format!("model-{}", i / zones.len() % services))
                .unwrap(),
        };
        let entry = |i: u64| {
            let seed = EntrySeed(i.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            (seed, zone(usize::try_from(i).unwrap()))
        };
        Self {
            entries: (0..entries).map(entry).collect(),
            upstreams: (0..upstreams).map(upstream).collect(),
            zones,
        }
    }

    /// Creates some zones of the target fleet, each at its full size.
    fn target_zones(zones: usize) -> Self {
        Self::new(zones, 100 * zones as u64, 667 * zones, 5)
    }

    /// Creates a fleet of the size that the product is designed for.
    fn target() -> Self {
        Self::new(15, 1_500, 10_000, 5)
    }

    fn subset(&self, entry: usize) -> HashSet<&InstanceId> {
        let entry_counts = EntryCounts::new(self.entries.iter().map(|(_, zone)| zone));
        let upstreams: Vec<_> = self.upstreams.iter().map(upstream_instance).collect();
        let (seed, zone) = &self.entries[entry];
        let chosen = choose_subset(
            &SubsetPolicy::default(),
            *seed,
            zone,
            &entry_counts,
            &upstreams,
        );
        let instance = |i: usize| &self.upstreams[i].instance;
        chosen.into_iter().map(instance).collect()
    }

    fn subsets(&self) -> Vec<HashSet<&InstanceId>> {
        (0..self.entries.len()).map(|e| self.subset(e)).collect()
    }
}

fn upstream_instance(upstream: &Upstream) -> UpstreamInstance<'_> {
    UpstreamInstance {
        instance: &upstream.instance,
        zone: &upstream.zone,
        service: &upstream.service,
    }
}

fn count_holders<'a>(subsets: &[HashSet<&'a InstanceId>]) -> HashMap<&'a InstanceId, usize> {
    let mut held = HashMap::new();
    for instance in subsets.iter().flatten() {
        *held.entry(*instance).or_default() += 1;
    }
    held
}

#[test]
fn small_fleets_are_taken_whole() {
    let fleet = Fleet::new(3, 4, 15, 2);
    for subset in fleet.subsets() {
        assert_eq!(subset.len(), 15);
    }
}

#[test]
fn a_lone_entry_takes_at_most_the_maximum_per_service() {
    let fleet = Fleet::new(1, 0, 1_000, 2);
    let upstreams: Vec<_> = fleet.upstreams.iter().map(upstream_instance).collect();
    let policy = SubsetPolicy::default();
    let entry_counts = EntryCounts::default();
    let chosen = choose_subset(
        &policy,
        EntrySeed(1),
        &fleet.zones[0],
        &entry_counts,
        &upstreams,
    );
    assert_eq!(chosen.len(), 2 * policy.max_per_service);
}

#[test]
fn subsets_of_the_target_fleet_stay_within_bounds() {
    let fleet = Fleet::target();
    let subsets = fleet.subsets();
    let largest = subsets.iter().map(HashSet::len).max().unwrap();
    assert!(largest <= MAX_LINKS_PER_ENTRY, "{largest} links");
    let held = count_holders(&subsets);
    assert_eq!(held.len(), fleet.upstreams.len(), "each upstream is held");
    let counts: Vec<usize> = held.into_values().collect();
    let mean = counts.iter().sum::<usize>() / counts.len();
    let (fewest, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    println!("{largest} links per entry; an upstream is held by {fewest} to {most}, mean {mean}");
    assert!(
        *fewest >= 4,
        "the upstream held least is held by {fewest} entries"
    );
    assert!(*most <= 3 * mean, "{most} against a mean of {mean}");
}

#[test]
fn every_entry_has_choices_in_every_service() {
    let fleet = Fleet::target();
    let policy = SubsetPolicy::default();
    for entry in (0..fleet.entries.len()).step_by(100) {
        let subset = fleet.subset(entry);
        let mut own: HashMap<&ServiceName, usize> = HashMap::new();
        let mut zones: HashSet<(&ServiceName, &ZoneName)> = HashSet::new();
        for upstream in fleet
            .upstreams
            .iter()
            .filter(|u| subset.contains(&u.instance))
        {
            zones.insert((&upstream.service, &upstream.zone));
            if upstream.zone == fleet.entries[entry].1 {
                *own.entry(&upstream.service).or_default() += 1;
            }
        }
        assert_eq!(zones.len(), 5 * fleet.zones.len());
        assert!(own.len() == 5 && own.values().all(|n| *n >= policy.min_upstreams));
    }
}

/// Guards against subsets over which the load can't be divided evenly.
///
/// The balancer for experts divides equal demand from all entries: each entry is
/// an expert, each upstream a rank, and each link a replica.
#[test]
fn links_allow_an_even_load() {
    let fleet = Fleet::new(1, 100, 133, 1);
    let count = |n: usize| u16::try_from(n).unwrap();
    let index: HashMap<&InstanceId, u16> = fleet
        .upstreams
        .iter()
        .map(|u| &u.instance)
        .zip(0..)
        .collect();
    let subsets = fleet.subsets();
    let experts = subsets.iter().map(|subset| {
        let mut replicas: smallvec::SmallVec<[Replica; 4]> = subset
            .iter()
            .map(|instance| Replica {
                rank: RankId(index[*instance]),
                share: Share(0),
            })
            .collect();
        replicas[0].share = Share::WHOLE;
        replicas
    });
    let raw = RawLayerMap {
        shape: LayerShape {
            ranks: count(fleet.upstreams.len()),
            experts: count(fleet.entries.len()),
            slots_per_rank: count(fleet.entries.len()),
        },
        experts: experts.collect(),
    };
    let demand = vec![1.0; fleet.entries.len()];
    let map = level_shares(&LayerMap::try_from(raw).unwrap(), &demand, Sharing::Uneven);
    let skew = skew(&map.rank_loads(&demand));
    println!("largest upstream load {skew:.3} times the mean");
    assert!(skew <= 1.05, "{skew}");
}

#[test]
fn a_removed_upstream_is_replaced_only_where_it_was_held() {
    let fleet = Fleet::target_zones(3);
    let mut after = Fleet::target_zones(3);
    let removed = after.upstreams.remove(1_234).instance;
    let mut moved = 0;
    for entry in 0..fleet.entries.len() {
        let (before, after) = (fleet.subset(entry), after.subset(entry));
        let new = after.difference(&before).count();
        assert!(new <= usize::from(before.contains(&removed)));
        moved += new;
    }
    let held = count_holders(&fleet.subsets())[&removed];
    println!("{moved} new links for an upstream that {held} entries held");
    assert!(moved <= held);
}

#[test]
fn a_removed_entry_adds_at_most_one_link_per_service_in_its_zone() {
    let fleet = Fleet::target_zones(3);
    let mut after = Fleet::target_zones(3);
    let (_, zone) = after.entries.remove(150);
    let mut moved = 0;
    for entry in 0..after.entries.len() {
        let old = if entry < 150 { entry } else { entry + 1 };
        let (before, after_it) = (fleet.subset(old), after.subset(entry));
        let lost = before.difference(&after_it).count();
        assert_eq!(lost, 0, "no link is dropped");
        let new = after_it.difference(&before).count();
        let same_zone = after.entries[entry].1 == zone;
        assert!(new <= if same_zone { 5 } else { 0 });
        moved += new;
    }
    println!("{moved} new links");
}

#[test]
fn every_upstream_is_held_after_a_zone_loses_its_entries() {
    let mut fleet = Fleet::target_zones(4);
    let lost = fleet.zones[3].clone();
    fleet.entries.retain(|(_, zone)| *zone != lost);
    let held = count_holders(&fleet.subsets());
    let fewest = fleet
        .upstreams
        .iter()
        .map(|u| held.get(&u.instance).copied().unwrap_or(0))
        .min();
    println!("the upstream held least is held by {fewest:?} entries");
    assert!(fewest >= Some(4));
}

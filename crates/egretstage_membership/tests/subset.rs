//! How large, how even and how stable the subsets are.

use egretstage_balance::{
    LayerMap, LayerShape, RankId, RawLayerMap, Replica, Share, Sharing, level_shares, skew,
};
use egretstage_membership::{
    EntryCounts, EntrySeed, SubsetPolicy, UpstreamInstance, choose_subset,
};
use egretstage_wire::{InstanceId, ServiceName, ZoneName};
use std::collections::{HashMap, HashSet};

/// Links with which an entry stays under 25 KB a second at 125 B a link.
const MAX_ENTRY_LINKS: usize = 200;

struct Runner {
    instance: InstanceId,
    zone: ZoneName,
    service: ServiceName,
}

struct Fleet {
    zones: Vec<ZoneName>,
    /// Seed and zone of each entry.
    entries: Vec<(EntrySeed, ZoneName)>,
    runners: Vec<Runner>,
}

impl Fleet {
    fn new(zones: usize, entries: u64, runners: usize, services: usize) -> Self {
        let name = |zone: usize| ZoneName::try_from(&*format!("zone-{zone}")).unwrap();
        let zones: Vec<ZoneName> = (0..zones).map(name).collect();
        let zone = |i: usize| zones[i % zones.len()].clone();
        let runner = |i: usize| Runner {
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
            runners: (0..runners).map(runner).collect(),
            zones,
        }
    }

    /// Some zones of the target's fleet, each at its size there.
    fn part_of_target(zones: usize) -> Self {
        Self::new(zones, 100 * zones as u64, 667 * zones, 5)
    }

    /// The target's size.
    fn target() -> Self {
        Self::new(15, 1_500, 10_000, 5)
    }

    fn subset(&self, entry: usize) -> HashSet<&InstanceId> {
        let census = EntryCounts::new(self.entries.iter().map(|(_, zone)| zone));
        let runners: Vec<_> = self.runners.iter().map(seat).collect();
        let (seed, zone) = &self.entries[entry];
        let chosen = choose_subset(&SubsetPolicy::default(), *seed, zone, &census, &runners);
        let instance = |i: usize| &self.runners[i].instance;
        chosen.into_iter().map(instance).collect()
    }

    fn subsets(&self) -> Vec<HashSet<&InstanceId>> {
        (0..self.entries.len()).map(|e| self.subset(e)).collect()
    }
}

fn seat(runner: &Runner) -> UpstreamInstance<'_> {
    UpstreamInstance {
        instance: &runner.instance,
        zone: &runner.zone,
        service: &runner.service,
    }
}

fn coverage<'a>(subsets: &[HashSet<&'a InstanceId>]) -> HashMap<&'a InstanceId, usize> {
    let mut held = HashMap::new();
    for instance in subsets.iter().flatten() {
        *held.entry(*instance).or_default() += 1;
    }
    held
}

#[test]
fn todays_fleets_are_taken_whole() {
    let fleet = Fleet::new(3, 4, 15, 2);
    for subset in fleet.subsets() {
        assert_eq!(subset.len(), 15);
    }
}

#[test]
fn an_entry_alone_takes_all_up_to_a_limit() {
    let fleet = Fleet::new(1, 0, 1_000, 2);
    let runners: Vec<_> = fleet.runners.iter().map(seat).collect();
    let policy = SubsetPolicy::default();
    let census = EntryCounts::default();
    let chosen = choose_subset(&policy, EntrySeed(1), &fleet.zones[0], &census, &runners);
    assert_eq!(chosen.len(), 2 * policy.max_per_service);
}

#[test]
fn the_target_keeps_its_bounds() {
    let fleet = Fleet::target();
    let subsets = fleet.subsets();
    let largest = subsets.iter().map(HashSet::len).max().unwrap();
    assert!(largest <= MAX_ENTRY_LINKS, "{largest} links");
    let held = coverage(&subsets);
    assert_eq!(held.len(), fleet.runners.len(), "each runner is held");
    let counts: Vec<usize> = held.into_values().collect();
    let mean = counts.iter().sum::<usize>() / counts.len();
    let (fewest, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    println!("{largest} links an entry; a runner is held by {fewest} to {most}, mean {mean}");
    assert!(*fewest >= 4, "{fewest} entries hold the least held runner");
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
        for runner in fleet
            .runners
            .iter()
            .filter(|r| subset.contains(&r.instance))
        {
            zones.insert((&runner.service, &runner.zone));
            if runner.zone == fleet.entries[entry].1 {
                *own.entry(&runner.service).or_default() += 1;
            }
        }
        assert_eq!(zones.len(), 5 * fleet.zones.len());
        assert!(own.len() == 5 && own.values().all(|n| *n >= policy.min_upstreams));
    }
}

/// Spreads equal demand of each entry over its subset as evenly as the links
/// allow.
#[test]
fn the_links_can_carry_an_even_load() {
    let fleet = Fleet::new(1, 100, 133, 1);
    let count = |n: usize| u16::try_from(n).unwrap();
    let index: HashMap<&InstanceId, u16> =
        fleet.runners.iter().map(|r| &r.instance).zip(0..).collect();
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
            ranks: count(fleet.runners.len()),
            experts: count(fleet.entries.len()),
            slots_per_rank: count(fleet.entries.len()),
        },
        experts: experts.collect(),
    };
    let demand = vec![1.0; fleet.entries.len()];
    let map = level_shares(&LayerMap::try_from(raw).unwrap(), &demand, Sharing::Uneven);
    let skew = skew(&map.rank_loads(&demand));
    println!("largest over mean runner load {skew:.3}");
    assert!(skew <= 1.05, "{skew}");
}

#[test]
fn a_runner_that_goes_is_replaced_only_where_it_was_held() {
    let fleet = Fleet::part_of_target(3);
    let mut after = Fleet::part_of_target(3);
    let gone = after.runners.remove(1_234).instance;
    let mut moved = 0;
    for entry in 0..fleet.entries.len() {
        let (before, after) = (fleet.subset(entry), after.subset(entry));
        let new = after.difference(&before).count();
        assert!(new <= usize::from(before.contains(&gone)));
        moved += new;
    }
    let held = coverage(&fleet.subsets())[&gone];
    println!("{moved} new links for a runner that {held} entries held");
    assert!(moved <= held);
}

#[test]
fn an_entry_that_goes_moves_at_most_one_link_a_service_of_its_zone() {
    let fleet = Fleet::part_of_target(3);
    let mut after = Fleet::part_of_target(3);
    let (_, zone) = after.entries.remove(150);
    let mut moved = 0;
    for entry in 0..after.entries.len() {
        let old = if entry < 150 { entry } else { entry + 1 };
        let (before, after_it) = (fleet.subset(old), after.subset(entry));
        let lost = before.difference(&after_it).count();
        assert_eq!(lost, 0, "no link is given up");
        let new = after_it.difference(&before).count();
        let same_zone = after.entries[entry].1 == zone;
        assert!(new <= if same_zone { 5 } else { 0 });
        moved += new;
    }
    println!("{moved} new links");
}

#[test]
fn a_lost_zone_leaves_every_runner_held() {
    let mut fleet = Fleet::part_of_target(4);
    let lost = fleet.zones[3].clone();
    fleet.entries.retain(|(_, zone)| *zone != lost);
    let held = coverage(&fleet.subsets());
    let fewest = fleet
        .runners
        .iter()
        .map(|r| held.get(&r.instance).copied().unwrap_or(0))
        .min();
    println!("the least held runner is held by {fewest:?} entries");
    assert!(fewest >= Some(4));
}

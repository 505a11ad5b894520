//! Load pattern: the store refuses this entry while the operator changes the
//! configuration. The other entries' load reports carry the version that each has.

use crate::support::{Harness, configured, report_of, table};
use egretstage_dispatch::{ConfigurationSource, DecisionLine, DispatchEffect, DispatchEvent};
use egretstage_wire::InstanceId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest time until a change in the store is in force at all entries.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Step of the simulated fleet.
const STEP: Duration = Duration::from_millis(10);

/// Returns the log lines with a verb among the effects.
fn lines(effects: &[DispatchEffect], verb: &str) -> Vec<DecisionLine> {
    let lines = effects.iter().filter_map(|effect| match effect {
        DispatchEffect::Log(line) if line.verb == verb => Some((**line).clone()),
        _ => None,
    });
    lines.collect()
}

#[test]
fn the_log_tells_when_an_entry_falls_behind_and_for_how_long() {
    let mut harness = Harness::ready();
    let effects = harness.sim.event(report_of("peer", 1, 4));
    let behind = lines(&effects, "behind");
    assert_eq!(behind.len(), 1);
    assert_eq!(behind[0].configuration, Some(4));
    assert_eq!(
        behind[0].peer.as_ref().map(InstanceId::as_str),
        Some("peer")
    );
    let effects = harness.sim.event(report_of("another", 1, 4));
    assert!(lines(&effects, "behind").is_empty(), "known already");
    harness.sim.advance(Duration::from_millis(700));
    let effects = harness.sim.event(configured(table(4, "key")));
    let configure = lines(&effects, "configure");
    assert_eq!(configure[0].behind_ms, Some(700));
    assert_eq!(configure[0].reason, Some("store"));
    let effects = harness.sim.event(configured(table(5, "key")));
    assert_eq!(lines(&effects, "configure")[0].behind_ms, None);
}

/// Returns the entries that the effects fetch a configuration from.
fn fetched(effects: &[DispatchEffect]) -> Vec<String> {
    let peers = effects.iter().filter_map(|effect| match effect {
        DispatchEffect::FetchConfiguration { peer } => Some(peer.as_str().to_owned()),
        _ => None,
    });
    peers.collect()
}

#[test]
fn a_version_that_the_store_delivers_soon_is_not_fetched() {
    let mut harness = Harness::ready();
    harness.sim.event(report_of("peer", 1, 4));
    let effects = harness.sim.advance(Duration::from_millis(100));
    assert!(fetched(&effects).is_empty());
    harness.sim.event(configured(table(4, "key")));
    let effects = harness.sim.advance(MAX_DELAY);
    assert!(fetched(&effects).is_empty());
}

/// Load pattern: the entries that report a version first fall silent.
#[test]
fn silent_holders_of_a_version_delay_no_fetch_from_another() {
    let mut harness = Harness::ready();
    let holders = ["a", "b", "c", "d", "e"];
    for holder in holders {
        harness.sim.event(report_of(holder, 1, 4));
    }
    let effects = harness.sim.advance(Duration::from_secs(1));
    let asked: BTreeSet<String> = fetched(&effects).into_iter().collect();
    assert_eq!(asked.len(), holders.len(), "{asked:?}");
}

/// Load pattern: versions follow each other faster than the store's head start.
#[test]
fn a_storm_of_versions_does_not_put_off_the_fetch() {
    let mut harness = Harness::ready();
    let mut fetches = 0;
    for version in 2..22 {
        let mut effects = harness.sim.event(report_of("peer", version, version));
        effects.extend(harness.sim.advance(Duration::from_millis(100)));
        fetches += fetched(&effects).len();
    }
    assert!(fetches >= 10, "{fetches} fetches in two seconds");
}

/// Load pattern: an entry of a newer release reports a version that this entry can't
/// decode.
#[test]
fn a_version_that_cannot_be_decoded_is_fetched_seldom() {
    let mut harness = Harness::ready();
    let mut fetches = 0;
    for number in 0..120 {
        let mut effects = harness.sim.event(report_of("peer", number, 4));
        effects.extend(harness.sim.advance(Duration::from_millis(500)));
        fetches += fetched(&effects).len();
    }
    assert!(fetches < 60, "{fetches} fetches in a minute");
}

/// Entries whose reports and fetches are lost at random.
struct Fleet {
    entries: Vec<Harness>,
    /// The version that each entry has.
    versions: Vec<u64>,
    /// The entry that stands still.
    frozen: usize,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn name(index: usize) -> String {
        format!("entry-{index}")
    }

    fn configure(&mut self, entry: usize, version: u64, source: ConfigurationSource) {
        self.versions[entry] = version;
        let table = table(version, "key");
        let event = DispatchEvent::Configured { table, source };
        let effects = self.entries[entry].sim.event(event);
        self.carry_out(entry, effects);
    }

    fn carry_out(&mut self, entry: usize, effects: Vec<DispatchEffect>) {
        for effect in effects {
            match effect {
                DispatchEffect::Report(mut report) => {
                    report.entry = Self::name(entry).as_str().try_into().expect("a name");
                    for to in 0..self.entries.len() {
                        if to != entry && to != self.frozen && self.rng.random_ratio(2, 3) {
                            let event = DispatchEvent::PeerReported(report.clone());
                            let effects = self.entries[to].sim.event(event);
                            self.carry_out(to, effects);
                        }
                    }
                }
                DispatchEffect::FetchConfiguration { peer } => {
                    let all = 0..self.entries.len();
                    let holder = all.into_iter().find(|at| Self::name(*at) == peer.as_str());
                    let holder = holder.expect("an entry of the fleet");
                    let is_answered = holder != self.frozen && self.rng.random_ratio(2, 3);
                    if is_answered && self.versions[holder] > self.versions[entry] {
                        let version = self.versions[holder];
                        self.configure(entry, version, ConfigurationSource::Peer);
                    }
                }
                _ => {}
            }
        }
    }

    /// Returns whether an entry that doesn't stand still lacks a version.
    fn is_behind(&self, version: u64) -> bool {
        let mut versions = self.versions.iter().enumerate();
        versions.any(|(at, has)| at != self.frozen && *has < version)
    }
}

/// Load pattern: the store serves one entry of five; a third of the load reports and of
/// the fetches are lost, and another entry stands still.
#[test]
fn a_fleet_takes_each_version_in_time_if_one_entry_reads_it() {
    for seed in 0..100 {
        let mut fleet = Fleet {
            entries: (0..5).map(|_| Harness::ready()).collect(),
            versions: vec![1; 5],
            frozen: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for version in 2..6 {
            let reader = fleet.rng.random_range(0..5);
            fleet.frozen = (reader + fleet.rng.random_range(1..5)) % 5;
            fleet.configure(reader, version, ConfigurationSource::Store);
            let mut passed = Duration::ZERO;
            while fleet.is_behind(version) {
                assert!(passed < MAX_DELAY, "seed {seed}: {:?}", fleet.versions);
                passed += STEP;
                for entry in (0..5).filter(|at| *at != fleet.frozen).collect::<Vec<_>>() {
                    let effects = fleet.entries[entry].sim.advance(STEP);
                    fleet.carry_out(entry, effects);
                }
            }
        }
    }
}

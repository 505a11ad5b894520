//! How far this entry's configuration is behind those of the others, and from which
//! entry it fetches a newer one.
//!
//! Load pattern: the store refuses some entries, or their reads of it hang, while the
//! operator changes the configuration; beside that, other entries are silent. The
//! load reports carry the version that each entry has, so an entry learns that it is
//! behind without the store. It asks one holder of a newer version after the other,
//! without waiting for a silent one.

use crate::peers::REPORT_LIFETIME;
use egretstage_wire::InstanceId;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time that the store has to deliver a version which another entry reports: a
/// change reaches the entries that read it at nearly the same moment.
const STORE_HEAD_START: Duration = Duration::from_millis(150);

/// Time between two fetches.
const FETCH_INTERVAL: Duration = Duration::from_millis(150);

/// Number of fetches of a version after which [`SLOW_FETCH_INTERVAL`] applies: this
/// entry may be unable to decode it.
const MAX_QUICK_FETCHES: u32 = 12;

/// Time between two later fetches of a version.
const SLOW_FETCH_INTERVAL: Duration = Duration::from_secs(2);

/// A version that another entry has and this one lacks.
#[derive(Clone, Copy, Debug)]
struct MissingVersion {
    version: u64,
    /// When this entry learned that it was behind.
    since: Instant,
    next_fetch: Instant,
    /// Fetches since this entry learned of the version.
    fetches: u32,
}

/// Another entry that has a newer configuration.
#[derive(Clone, Copy, Debug)]
struct Holder {
    version: u64,
    reported_at: Instant,
    fetched_at: Option<Instant>,
}

/// How far this entry's configuration is behind those of the others.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationLag {
    /// The highest version that is missing.
    missing: Option<MissingVersion>,
    /// The entries that report a version which is missing.
    holders: HashMap<InstanceId, Holder>,
}

impl ConfigurationLag {
    /// Records the version that another entry reports; returns whether it is a higher
    /// one than this entry has and knew of.
    pub(crate) fn record_report(
        &mut self,
        now: Instant,
        active: u64,
        entry: &InstanceId,
        version: u64,
    ) -> bool {
        if version <= active {
            self.holders.remove(entry);
            return false;
        }
        let fetched_at = self.holders.get(entry).and_then(|holder| holder.fetched_at);
        let holder = Holder {
            version,
            reported_at: now,
            fetched_at,
        };
        self.holders.insert(entry.clone(), holder);
        match &mut self.missing {
            Some(missing) if version <= missing.version => return false,
            Some(missing) => {
                missing.version = version;
                missing.fetches = 0;
                missing.next_fetch = missing.next_fetch.min(now + STORE_HEAD_START);
            }
            None => {
                self.missing = Some(MissingVersion {
                    version,
                    since: now,
                    next_fetch: now + STORE_HEAD_START,
                    fetches: 0,
                });
            }
        }
        true
    }

    /// Records that a version is active; returns the time for which this entry was
    /// behind, if it was.
    pub(crate) fn record_active(&mut self, now: Instant, version: u64) -> Option<Duration> {
        self.holders.retain(|_, holder| holder.version > version);
        let missing = self.missing?;
        if missing.version <= version {
            self.missing = None;
        }
        Some(now.saturating_duration_since(missing.since))
    }

    /// Returns when the next fetch is due.
    pub(crate) fn next_fetch(&self) -> Option<Instant> {
        self.missing.map(|missing| missing.next_fetch)
    }

    /// Returns the entry to fetch a newer configuration from, if a fetch is due.
    ///
    /// Each holder is asked once before one is asked again. Those that have stopped
    /// reporting come last.
    pub(crate) fn take_fetch(&mut self, now: Instant) -> Option<InstanceId> {
        let missing = self.missing.as_mut().filter(|m| m.next_fetch <= now)?;
        let rank = |holder: &Holder| {
            let is_silent = now.saturating_duration_since(holder.reported_at) >= REPORT_LIFETIME;
            let newest_first = Reverse((holder.version, holder.reported_at));
            (is_silent, holder.fetched_at, newest_first)
        };
        let first = self
            .holders
            .iter_mut()
            .min_by_key(|(_, holder)| rank(holder));
        missing.fetches += 1;
        let interval = if missing.fetches < MAX_QUICK_FETCHES {
            FETCH_INTERVAL
        } else {
            SLOW_FETCH_INTERVAL
        };
        missing.next_fetch = now + interval;
        let (entry, holder) = first?;
        holder.fetched_at = Some(now);
        Some(entry.clone())
    }
}

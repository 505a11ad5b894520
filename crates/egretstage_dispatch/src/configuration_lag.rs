//! How far this entry's configuration is behind those of the others.
//!
//! Load pattern: the store refuses some entries, or their reads of it hang, while the
//! operator changes the configuration. The other entries' load reports carry the
//! version that each has, so an entry learns that it is behind without the store.

use std::time::{Duration, Instant};

/// A version that another entry has and this one lacks.
#[derive(Clone, Copy, Debug)]
struct MissingVersion {
    version: u64,
    /// When this entry learned that it was behind.
    since: Instant,
}

/// How far this entry's configuration is behind those of the others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConfigurationLag {
    /// The highest version that is missing.
    missing: Option<MissingVersion>,
}

impl ConfigurationLag {
    /// Records the version that another entry reports; returns whether it is a higher
    /// one than this entry has and knew of.
    pub(crate) fn record_report(&mut self, now: Instant, active: u64, version: u64) -> bool {
        let known = self.missing.map_or(active, |missing| missing.version);
        if version <= known {
            return false;
        }
        let since = self.missing.map_or(now, |missing| missing.since);
        self.missing = Some(MissingVersion { version, since });
        true
    }

    /// Records that a version is active; returns the time for which this entry was
    /// behind, if it was.
    pub(crate) fn record_active(&mut self, now: Instant, version: u64) -> Option<Duration> {
        let missing = self.missing?;
        if missing.version <= version {
            self.missing = None;
        }
        Some(now.saturating_duration_since(missing.since))
    }
}

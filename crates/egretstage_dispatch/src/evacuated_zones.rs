//! Which availability zones the operator has evacuated, so that nothing more is sent there.
//!
//! Load pattern: the operator empties a zone under full load and takes it back, at times
//! within a second, and two zones at a time. Meanwhile the store refuses some entries, serves
//! lists that are seconds old, drops its history or is restored from a copy, and entries start
//! anew. Each entry must stop within seconds, and a delayed message must not take a zone back.
//!
//! The unit of knowledge is the whole set of evacuated zones as of a position in the
//! operator's topic. Of two sets, the one of the later position holds, wherever it was read.
//! So removals need no record of their own, and a stale list or a late report changes nothing.

use egretstage_wire::ZoneName;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for which an evacuation that a restored store lacks still holds. The operator writes
/// lost records again; until then the zone may still be empty.
pub const RESTORE_GRACE: Duration = Duration::from_secs(5);

/// Most zones that can be evacuated at once, so that the set fits into a datagram with the
/// other reported values. Of more, the first ones in the order of their names are, at all
/// entries.
pub const MAX_EVACUATED_ZONES: usize = 32;

/// Position up to which the operator's topic is known; a later era wins over any offset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TopicPosition {
    /// Number of times that the store was restored from a copy.
    #[serde(rename = "r")]
    pub era: u64,
    /// Offset after the last record that is known.
    #[serde(rename = "o")]
    pub offset: u64,
}

/// The evacuated zones as of a position in the operator's topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSet {
    /// The position.
    #[serde(rename = "p")]
    pub position: TopicPosition,
    /// The zones, in the order of their names.
    #[serde(rename = "z")]
    pub zones: SmallVec<[ZoneName; 2]>,
}

/// Why a zone counts as evacuated, or no longer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ZoneChangeReason {
    /// The store lists its evacuation.
    Evacuated,
    /// The store no longer lists its evacuation.
    TakenBack,
    /// Another entry reports its evacuation.
    ReportedEvacuated,
    /// Another entry reports that it was taken back.
    ReportedTakenBack,
    /// A restored store lacks the evacuation, which holds for [`RESTORE_GRACE`].
    Kept,
    /// The operator didn't write the evacuation again after a restore.
    NotRestored,
    /// [`MAX_EVACUATED_ZONES`] others are evacuated, so this one isn't.
    PassedOver,
}

/// A change of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneName,
    /// What has changed.
    pub reason: ZoneChangeReason,
}

/// Changes of zones, in the order of their names.
pub type ZoneChanges = SmallVec<[ZoneChange; 2]>;

/// Where a set was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Store,
    Peer,
}

/// The evacuated zones, as far as an entry knows.
///
/// ```
/// # use egretstage_dispatch::evacuated_zones::{EvacuatedZones, TopicPosition, ZoneSet};
/// # use std::time::Instant;
/// let now = Instant::now();
/// let west: egretstage_wire::ZoneName = "west".try_into().unwrap();
/// let position = |offset| TopicPosition { era: 0, offset };
/// let mut zones = EvacuatedZones::default();
/// let zones_at = |offset, zones: &[_]| ZoneSet { position: position(offset), zones: zones.into() };
/// zones.apply_read(now, zones_at(7, std::slice::from_ref(&west)));
/// // A stale list.
/// zones.apply_read(now, zones_at(6, &[]));
/// assert!(zones.contains(&west));
/// // Another entry has read further.
/// zones.apply_report(now, &zones_at(8, &[]));
/// assert!(!zones.contains(&west));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    /// The set of the latest position.
    set: ZoneSet,
    /// Zones that a restored store lacks, with the end of their grace.
    kept: BTreeMap<ZoneName, Instant>,
    /// Zones of the latest set beyond the most.
    passed_over: SmallVec<[ZoneName; 0]>,
    /// Whether any zone is known to have been evacuated, now or before.
    was_used: bool,
}

impl EvacuatedZones {
    /// Returns whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.set.zones.contains(zone) || self.kept.contains_key(zone)
    }

    /// Returns the number of evacuated zones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.set.zones.len() + self.kept.len()
    }

    /// Returns whether no zone is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the position of the latest set.
    #[must_use]
    pub fn position(&self) -> TopicPosition {
        self.set.position
    }

    /// Applies the set that this entry has read in the store.
    ///
    /// One of the same position replaces the known one: the entry may have read a part of a
    /// list.
    pub fn apply_read(&mut self, now: Instant, set: ZoneSet) -> ZoneChanges {
        if set.position < self.set.position {
            return ZoneChanges::new();
        }
        self.replace(now, set, Source::Store)
    }

    /// Applies the set that another entry reports.
    pub fn apply_report(&mut self, now: Instant, set: &ZoneSet) -> ZoneChanges {
        self.was_used = true;
        if set.position <= self.set.position {
            return ZoneChanges::new();
        }
        self.replace(now, set.clone(), Source::Peer)
    }

    /// Ends the graces that are over.
    pub fn end_graces(&mut self, now: Instant) -> ZoneChanges {
        let ended = self.kept.extract_if(.., |_, until| *until <= now);
        let reason = ZoneChangeReason::NotRestored;
        ended.map(|(zone, _)| ZoneChange { zone, reason }).collect()
    }

    /// Returns when the next grace ends.
    #[must_use]
    pub fn next_end(&self) -> Option<Instant> {
        self.kept.values().min().copied()
    }

    /// Returns the set for the other entries; `None` as long as no zone is known to have been
    /// evacuated.
    ///
    /// An empty set is reported too, since it takes zones back at entries that can't read the
    /// store.
    #[must_use]
    pub fn report(&self) -> Option<ZoneSet> {
        self.was_used.then(|| self.set.clone())
    }

    fn replace(&mut self, now: Instant, mut set: ZoneSet, source: Source) -> ZoneChanges {
        set.zones.sort_unstable();
        set.zones.dedup();
        let is_restored = set.position.era > self.set.position.era;
        let most = set.zones.len().min(MAX_EVACUATED_ZONES);
        let passed_over = set.zones.drain(most..).collect();
        let passed_before = std::mem::replace(&mut self.passed_over, passed_over);
        let before = std::mem::replace(&mut self.set, set);
        self.was_used |= !self.set.zones.is_empty();
        let newly_passed = self.passed_over.iter();
        let newly_passed = newly_passed.filter(|zone| !passed_before.contains(zone));
        let mut changes: ZoneChanges = newly_passed
            .map(|zone| ZoneChange {
                zone: zone.clone(),
                reason: ZoneChangeReason::PassedOver,
            })
            .collect();
        for zone in &self.set.zones {
            if self.kept.remove(zone).is_none() && !before.zones.contains(zone) {
                changes.push(ZoneChange {
                    zone: zone.clone(),
                    reason: match source {
                        Source::Store => ZoneChangeReason::Evacuated,
                        Source::Peer => ZoneChangeReason::ReportedEvacuated,
                    },
                });
            }
        }
        for zone in before.zones {
            if self.set.zones.contains(&zone) || self.passed_over.contains(&zone) {
                continue;
            }
            let reason = if is_restored {
                self.kept.insert(zone.clone(), now + RESTORE_GRACE);
                ZoneChangeReason::Kept
            } else {
                match source {
                    Source::Store => ZoneChangeReason::TakenBack,
                    Source::Peer => ZoneChangeReason::ReportedTakenBack,
                }
            };
            changes.push(ZoneChange { zone, reason });
        }
        changes.sort_by(|a, b| a.zone.cmp(&b.zone));
        changes
    }
}

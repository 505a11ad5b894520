//! The records that the operator writes: the configuration and the evacuated zones.
//!
//! Load pattern: an entry starts while a zone is evacuated. Both kinds of records stand in one
//! topic, and an entry that has a configuration takes calls. So of each read the zones come
//! first, and the first configuration waits until all records are listed.

use crate::dialect::RecordDecoder;
use compact_str::CompactString;
use egretstage_dispatch::{TopicPosition, ZoneSet};
use egretstage_platform::{KeyedChange, KeyedFollower};
use egretstage_wire::ZoneName;
use std::collections::BTreeSet;

/// Key and value of a record that may be the configuration.
pub type ConfigurationRecord = (CompactString, Vec<u8>);

/// The operator's records, as far as a follower has read them.
#[derive(Debug, Default)]
pub struct OperatorRecords {
    zones: BTreeSet<ZoneName>,
    /// Position of the last complete read, `None` before the first one.
    position: Option<TopicPosition>,
    /// The set that was last returned.
    returned: Option<ZoneSet>,
    /// Records that wait for the first list to be complete.
    waiting: Vec<ConfigurationRecord>,
}

impl OperatorRecords {
    /// Applies the changes of a read; returns the evacuated zones if they or their position
    /// have changed, and the records that may be the configuration.
    pub fn apply(
        &mut self,
        decoder: &dyn RecordDecoder,
        follower: &KeyedFollower,
        changes: Vec<KeyedChange>,
    ) -> (Option<ZoneSet>, Vec<ConfigurationRecord>) {
        for change in changes {
            self.apply_change(decoder, change);
        }
        if let (Some(era), Some(offset)) = (follower.era(), follower.end()) {
            let era = era.0;
            self.position = Some(TopicPosition { era, offset });
        }
        let Some(position) = self.position else {
            return (None, Vec::new());
        };
        let zones = self.zones.iter().cloned().collect();
        let set = ZoneSet { position, zones };
        let is_new = self.returned.as_ref() != Some(&set);
        self.returned = Some(set.clone());
        (is_new.then_some(set), std::mem::take(&mut self.waiting))
    }

    fn apply_change(&mut self, decoder: &dyn RecordDecoder, change: KeyedChange) {
        let (KeyedChange::Put { key, .. } | KeyedChange::Removed(key)) = &change;
        match (decoder.decode_evacuated_zone(key), change) {
            (Ok(Some(zone)), KeyedChange::Put { .. }) => {
                self.zones.insert(zone);
            }
            (Ok(Some(zone)), KeyedChange::Removed(_)) => {
                self.zones.remove(&zone);
            }
            (Ok(None), KeyedChange::Put { key, value, .. }) => self.waiting.push((key, value)),
            (Err(e), KeyedChange::Put { key, .. }) => {
                log::error!(key = key.as_str(), error:display = e; "an evacuated zone can't be decoded");
            }
            (Ok(None) | Err(_), KeyedChange::Removed(_)) => {}
        }
    }
}

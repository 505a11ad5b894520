//! The runners that an entry keeps links to.

use egretstage_membership::{
    EntryCounts, EntrySeed, SubsetPolicy, UpstreamInstance, choose_subset,
};
use egretstage_platform::{InstanceState, ListedInstance};
use egretstage_wire::{Incarnation, InstanceId, Role, ZoneName};
use std::collections::HashSet;

/// Chooses an entry's subset of the listed runners.
#[derive(Debug)]
pub(crate) struct Selection {
    policy: SubsetPolicy,
    zone: ZoneName,
    seed: EntrySeed,
}

impl Selection {
    /// Chooses for the entry in a zone; the choice is stable for its life.
    pub(crate) fn new(zone: ZoneName, incarnation: Incarnation) -> Self {
        Self {
            policy: SubsetPolicy::default(),
            zone,
            seed: EntrySeed(incarnation.0),
        }
    }

    /// Returns the companions in the subset.
    pub(crate) fn choose(&self, listed: &[ListedInstance]) -> HashSet<InstanceId> {
        let live = || listed.iter().filter(|i| i.state == InstanceState::Live);
        let entries = live().filter(|i| i.role == Role::Entry).map(|i| &i.zone);
        let census = EntryCounts::new(entries);
        let runners: Vec<_> = live().filter_map(runner).collect();
        let chosen = choose_subset(&self.policy, self.seed, &self.zone, &census, &runners);
        let instance = |index: usize| runners[index].instance.clone();
        chosen.into_iter().map(instance).collect()
    }
}

fn runner(item: &ListedInstance) -> Option<UpstreamInstance<'_>> {
    let service = item.service.as_ref()?;
    (item.role == Role::Companion).then_some(UpstreamInstance {
        instance: &item.instance,
        zone: &item.zone,
        service,
    })
}

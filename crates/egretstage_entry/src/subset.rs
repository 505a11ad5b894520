//! The subset of upstreams that an entry keeps links to.

use egretstage_membership::{
    EntryCounts, EntrySeed, SubsetPolicy, UpstreamInstance, choose_subset,
};
use egretstage_platform::{InstanceState, ListedInstance};
use egretstage_wire::{Incarnation, InstanceId, Role, ZoneName};
use std::collections::HashSet;

/// Chooses an entry's subset of the listed upstreams.
#[derive(Debug)]
pub(crate) struct SubsetSelector {
    policy: SubsetPolicy,
    zone: ZoneName,
    seed: EntrySeed,
}

impl SubsetSelector {
    /// Creates the selector of an entry in a zone. Its seed is the
    /// incarnation, so that the choice is stable while the process runs.
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
        let entry_counts = EntryCounts::new(entries);
        let upstreams: Vec<_> = live().filter_map(as_upstream).collect();
        let chosen = choose_subset(
            &self.policy,
            self.seed,
            &self.zone,
            &entry_counts,
            &upstreams,
        );
        let instance = |index: usize| upstreams[index].instance.clone();
        chosen.into_iter().map(instance).collect()
    }
}

fn as_upstream(item: &ListedInstance) -> Option<UpstreamInstance<'_>> {
    let service = item.service.as_ref()?;
    (item.role == Role::Companion).then_some(UpstreamInstance {
        instance: &item.instance,
        zone: &item.zone,
        service,
    })
}

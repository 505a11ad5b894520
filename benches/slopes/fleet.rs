//! Time to choose a subset of the fleet, size and decoding time of the instance list.

use super::measure::{mean_micros, print_slope};
use egretstage_membership::{
    EntryCounts, EntrySeed, SubsetPolicy, UpstreamInstance, choose_subset,
};
use egretstage_platform::{InstanceState, ListedInstance};
use egretstage_wire::{InstanceId, Role, ServiceName, ZoneName};

/// Upstreams at the target's size.
const UPSTREAMS: usize = 10_000;

/// Zones at the target's size.
const ZONES: usize = 15;

/// Models at the target's size.
const SERVICES: usize = 5;

/// Number of choices and decodings that are timed.
const TIMED_CALLS: usize = 20;

pub(crate) fn print() {
    let list: Vec<ListedInstance> = (0..UPSTREAMS).map(listed_companion).collect();
    let text = serde_json::to_string(&list).expect("the list is plain data");
    let bytes_per_instance = text.len() / UPSTREAMS;
    print_slope(
        "instance on the list",
        f64::from(u32::try_from(bytes_per_instance).unwrap_or(0)),
        "B",
    );
    let upstreams: Vec<_> = list.iter().filter_map(as_upstream).collect();
    let zones: Vec<_> = list.iter().take(1_500).map(|i| &i.zone).collect();
    let entry_counts = EntryCounts::new(zones);
    let own_zone = &list[0].zone;
    let policy = SubsetPolicy::default();
    let time = mean_micros(TIMED_CALLS, |index| {
        let chosen = choose_subset(
            &policy,
            EntrySeed(index as u64),
            own_zone,
            &entry_counts,
            &upstreams,
        );
        assert!(!std::hint::black_box(chosen).is_empty());
    });
    print_slope("choice of a subset of 10,000 runners", time, "µs");
    let time = mean_micros(TIMED_CALLS, |_| {
        let decoded = serde_json::from_str::<Vec<ListedInstance>>(&text);
        assert!(std::hint::black_box(decoded).is_ok());
    });
    print_slope("decode of a list of 10,000 instances", time, "µs");
}

fn as_upstream(item: &ListedInstance) -> Option<UpstreamInstance<'_>> {
    Some(UpstreamInstance {
        instance: &item.instance,
        zone: &item.zone,
        service: item.service.as_ref()?,
    })
}

/// Returns the list item of one companion.
pub(crate) fn listed_companion(index: usize) -> ListedInstance {
    let zone = format!("region-{}-{}", index % ZONES / 2, index % ZONES);
    let service = format!("model-{}", index / ZONES % SERVICES);
    ListedInstance {
        instance: InstanceId::try_from(&*format!("runner-{index:05}-7f3a")).expect("valid"),
        role: Role::Companion,
        address: ([10, 1, 2, 3], 9_000).into(),
        zone: ZoneName::try_from(&*zone).expect("valid"),
        service: Some(ServiceName::try_from(&*service).expect("valid")),
        state: InstanceState::Live,
    }
}

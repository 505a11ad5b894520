//! Choosing a subset of the fleet, and the instance list.

use super::measure::{micros, row};
use egretstage_membership::{
    EntryCounts, EntrySeed, SubsetPolicy, UpstreamInstance, choose_subset,
};
use egretstage_platform::{InstanceState, ListedInstance};
use egretstage_wire::{InstanceId, Role, ServiceName, ZoneName};

/// Runners at the target's size.
const RUNNERS: usize = 10_000;

/// Zones at the target's size.
const ZONES: usize = 15;

/// Models at the target's size.
const SERVICES: usize = 5;

/// Choices that are timed.
const CALLS: usize = 20;

pub(crate) fn print() {
    let list: Vec<ListedInstance> = (0..RUNNERS).map(runner).collect();
    let text = serde_json::to_string(&list).expect("the list is plain data");
    let each = text.len() / RUNNERS;
    row(
        "instance on the list",
        f64::from(u32::try_from(each).unwrap_or(0)),
        "B",
    );
    let seats: Vec<_> = list.iter().filter_map(seat).collect();
    let zones: Vec<_> = list.iter().take(1_500).map(|i| &i.zone).collect();
    let census = EntryCounts::new(zones);
    let own = &list[0].zone;
    let policy = SubsetPolicy::default();
    let time = micros(CALLS, |index| {
        let chosen = choose_subset(&policy, EntrySeed(index as u64), own, &census, &seats);
        assert!(!std::hint::black_box(chosen).is_empty());
    });
    row("choice of a subset of 10,000 runners", time, "µs");
    let time = micros(CALLS, |_| {
        let read = serde_json::from_str::<Vec<ListedInstance>>(&text);
        assert!(std::hint::black_box(read).is_ok());
    });
    row("decode of a list of 10,000 instances", time, "µs");
}

fn seat(item: &ListedInstance) -> Option<UpstreamInstance<'_>> {
    Some(UpstreamInstance {
        instance: &item.instance,
        zone: &item.zone,
        service: item.service.as_ref()?,
    })
}

/// Returns one listed companion.
pub(crate) fn runner(index: usize) -> ListedInstance {
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

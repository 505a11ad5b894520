//! Links to the owners of idempotency keys, in virtual time.

mod support;

use egretstage_entry::prelude::*;
use egretstage_link::LinkId;
use egretstage_platform::ListedInstance;
use egretstage_runtime::VirtualLoop;
use egretstage_wire::prelude::*;
use std::time::{Duration, Instant};
use support::{configuration_changed, entry, hello, listed_companion, name, request_arrived};

/// Number of companions, more than an entry's subset of one service.
const COMPANIONS: u16 = 200;

/// Number of entries that share the companions.
const ENTRIES: u16 = 100;

fn listed_entry(index: u16) -> ListedInstance {
    ListedInstance {
        instance: name(&format!("entry-{index}")),
        role: Role::Entry,
        service: None,
        ..listed_companion(index, "booking")
    }
}

fn dialled_instances(effects: &[EntryEffect]) -> Vec<InstanceId> {
    let dial = |effect: &EntryEffect| match effect {
        EntryEffect::Dial { instance, .. } => Some(instance.clone()),
        _ => None,
    };
    effects.iter().filter_map(dial).collect()
}

fn link_up(link: LinkId, instance: &InstanceId) -> EntryEvent {
    let hello = Box::new(hello(instance, Role::Companion));
    EntryEvent::LinkUp { link, hello }
}

#[test]
fn an_owner_outside_the_subset_is_dialled_when_its_key_is_asked_for() {
    let mut entry = VirtualLoop::new(entry(Instant::now()));
    entry.event(configuration_changed());
    let all: Vec<_> = (0..COMPANIONS)
        .map(|i| listed_companion(i, "booking"))
        .collect();
    let entries = (0..ENTRIES).map(listed_entry);
    let list = all.iter().cloned().chain(entries).collect();
    let subset = dialled_instances(&entry.event(EntryEvent::InstancesListed(list)));
    assert!(
        !subset.is_empty() && subset.len() < all.len(),
        "a proper subset"
    );
    let outside = all.iter().find(|item| !subset.contains(&item.instance));
    let owner = outside
        .expect("a companion outside the subset")
        .instance
        .clone();
    let (first, second) = (LinkId(1), LinkId(2));
    entry.event(link_up(first, &subset[0]));
    let member = Member {
        instance: owner.clone(),
        incarnation: Incarnation(7),
    };
    let frame = Frame::Owners(OwnersView {
        service: name("booking"),
        epoch: Epoch(3),
        members: vec![member],
    });
    entry.event(EntryEvent::Frame { link: first, frame });

    let path = "/services/booking/bookings";
    let effects = entry.event(request_arrived(CallKey(1), path, Some("b-17"), ""));

    assert_eq!(dialled_instances(&effects), std::slice::from_ref(&owner));
    entry.event(link_up(second, &owner));
    let effects = entry.advance(Duration::from_millis(100));
    let sent = effects.iter().find_map(|effect| match effect {
        EntryEffect::Send {
            link,
            frame: Frame::Start(start),
        } => Some((*link, start.claim)),
        _ => None,
    });
    let (link, claim) = sent.expect("a start frame");
    assert_eq!(link, second);
    assert_eq!(claim.map(|claim| claim.epoch), Some(Epoch(3)));
}

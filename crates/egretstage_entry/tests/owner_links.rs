//! Links to the owners of keys, in virtual time.

use egretstage_config::{ConfigurationFold, Offset, Record, token_digest};
use egretstage_entry::prelude::*;
use egretstage_entry::{RawRequest, RequestLimits};
use egretstage_link::LinkKey;
use egretstage_platform::{InstanceState, ListedInstance};
use egretstage_routing::LeastLoaded;
use egretstage_runtime::VirtualLoop;
use egretstage_wire::PROTOCOL_VERSION;
use egretstage_wire::prelude::*;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// More companions than an entry takes of one service.
const COMPANIONS: u16 = 200;

/// Entries that share the companions.
const ENTRIES: u16 = 100;

const BUDGET: Duration = Duration::from_secs(10);

fn name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).ok().expect("a valid name")
}

fn configured() -> EntryEvent {
    let token = json!({"token_digests": [token_digest("token")]});
    let records = [
        ("organisation", "desk", token),
        ("service", "booking", json!({})),
    ];
    let mut fold = ConfigurationFold::default();
    for (index, (kind, name, body)) in records.into_iter().enumerate() {
        let record = json!({
            "id": name, "kind": kind, "name": name, "base": 0, "schema": 1, "body": body,
        });
        let record: Record = serde_json::from_value(record).expect("a record");
        fold.apply(Offset(index as u64 + 1), &record);
    }
    EntryEvent::Configured {
        offset: fold.offset(),
        configuration: Arc::clone(fold.configuration()),
    }
}

fn listed(index: u16) -> ListedInstance {
    ListedInstance {
        instance: name(&format!("ledger-{index}")),
        role: Role::Companion,
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index)),
        zone: name("west"),
        service: Some(name("booking")),
        state: InstanceState::Live,
    }
}

fn listed_entry(index: u16) -> ListedInstance {
    ListedInstance {
        instance: name(&format!("entry-{index}")),
        role: Role::Entry,
        service: None,
        ..listed(index)
    }
}

fn hello(instance: &InstanceId) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        role: Role::Companion,
        instance: instance.clone(),
        incarnation: Incarnation(7),
        zone: name("west"),
        service: Some(name("booking")),
    }
}

fn booking() -> EntryEvent {
    let raw = RawRequest {
        method: "POST".to_owned(),
        path: "/services/booking/bookings".to_owned(),
        authorization: Some("Bearer token".to_owned()),
        key: Some("b-17".to_owned()),
        ..RawRequest::default()
    };
    let limits = RequestLimits {
        default_budget: BUDGET,
        max_budget: BUDGET,
    };
    let checked = CallRequest::check(raw, CallKey(1), name("request"), &limits);
    EntryEvent::Arrived(Box::new(checked.expect("a valid request")))
}

fn dialled(effects: &[EntryEffect]) -> Vec<InstanceId> {
    let dial = |effect: &EntryEffect| match effect {
        EntryEffect::Dial { instance, .. } => Some(instance.clone()),
        _ => None,
    };
    effects.iter().filter_map(dial).collect()
}

#[test]
fn an_owner_outside_the_subset_is_dialled_when_its_key_is_asked_for() {
    let policy = Box::new(LeastLoaded);
    let limits = EntryLimits::default();
    let zone: ZoneName = name("west");
    let reducer = EntryReducer::new(Instant::now(), zone, Incarnation(1), limits, policy);
    let mut entry = VirtualLoop::new(reducer);
    entry.event(configured());
    let all: Vec<_> = (0..COMPANIONS).map(listed).collect();
    let entries = (0..ENTRIES).map(listed_entry);
    let list = all.iter().cloned().chain(entries).collect();
    let subset = dialled(&entry.event(EntryEvent::Listed(list)));
    assert!(!subset.is_empty() && subset.len() < all.len(), "a subset");
    let outside = all.iter().find(|item| !subset.contains(&item.instance));
    let owner = outside.expect("a companion outside").instance.clone();
    let (first, second) = (LinkKey(1), LinkKey(2));
    entry.event(EntryEvent::LinkUp {
        link: first,
        hello: Box::new(hello(&subset[0])),
    });
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

    let effects = entry.event(booking());

    assert_eq!(dialled(&effects), std::slice::from_ref(&owner));
    let hello = Box::new(hello(&owner));
    entry.event(EntryEvent::LinkUp {
        link: second,
        hello,
    });
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

//! Shared helpers for tests of the entry's reducer.

use egretstage_config::{ConfigurationFold, Offset, Record, token_digest};
use egretstage_entry::prelude::*;
use egretstage_entry::{RawRequest, RequestLimits};
use egretstage_platform::{InstanceState, ListedInstance};
use egretstage_routing::LeastLoaded;
use egretstage_wire::PROTOCOL_VERSION;
use egretstage_wire::prelude::*;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const REQUEST_BUDGET: Duration = Duration::from_secs(30);

/// Parses a valid name.
pub(crate) fn name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).ok().expect("a valid name")
}

/// Creates the reducer of an entry without configuration and instance list.
pub(crate) fn entry(now: Instant) -> EntryReducer {
    let limits = EntryLimits::default();
    let policy = Box::new(LeastLoaded);
    EntryReducer::new(now, name("west"), Incarnation(1), limits, policy)
}

/// Returns the event of a configuration with an organisation, a service and a
/// model group.
pub(crate) fn configuration_changed() -> EntryEvent {
    let token = json!({"token_digests": [token_digest("token")]});
    let records = [
        ("organisation", "desk", token),
        ("service", "booking", json!({})),
        ("model-group", "drafting", json!({"model": "draft-1"})),
    ];
    let mut fold = ConfigurationFold::default();
    for (index, (kind, name, body)) in records.into_iter().enumerate() {
        let record = json!({
            "id": name, "kind": kind, "name": name, "base": 0, "schema": 1, "body": body,
        });
        let record: Record = serde_json::from_value(record).expect("a record");
        fold.apply(Offset(index as u64 + 1), &record);
    }
    EntryEvent::ConfigurationChanged {
        offset: fold.offset(),
        configuration: Arc::clone(fold.configuration()),
    }
}

/// Returns the list item of a companion of a service.
pub(crate) fn listed_companion(index: u16, service: &str) -> ListedInstance {
    ListedInstance {
        instance: name(&format!("runner-{index}")),
        role: Role::Companion,
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index)),
        zone: name("west"),
        service: Some(name(service)),
        state: InstanceState::Live,
    }
}

/// Returns the hello frame of an instance.
pub(crate) fn hello(instance: &InstanceId, role: Role) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        role,
        instance: instance.clone(),
        incarnation: Incarnation(7),
        zone: name("west"),
        service: None,
    }
}

/// Returns the event of an arriving POST request.
pub(crate) fn request_arrived(
    call: CallKey,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> EntryEvent {
    let raw = RawRequest {
        method: "POST".to_owned(),
        path: path.to_owned(),
        authorization: Some("Bearer token".to_owned()),
        key: key.map(ToOwned::to_owned),
        body: body.as_bytes().to_vec(),
        ..RawRequest::default()
    };
    let limits = RequestLimits {
        default_budget: REQUEST_BUDGET,
        max_budget: REQUEST_BUDGET,
    };
    let parsed = CallRequest::from_raw(raw, call, name("request"), &limits);
    EntryEvent::RequestArrived(Box::new(parsed.expect("a valid request")))
}

//! Configuration of a small fleet, for tests and benchmarks.

use crate::caller::CallerRequest;
use crate::fleet::{Fleet, ProgramPaths};
use crate::placement::Placement;
use crate::program::{Program, wait_for};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::net::SocketAddr;

/// Bearer token of the organisation `leasing-desk`.
pub const DESK_TOKEN: &str = "desk-token";

/// Bearer token of the organisation `field-crews`.
pub const CREW_TOKEN: &str = "crew-token";

/// Starts the platform's stand-ins and publishes [`configuration`].
#[must_use]
pub fn start_fleet(programs: ProgramPaths) -> Fleet {
    let fleet = Fleet::start(programs);
    fleet.publish(&configuration());
    fleet
}

/// Returns records of two organisations, the model group `drafting` and the
/// plain service `booking`.
#[must_use]
pub fn configuration() -> Value {
    json!([
        {"kind": "organisation", "name": "leasing-desk", "schema": 1,
         "body": {"token_digests": [digest(DESK_TOKEN)], "priority": 1}},
        {"kind": "organisation", "name": "field-crews", "schema": 1,
         "body": {"token_digests": [digest(CREW_TOKEN)]}},
        {"kind": "model-group", "name": "drafting", "schema": 1,
         "body": {"model": "draft-1", "ranks": 8, "experts": 64}},
        {"kind": "service", "name": "booking", "schema": 1, "body": {}},
    ])
}

fn digest(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().fold(String::new(), |mut hex, byte| {
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// Returns the placement of an engine of the model group `drafting`.
#[must_use]
pub fn drafting<'a>(instance: &'a str, zone: &'a str, upstream: SocketAddr) -> Placement<'a> {
    Placement {
        instance,
        zone,
        service: "drafting",
        kind: "engine",
        upstream,
    }
}

/// Returns the placement of an upstream of the plain service `booking`.
#[must_use]
pub fn booking<'a>(instance: &'a str, zone: &'a str, upstream: SocketAddr) -> Placement<'a> {
    Placement {
        instance,
        zone,
        service: "booking",
        kind: "plain",
        upstream,
    }
}

/// Waits until an entry answers a request with the response of an upstream.
pub fn wait_for_route(entry: &Program, probe: &CallerRequest) {
    wait_for("a route", || {
        probe.send(entry.address).is_completed().then_some(())
    });
}

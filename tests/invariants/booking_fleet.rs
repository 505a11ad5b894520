//! A booking service with entries and key owners behind fault proxies, and the
//! comparison of callers' answers with what ran.

use egretstage_standins::plain_service::{ExecutedCall, PlainServiceFaults};
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, wait_for_route};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Key settings that remember keys for longer than any of these tests lasts.
pub(crate) const LONG_WINDOW: &str =
    "[keys]\nwindow_ms = 120000\nlongest_budget_ms = 5000\nlease_ms = 1000\n";

/// Key settings whose embargo ends 2.3 s after a takeover: the sum of the three
/// times.
pub(crate) const SHORT_WINDOW: &str =
    "[keys]\nwindow_ms = 500\nlongest_budget_ms = 1000\nlease_ms = 800\n";

/// Entry settings by which an owner that is neither linked nor listed as live is
/// removed after 400 ms.
const ENTRY_SETTINGS: &str = "remove_owner_after_ms = 400\n";

const OWNER_NAMES: [&str; 4] = ["ledger-0", "ledger-1", "ledger-2", "ledger-3"];

/// A key owner: a companion with its upstream and the proxy of its link.
pub(crate) struct Owner {
    pub(crate) companion: Program,
    pub(crate) proxy: FaultProxy,
    pub(crate) service: Arc<PlainServiceStandIn>,
    upstream: SocketAddr,
    name: &'static str,
}

/// The entries' current addresses, as the platform's balancer knows them.
#[derive(Clone, Default)]
pub(crate) struct EntryAddresses(Arc<Mutex<Vec<SocketAddr>>>);

impl EntryAddresses {
    /// Returns the current address of an entry.
    pub(crate) fn entry(&self, index: usize) -> SocketAddr {
        self.0.lock().expect("addresses")[index]
    }
}

/// The booking service with its key owners and entries.
pub(crate) struct BookingFleet {
    pub(crate) fleet: Fleet,
    pub(crate) owners: Vec<Owner>,
    pub(crate) entries: Vec<Program>,
    /// Addresses of the entries that callers may use.
    pub(crate) entry_addresses: EntryAddresses,
    settings: String,
    /// Time that each call takes at an upstream.
    service_time: Duration,
}

impl BookingFleet {
    /// Starts a number of owners and two entries, and waits until they complete
    /// bookings.
    pub(crate) fn start(owners: usize, settings: &str, service_time: Duration) -> Self {
        let fleet = scenario::start_fleet(programs!());
        let mut booking_fleet = Self {
            fleet,
            owners: Vec::new(),
            entries: Vec::new(),
            entry_addresses: EntryAddresses::default(),
            settings: settings.to_owned(),
            service_time,
        };
        for _ in 0..owners {
            booking_fleet.add_owner();
        }
        booking_fleet.add_entry();
        booking_fleet.add_entry();
        booking_fleet.wait_for_owners(owners);
        booking_fleet
    }

    /// Starts one more owner.
    pub(crate) fn add_owner(&mut self) {
        let name = OWNER_NAMES[self.owners.len()];
        let (service, upstream) = self.fleet.plain_service(PlainServiceOptions {
            work: self.service_time,
        });
        let (companion, proxy) = self.start_companion(name, upstream);
        self.owners.push(Owner {
            companion,
            proxy,
            service,
            upstream,
            name,
        });
    }

    /// Kills an owner and starts it again under the same name.
    pub(crate) fn restart_owner(&mut self, index: usize) {
        self.owners[index].companion.kill();
        let (name, upstream) = (self.owners[index].name, self.owners[index].upstream);
        let (companion, proxy) = self.start_companion(name, upstream);
        self.owners[index].companion = companion;
        self.owners[index].proxy = proxy;
    }

    fn start_companion(&self, name: &str, upstream: SocketAddr) -> (Program, FaultProxy) {
        let placement = booking(name, "west", upstream);
        let mut proxy = None;
        let settings = format!("\n{}", self.settings);
        let companion = self
            .fleet
            .companion_listed_at(&placement, &settings, |address| {
                let link_proxy = self.fleet.proxy(address, u64::from(address.port()));
                let listed_address = link_proxy.address();
                proxy = Some(link_proxy);
                listed_address
            });
        (companion, proxy.expect("the proxy of the link"))
    }

    /// Removes an owner from the instance list.
    pub(crate) fn unlist(&self, index: usize) {
        self.fleet.list.remove(self.owners[index].name);
    }

    /// Adds an owner to the instance list again.
    pub(crate) fn list(&self, index: usize) {
        let owner = &self.owners[index];
        let placement = booking(owner.name, "west", owner.upstream);
        self.fleet
            .list_companion(&placement, owner.proxy.address(), "live");
    }

    /// Starts one more entry.
    pub(crate) fn add_entry(&mut self) {
        let name = format!("entry-{}", self.entries.len());
        let entry = self
            .fleet
            .entry_with_caller_settings(&name, "west", ENTRY_SETTINGS);
        entry.wait_until_ready(true);
        wait_for_route(
            &entry,
            &CallerRequest::plain("GET", "/services/booking/ping", ""),
        );
        self.entry_addresses
            .0
            .lock()
            .expect("addresses")
            .push(entry.address);
        self.entries.push(entry);
    }

    /// Kills an entry and starts it again under the same name, at a new address.
    pub(crate) fn restart_entry(&mut self, index: usize) {
        self.entries[index].kill();
        let name = format!("entry-{index}");
        let entry = self
            .fleet
            .entry_with_caller_settings(&name, "west", ENTRY_SETTINGS);
        entry.wait_until_ready(true);
        self.entry_addresses.0.lock().expect("addresses")[index] = entry.address;
        self.entries[index] = entry;
    }

    /// Waits until the log holds the joins of `count` owners and each entry completes
    /// a booking.
    pub(crate) fn wait_for_owners(&self, count: usize) {
        wait_for("the owners to join", || {
            let records = self.fleet.log.records("owners-booking");
            let joins = records.iter().filter(|r| r["action"] == "join").count();
            (joins >= count).then_some(())
        });
        for entry in &self.entries {
            wait_for("an answer to a booking", || {
                let probe = format!("probe-{}", rand::random::<u64>());
                booking_request(&probe)
                    .send(entry.address)
                    .is_completed()
                    .then_some(())
            });
        }
    }

    /// Returns the current addresses of the entries.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }

    /// Returns the index of the owner whose upstream ran a key.
    pub(crate) fn owner_of(&self, key: &str) -> usize {
        let ran_key = |owner: &Owner| {
            owner
                .service
                .executed_calls()
                .iter()
                .any(|call| is_run_of(call, key))
        };
        let index = self.owners.iter().position(ran_key);
        index.expect("the key ran")
    }

    /// Returns how many times a key ran.
    pub(crate) fn run_count(&self, key: &str) -> usize {
        self.bookings()
            .iter()
            .filter(|call| is_run_of(call, key))
            .count()
    }

    /// Returns all bookings that ran.
    pub(crate) fn bookings(&self) -> Vec<ExecutedCall> {
        let calls = self
            .owners
            .iter()
            .flat_map(|owner| owner.service.executed_calls());
        calls.filter(|call| call.method == "POST").collect()
    }

    /// Sets whether the upstreams lose their answers after a call took effect.
    pub(crate) fn set_lose_answers(&self, lose_answers: bool) {
        for owner in &self.owners {
            owner.service.set_faults(PlainServiceFaults {
                lose_answers,
                ..PlainServiceFaults::default()
            });
        }
    }

    /// Compares the answers that callers received, each with its key, with what
    /// ran.
    pub(crate) fn check_answers(&self, answers: &[(String, CallerResponse)]) {
        let bookings = self.bookings();
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for key in bookings.iter().filter_map(|booking| booking.key.as_deref()) {
            *runs.entry(key).or_default() += 1;
        }
        for (key, count) in runs {
            assert_eq!(count, 1, "key {key} ran {count} times");
        }
        let mut first_bodies: HashMap<&str, &str> = HashMap::new();
        for (key, answer) in answers {
            if answer.is_completed() {
                let first_body = first_bodies.entry(key).or_insert(&answer.body);
                assert_eq!(*first_body, answer.body, "two answers to key {key}");
                assert!(answer.body.contains(&format!("\"{key}\"")), "{answer:?}");
            }
            if answer.is_not_run() {
                let request_id = answer.request.as_deref();
                let executed = bookings
                    .iter()
                    .find(|booking| booking.request.as_deref() == request_id);
                assert_eq!(
                    executed, None,
                    "ran, but was answered as not run: {answer:?}"
                );
            }
        }
    }
}

fn is_run_of(call: &ExecutedCall, key: &str) -> bool {
    call.method == "POST" && call.key.as_deref() == Some(key)
}

/// Returns a booking request with an idempotency key.
pub(crate) fn booking_request(key: &str) -> CallerRequest {
    let body = format!("{{\"duct\":\"{key}\"}}");
    CallerRequest::plain("POST", "/services/booking/bookings", &body)
        .key(key)
        .budget(Duration::from_secs(3))
}

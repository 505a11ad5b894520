//! A booking desk: owners of keys behind proxies, entries, and callers whose
//! answers are compared with what really ran.

use egretstage_standins::plain_service::{ExecutedCall, PlainServiceFaults};
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, wait_for_route};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Keys are remembered for longer than any of these tests lasts.
pub(crate) const LONG_WINDOW: &str =
    "[keys]\nwindow_ms = 120000\nlongest_budget_ms = 5000\nlease_ms = 1000\n";

/// A takeover ends an embargo after 2.3 s.
pub(crate) const SHORT_WINDOW: &str =
    "[keys]\nwindow_ms = 500\nlongest_budget_ms = 1000\nlease_ms = 800\n";

const ENTRY_SETTINGS: &str = "remove_owner_after_ms = 400\n";

const NAMES: [&str; 4] = ["ledger-0", "ledger-1", "ledger-2", "ledger-3"];

/// An owner of keys with its link's proxy and its upstream.
pub(crate) struct Owner {
    pub(crate) program: Program,
    pub(crate) proxy: FaultProxy,
    pub(crate) service: Arc<PlainServiceStandIn>,
    upstream: SocketAddr,
    name: &'static str,
}

/// Knows the entries' present addresses, as the platform's balancer does.
#[derive(Clone, Default)]
pub(crate) struct Balancer(Arc<Mutex<Vec<SocketAddr>>>);

impl Balancer {
    /// Returns the address of an entry.
    pub(crate) fn entry(&self, index: usize) -> SocketAddr {
        self.0.lock().expect("addresses")[index]
    }
}

/// A fleet with owners of keys and entries.
pub(crate) struct Desk {
    pub(crate) fleet: Fleet,
    pub(crate) owners: Vec<Owner>,
    pub(crate) entries: Vec<Program>,
    /// Addresses of the entries that callers may use.
    pub(crate) balancer: Balancer,
    settings: String,
    work: Duration,
}

impl Desk {
    pub(crate) fn start(owners: usize, settings: &str, work: Duration) -> Self {
        let fleet = scenario::start_fleet(programs!());
        let mut desk = Self {
            fleet,
            owners: Vec::new(),
            entries: Vec::new(),
            balancer: Balancer::default(),
            settings: settings.to_owned(),
            work,
        };
        for _ in 0..owners {
            desk.add_owner();
        }
        desk.add_entry();
        desk.add_entry();
        desk.await_owners(owners);
        desk
    }

    /// Starts one more owner.
    pub(crate) fn add_owner(&mut self) {
        let name = NAMES[self.owners.len()];
        let (service, upstream) = self
            .fleet
            .plain_service(PlainServiceOptions { work: self.work });
        let (program, proxy) = self.launch(name, upstream);
        self.owners.push(Owner {
            program,
            proxy,
            service,
            upstream,
            name,
        });
    }

    /// Kills an owner and starts it again under the same name.
    pub(crate) fn restart_owner(&mut self, index: usize) {
        self.owners[index].program.kill();
        let (name, upstream) = (self.owners[index].name, self.owners[index].upstream);
        let (program, proxy) = self.launch(name, upstream);
        self.owners[index].program = program;
        self.owners[index].proxy = proxy;
    }

    fn launch(&self, name: &str, upstream: SocketAddr) -> (Program, FaultProxy) {
        let place = booking(name, "west", upstream);
        let mut proxy = None;
        let settings = format!("\n{}", self.settings);
        let program = self
            .fleet
            .companion_listed_at(&place, &settings, |address| {
                let started = self.fleet.proxy(address, u64::from(address.port()));
                let listed = started.address();
                proxy = Some(started);
                listed
            });
        (program, proxy.expect("a proxy"))
    }

    /// Takes an owner off the instance list.
    pub(crate) fn unlist(&self, index: usize) {
        self.fleet.list.remove(self.owners[index].name);
    }

    /// Puts an owner on the instance list.
    pub(crate) fn list(&self, index: usize) {
        let owner = &self.owners[index];
        let place = booking(owner.name, "west", owner.upstream);
        self.fleet
            .list_companion(&place, owner.proxy.address(), "live");
    }

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
        self.balancer
            .0
            .lock()
            .expect("addresses")
            .push(entry.address);
        self.entries.push(entry);
    }

    /// Kills an entry and starts another in its place.
    pub(crate) fn restart_entry(&mut self, index: usize) {
        self.entries[index].kill();
        let name = format!("entry-{index}");
        let entry = self
            .fleet
            .entry_with_caller_settings(&name, "west", ENTRY_SETTINGS);
        entry.wait_until_ready(true);
        self.balancer.0.lock().expect("addresses")[index] = entry.address;
        self.entries[index] = entry;
    }

    /// Waits until a number of owners stand on the log and take keys.
    pub(crate) fn await_owners(&self, count: usize) {
        wait_for("the owners", || {
            let records = self.fleet.log.records("owners-booking");
            let joins = records.iter().filter(|r| r["action"] == "join").count();
            (joins >= count).then_some(())
        });
        for entry in &self.entries {
            wait_for("an answer to a booking", || {
                let probe = format!("probe-{}", rand::random::<u64>());
                book(&probe)
                    .send(entry.address)
                    .is_completed()
                    .then_some(())
            });
        }
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }

    /// Returns which owner's upstream ran a key.
    pub(crate) fn owner_of(&self, key: &str) -> usize {
        let ran = |owner: &Owner| {
            owner
                .service
                .executed_calls()
                .iter()
                .any(|ran| is_run_of(ran, key))
        };
        let index = self.owners.iter().position(ran);
        index.expect("the key ran")
    }

    /// Returns how often a key ran.
    pub(crate) fn runs_of(&self, key: &str) -> usize {
        self.bookings()
            .iter()
            .filter(|ran| is_run_of(ran, key))
            .count()
    }

    /// Returns all bookings that really ran.
    pub(crate) fn bookings(&self) -> Vec<ExecutedCall> {
        let ran = self
            .owners
            .iter()
            .flat_map(|owner| owner.service.executed_calls());
        ran.filter(|ran| ran.method == "POST").collect()
    }

    /// Has the upstreams lose their answers after the effect, or not.
    pub(crate) fn lose_answers(&self, lose_answers: bool) {
        for owner in &self.owners {
            owner.service.set_faults(PlainServiceFaults {
                lose_answers,
                ..PlainServiceFaults::default()
            });
        }
    }

    /// Compares what callers were told with what really ran.
    pub(crate) fn check(&self, told: &[(String, CallerResponse)]) {
        let ran = self.bookings();
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for key in ran.iter().filter_map(|ran| ran.key.as_deref()) {
            *runs.entry(key).or_default() += 1;
        }
        for (key, count) in runs {
            assert_eq!(count, 1, "key {key} ran {count} times");
        }
        let mut answers: HashMap<&str, &str> = HashMap::new();
        for (key, told) in told {
            if told.is_completed() {
                let first = answers.entry(key).or_insert(&told.body);
                assert_eq!(*first, told.body, "two answers to key {key}");
                assert!(told.body.contains(&format!("\"{key}\"")), "{told:?}");
            }
            if told.is_not_run() {
                let request = told.request.as_deref();
                let ran = ran.iter().find(|ran| ran.request.as_deref() == request);
                assert_eq!(ran, None, "told not run: {told:?}");
            }
        }
    }
}

fn is_run_of(ran: &ExecutedCall, key: &str) -> bool {
    ran.method == "POST" && ran.key.as_deref() == Some(key)
}

/// Prepares a booking with a key.
pub(crate) fn book(key: &str) -> CallerRequest {
    let body = format!("{{\"duct\":\"{key}\"}}");
    CallerRequest::plain("POST", "/services/booking/bookings", &body)
        .key(key)
        .budget(Duration::from_secs(3))
}

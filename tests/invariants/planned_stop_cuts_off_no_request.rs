//! Every planned stop is a graceful shutdown that cuts off no request.

use egretstage_standins::engine::expected_stream;
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, drafting, wait_for_route};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Enough for a draft to outlast the grace of an entry that is not ready.
const TOKENS: u32 = 80;

fn engine_options() -> EngineOptions {
    EngineOptions {
        slots: 8,
        token_interval: Duration::from_millis(20),
        ..EngineOptions::default()
    }
}

/// Sends drafts as a balancer would: only to entries that say they are ready.
fn draft(
    entries: &[(std::net::SocketAddr, std::net::SocketAddr)],
    number: usize,
) -> CallerResponse {
    let ready = wait_for("a ready entry", || {
        let rotated = entries.iter().cycle().skip(number).take(entries.len());
        rotated
            .filter(|(_, admin)| is_ready(*admin))
            .map(|(address, _)| *address)
            .next()
    });
    let prompt = format!("duct {number}");
    let told = CallerRequest::chat("draft-1", &prompt, TOKENS, true).send(ready);
    let messages = chat_messages(&prompt).to_string();
    assert!(told.is_completed(), "draft {number}: {told:?}");
    assert_eq!(told.body, expected_stream("draft-1", &messages, TOKENS));
    told
}

fn is_ready(admin: std::net::SocketAddr) -> bool {
    ureq::get(format!("http://{admin}/readyz")).call().is_ok()
}

/// Keeps six callers drafting while `stop` stops a process as planned.
fn check(stop: impl FnOnce(&mut Vec<Program>, &mut Vec<Program>)) {
    let fleet = scenario::start_fleet(programs!());
    let (_engine_1, upstream_1) = fleet.engine(engine_options());
    let (_engine_2, upstream_2) = fleet.engine(engine_options());
    let mut companions = vec![
        fleet.companion(&drafting("draft-1", "west", upstream_1)),
        fleet.companion(&drafting("draft-2", "east", upstream_2)),
    ];
    let mut entries = vec![
        fleet.entry("entry-1", "west"),
        fleet.entry("entry-2", "east"),
    ];
    for entry in &entries {
        wait_for_route(entry, &CallerRequest::chat("draft-1", "probe", 1, false));
    }
    let addresses: Vec<_> = entries.iter().map(|e| (e.address, e.admin)).collect();
    let done = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let (addresses, done) = (addresses.clone(), Arc::clone(&done));
            std::thread::spawn(move || {
                let mut number = caller;
                while !done.load(Ordering::Relaxed) {
                    draft(&addresses, number);
                    number += 6;
                }
                number / 6
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    stop(&mut entries, &mut companions);
    std::thread::sleep(Duration::from_secs(1));
    done.store(true, Ordering::Relaxed);
    let drafts: usize = callers
        .into_iter()
        .map(|c| c.join().expect("whole answers"))
        .sum();
    assert!(drafts > 6);
}

#[test]
fn of_an_entry() {
    check(|entries, _| {
        let mut entry = entries.remove(0);
        entry.terminate();
        assert!(entry.wait().success());
    });
}

#[test]
fn of_a_companion() {
    check(|_, companions| {
        let mut companion = companions.remove(0);
        companion.terminate();
        assert!(companion.wait().success());
    });
}

#[test]
fn of_a_companion_whose_link_is_slow() {
    let fleet = scenario::start_fleet(programs!());
    let work = Duration::from_millis(50);
    let (service, upstream) = fleet.plain_service(PlainServiceOptions { work });
    let (other, other_upstream) = fleet.plain_service(PlainServiceOptions { work });
    let place = booking("ledger-1", "west", upstream);
    let mut companion = fleet.unlisted_companion(&place, free_address());
    companion.wait_until_ready(true);
    let proxy = fleet.proxy(companion.address, 1);
    fleet.list_companion(&place, proxy.address(), "live");
    let _other = fleet.companion(&booking("ledger-2", "west", other_upstream));
    let entry = fleet.entry("entry-1", "west");
    wait_for_route(
        &entry,
        &CallerRequest::plain("GET", "/services/booking/ping", ""),
    );
    proxy.set_faults(LinkFaults {
        delay: Duration::from_millis(300),
        ..LinkFaults::default()
    });
    let address = entry.address;
    let callers: Vec<_> = (0..40)
        .map(|number: u32| {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(20) * number);
                let body = format!("{{\"duct\": {number}}}");
                CallerRequest::plain("POST", "/services/booking/bookings", &body).send(address)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(400));
    companion.terminate();
    assert!(companion.wait().success());
    let told: Vec<_> = callers
        .into_iter()
        .map(|c| c.join().expect("a caller"))
        .collect();
    let lost: Vec<_> = told.iter().filter(|told| !told.is_completed()).collect();
    assert!(
        lost.is_empty(),
        "{} bookings were cut off, first {:?}",
        lost.len(),
        lost[0]
    );
    let ran = service
        .executed_calls()
        .into_iter()
        .chain(other.executed_calls());
    let bookings = ran.filter(|ran| ran.path == "/bookings").count();
    assert_eq!(bookings, told.len());
}

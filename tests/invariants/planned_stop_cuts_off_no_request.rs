//! Every planned stop is a graceful shutdown that cuts off no request.

use egretstage_standins::engine::expected_stream;
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, drafting, wait_for_route};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Length of a draft, which lasts longer than the grace period of an entry that
/// is no longer ready.
const DRAFT_TOKENS: u32 = 80;

fn engine_options() -> EngineOptions {
    EngineOptions {
        slots: 8,
        token_interval: Duration::from_millis(20),
        ..EngineOptions::default()
    }
}

/// Time between the stop signal and the end of listening, as the entries of the fleet are set.
const NOT_READY_GRACE: Duration = Duration::from_secs(1);

/// Time in which all bytes of an answer have arrived.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Sends a draft as the platform's balancer would, to an entry that reports
/// itself ready, and checks that its answer is complete.
fn send_draft(
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
    let answer = CallerRequest::chat("draft-1", &prompt, DRAFT_TOKENS, true).send(ready);
    let messages = chat_messages(&prompt).to_string();
    assert!(answer.is_completed(), "draft {number}: {answer:?}");
    assert_eq!(
        answer.body,
        expected_stream("draft-1", &messages, DRAFT_TOKENS)
    );
    answer
}

fn is_ready(admin: std::net::SocketAddr) -> bool {
    ureq::get(format!("http://{admin}/readyz")).call().is_ok()
}

/// Checks that all drafts of six callers complete while `stop` shuts down a
/// process.
fn check_planned_stop(stop: impl FnOnce(&mut Vec<Program>, &mut Vec<Program>)) {
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
                    send_draft(&addresses, number);
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
        .map(|c| c.join().expect("complete answers"))
        .sum();
    assert!(drafts > 6);
}

#[test]
fn of_an_entry() {
    check_planned_stop(|entries, _| {
        let mut entry = entries.remove(0);
        entry.terminate();
        assert!(entry.wait().success());
    });
}

#[test]
fn of_a_companion() {
    check_planned_stop(|_, companions| {
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
    let (other_service, other_upstream) = fleet.plain_service(PlainServiceOptions { work });
    let placement = booking("ledger-1", "west", upstream);
    let mut companion = fleet.unlisted_companion(&placement, free_address());
    companion.wait_until_ready(true);
    let proxy = fleet.proxy(companion.address, 1);
    fleet.list_companion(&placement, proxy.address(), "live");
    let _other_companion = fleet.companion(&booking("ledger-2", "west", other_upstream));
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
    let answers: Vec<_> = callers
        .into_iter()
        .map(|c| c.join().expect("a caller"))
        .collect();
    let failed: Vec<_> = answers
        .iter()
        .filter(|answer| !answer.is_completed())
        .collect();
    assert!(
        failed.is_empty(),
        "{} bookings were cut off, first {:?}",
        failed.len(),
        failed[0]
    );
    let calls = service
        .executed_calls()
        .into_iter()
        .chain(other_service.executed_calls());
    let bookings = calls.filter(|call| call.path == "/bookings").count();
    assert_eq!(bookings, answers.len());
}

/// Sends a request on a connection that stays open; returns the answer's first line, empty if
/// the connection is closed without one.
fn ask_on(tcp: &mut TcpStream) -> String {
    let head = format!(
        "GET /services/booking/ping HTTP/1.1\r\nHost: entry\r\n\
         Authorization: Bearer {}\r\n\r\n",
        scenario::DESK_TOKEN
    );
    if tcp.write_all(head.as_bytes()).is_err() {
        return String::new();
    }
    tcp.set_read_timeout(Some(ANSWER_TIME)).expect("a timeout");
    let (mut text, mut buf) = (String::new(), [0; 4096]);
    while let Ok(size @ 1..) = tcp.read(&mut buf) {
        text.push_str(&String::from_utf8_lossy(&buf[..size]));
    }
    text.lines().next().unwrap_or_default().to_owned()
}

/// Report: requests that came late in the grace on kept connections were passed on and cut.
/// Here they aren't read any more.
#[test]
fn of_an_entry_with_late_requests_on_kept_connections() {
    let fleet = scenario::start_fleet(programs!());
    let (service, upstream) = fleet.plain_service(PlainServiceOptions::default());
    let _companion = fleet.companion(&booking("ledger-1", "west", upstream));
    let mut entry = fleet.entry("entry-1", "west");
    let ping = CallerRequest::plain("GET", "/services/booking/ping", "");
    wait_for_route(&entry, &ping);
    let connect = || TcpStream::connect(entry.address).expect("a connection");
    let mut connections = [(); 2].map(|()| connect());
    for tcp in &mut connections {
        assert!(ask_on(tcp).contains(" 200 "));
    }
    let [mut early, mut late] = connections;
    entry.terminate();
    assert!(ask_on(&mut early).contains(" 200 "), "still answered");
    std::thread::sleep(NOT_READY_GRACE + Duration::from_millis(300));
    let executed = service.executed_calls().len();
    assert_eq!(ask_on(&mut late), "", "closed without having been read");
    assert_eq!(service.executed_calls().len(), executed);
    assert!(entry.wait().success());
}

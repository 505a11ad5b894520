//! Tests of an entry as a process among callers outside the limits, one crowd at a time. They
//! check nothing that depends on the machine's speed.

use egretstage_standins::crowd::{
    CROWD, CrowdCaller, MAX_BODY_BYTES, run_crowd, send_body_over_limit, send_chunked_body,
    send_legal_body, send_more_over_limit, send_unfinished_head,
};
use egretstage_standins::prelude::*;
use egretstage_standins::process_watch::ProcessWatch;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, wait_for_route};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// Memory that the entry may take, in bytes.
const MAX_MEMORY_BYTES: usize = 48 * 1024 * 1024;

/// Number of descriptors that the entry may have open.
const MAX_DESCRIPTORS: usize = 200;

/// Settings that bound what callers make the entry hold.
const LIMIT_SETTINGS: &str = "max_connections = 100\nmax_all_bodies_bytes = 12582912\n";

/// Makes the tests run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Head of a request to the entry, up to the header that frames its body.
fn head(number: usize) -> String {
    format!(
        "POST /services/booking/bookings HTTP/1.1\r\nHost: a\r\nIdempotency-Key: c{number}\r\n\
         Authorization: Bearer desk-token\r\n"
    )
}

/// Lets a crowd send, then checks that the entry lives within its bounds and answers an
/// ordinary request while the crowd holds its connections, and the largest legal one once the
/// crowd is gone.
fn assert_outlasted(send: fn(&mut CrowdCaller), send_more: fn(&mut CrowdCaller)) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = scenario::start_fleet(programs!());
    let (_service, upstream) = fleet.plain_service(PlainServiceOptions::default());
    let _companion = fleet.companion(&booking("ledger-1", "west", upstream));
    let settings = format!("max_body_bytes = {MAX_BODY_BYTES}\n{LIMIT_SETTINGS}");
    let entry = fleet.entry_with_caller_settings("entry-1", "west", &settings);
    entry.wait_until_ready(true);
    wait_for_route(
        &entry,
        &CallerRequest::plain("GET", "/services/booking/ping", ""),
    );
    let watch = ProcessWatch::new(entry.id());
    let (calm_descriptors, calm_memory) = (watch.descriptors(), watch.peak_memory_bytes());
    let has_sent = AtomicBool::new(false);
    let (crowd, descriptors) = std::thread::scope(|scope| {
        let peak = scope.spawn(|| watch.peak_descriptors_until(&has_sent));
        let crowd = run_crowd(entry.address, head, send, send_more);
        watch.await_idle();
        has_sent.store(true, Ordering::Relaxed);
        (crowd, peak.join().expect("no panic"))
    });
    let request = CallerRequest::plain("POST", "/services/booking/bookings", "{\"duct\":17}");
    let ordinary = request.key("ordinary").send(entry.address);
    drop(crowd);
    watch.await_descriptors(calm_descriptors);
    let mut largest = CrowdCaller::connect(entry.address, CROWD, head);
    largest.send_length(MAX_BODY_BYTES);
    largest.send_pieces(MAX_BODY_BYTES, MAX_BODY_BYTES);
    let largest = largest.read_status();
    let memory = watch.peak_memory_bytes();
    println!(
        "memory {calm_memory} to {memory} bytes, descriptors {calm_descriptors} to {descriptors}"
    );
    assert!(memory > 0, "the process has ended");
    assert!(ordinary.is_completed(), "{ordinary:?}");
    assert_eq!(largest.as_deref(), Some("HTTP/1.1 200"));
    assert!(
        memory <= MAX_MEMORY_BYTES,
        "{memory} bytes of memory, {calm_memory} before the crowd"
    );
    assert!(descriptors <= MAX_DESCRIPTORS, "{descriptors} descriptors");
}

/// Report: many bodies of legal size at once, most of which stopped just short of their end
/// and stayed open.
#[test]
fn a_crowd_with_legal_bodies_is_outlasted() {
    assert_outlasted(send_legal_body, |_| ());
}

/// Report: the same with chunked bodies, in large or very small chunks.
#[test]
fn a_crowd_with_chunked_bodies_is_outlasted() {
    assert_outlasted(send_chunked_body, |_| ());
}

/// Report: the same with bodies far over the limit, announced or just sent.
#[test]
fn a_crowd_with_bodies_over_the_limit_is_outlasted() {
    assert_outlasted(send_body_over_limit, send_more_over_limit);
}

/// Callers that stop within the heads of their requests.
#[test]
fn a_crowd_that_stops_within_its_heads_is_outlasted() {
    assert_outlasted(send_unfinished_head, |_| ());
}

/// An answer to a body that isn't read to its end says that the connection is closed; after
/// one whose rest was discarded, the connection stays.
#[test]
fn only_an_unread_body_closes_the_connection() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = scenario::start_fleet(programs!());
    let settings = format!("max_body_bytes = {MAX_BODY_BYTES}\n{LIMIT_SETTINGS}");
    let entry = fleet.entry_with_caller_settings("entry-1", "west", &settings);
    entry.wait_until_ready(true);
    let answer_head = |announced: usize, sent: usize| {
        let mut caller = CrowdCaller::connect(entry.address, 0, head);
        caller.send_length(announced);
        caller.send_pieces(sent, MAX_BODY_BYTES);
        caller.read_head().expect("an answer")
    };
    // What the entry reads and discards of a body: none is left unread when it closes.
    let discarded_bytes = 16 * 1024 * 1024;
    let unread = answer_head(2 * discarded_bytes, discarded_bytes);
    assert!(unread.starts_with("http/1.1 413"), "{unread}");
    assert!(unread.contains("connection: close"), "{unread}");
    let discarded = answer_head(2 * MAX_BODY_BYTES, 2 * MAX_BODY_BYTES);
    assert!(discarded.starts_with("http/1.1 413"), "{discarded}");
    assert!(!discarded.contains("connection: close"), "{discarded}");
}

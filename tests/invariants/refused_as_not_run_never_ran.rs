//! A request that is refused as not run has not run.
//!
//! Repeat a seed with
//! `EGRET_SEED=N cargo test --test invariants refused_as_not_run_never_ran`.

use crate::booking_fleet::{BookingFleet, EntryAddresses, LONG_WINDOW};
use crate::seeds::for_each_seed;
use egretstage_standins::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::thread::JoinHandle;
use std::time::Duration;

const CALLERS: u64 = 5;
const CALLS_PER_CALLER: usize = 25;
const FAULTS_PER_RUN: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// Sends lookups and bookings without keys, all with budgets of 20 to 400 ms so
/// that many reach their deadline.
fn spawn_caller(
    seed: u64,
    number: u64,
    entries: EntryAddresses,
) -> JoinHandle<Vec<CallerResponse>> {
    std::thread::spawn(move || {
        let mut rng = ChaCha8Rng::seed_from_u64(seed * CALLERS + number);
        let send_call = |_| {
            let method = if rng.random() { "POST" } else { "GET" };
            let budget = Duration::from_millis(rng.random_range(20..400));
            let path = "/services/booking/bookings";
            let request = CallerRequest::plain(method, path, "{}").budget(budget);
            request.send(entries.entry(rng.random_range(0..2)))
        };
        (0..CALLS_PER_CALLER).map(send_call).collect()
    })
}

fn inject_fault(booking: &mut BookingFleet, rng: &mut ChaCha8Rng) {
    let owner = rng.random_range(0..booking.owners.len());
    let pause = Duration::from_millis(rng.random_range(50..500));
    match rng.random_range(0..6) {
        0 => booking.restart_owner(owner),
        1 => {
            booking.owners[owner].companion.freeze();
            std::thread::sleep(pause);
            booking.owners[owner].companion.resume();
        }
        2 => booking.owners[owner].proxy.close_connections(),
        4 => {
            let entry = rng.random_range(0..2);
            booking.restart_entry(entry);
        }
        3 => {
            booking.set_lose_answers(true);
            std::thread::sleep(pause / 2);
            booking.set_lose_answers(false);
        }
        _ => booking.owners[owner].proxy.set_faults(LinkFaults {
            delay: pause / 10,
            jitter: pause / 5,
            ..LinkFaults::default()
        }),
    }
}

/// Checks that no request refused as not run has run, and that no booking has
/// run twice.
fn check_refusals(booking: &BookingFleet, answers: &[CallerResponse]) {
    let calls: Vec<_> = booking
        .owners
        .iter()
        .flat_map(|o| o.service.executed_calls())
        .collect();
    for answer in answers.iter().filter(|answer| answer.is_not_run()) {
        let executed = calls.iter().find(|call| call.request == answer.request);
        assert_eq!(
            executed, None,
            "ran, but was answered as not run: {answer:?}"
        );
    }
    for executed in calls.iter().filter(|call| call.method == "POST") {
        let same = calls.iter().filter(|call| call.request == executed.request);
        let count = same.count();
        assert_eq!(count, 1, "ran {count} times: {executed:?}");
    }
}

#[test]
fn under_seeded_faults() {
    for_each_seed(0..2, |seed, rng| {
        let mut booking =
            BookingFleet::start(2, &format!("{}{LONG_WINDOW}", "slots = 2\n"), SERVICE_TIME);
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| spawn_caller(seed, number, booking.entry_addresses.clone()))
            .collect();
        for _ in 0..FAULTS_PER_RUN {
            std::thread::sleep(Duration::from_millis(rng.random_range(20..200)));
            inject_fault(&mut booking, rng);
        }
        let answers = callers
            .into_iter()
            .flat_map(|c| c.join().expect("a caller"));
        let answers: Vec<_> = answers.collect();
        let not_run = answers.iter().filter(|answer| answer.is_not_run()).count();
        println!(
            "seed {seed}: {not_run} of {} answers not run",
            answers.len()
        );
        std::thread::sleep(SERVICE_TIME * 2);
        check_refusals(&booking, &answers);
    });
}

#[test]
fn when_the_upstream_loses_its_answers() {
    let booking = BookingFleet::start(1, LONG_WINDOW, SERVICE_TIME);
    let entry = booking.addresses()[0];
    booking.set_lose_answers(true);
    for method in ["GET", "POST"] {
        let answer = CallerRequest::plain(method, "/services/booking/bookings", "{}").send(entry);
        assert_eq!(
            answer.outcome.as_deref(),
            Some("unknown"),
            "{method}: {answer:?}"
        );
    }
}

#[test]
fn when_a_repeated_lookup_finds_no_other_upstream() {
    let mut booking = BookingFleet::start(1, LONG_WINDOW, Duration::from_millis(500));
    let entry = booking.addresses()[0];
    let runs_before = booking.owners[0].service.executed_calls().len();
    let lookup = CallerRequest::plain("GET", "/services/booking/segments", "");
    let sender = std::thread::spawn(move || lookup.send(entry));
    wait_for("the lookup to run", || {
        (booking.owners[0].service.executed_calls().len() > runs_before).then_some(())
    });
    booking.owners[0].companion.kill();
    let answer = sender.join().expect("a caller");
    assert_eq!(answer.outcome.as_deref(), Some("unknown"), "{answer:?}");
}

#[test]
fn when_a_frozen_companion_resumes_after_the_deadline() {
    let booking = BookingFleet::start(1, LONG_WINDOW, SERVICE_TIME);
    let entry = booking.addresses()[0];
    let bookings_before = booking.bookings().len();
    booking.owners[0].companion.freeze();
    let request = CallerRequest::plain("POST", "/services/booking/bookings", "{}");
    let answer = request.budget(Duration::from_millis(300)).send(entry);
    assert_eq!(answer.outcome.as_deref(), Some("unknown"), "{answer:?}");
    booking.owners[0].companion.resume();
    let probe = CallerRequest::plain("GET", "/services/booking/ping", "");
    wait_for("an answer from the companion", || {
        probe.send(entry).is_completed().then_some(())
    });
    assert_eq!(
        booking.bookings().len(),
        bookings_before,
        "an expired booking ran"
    );
}

//! A request that may not be repeated runs at most once.
//!
//! Repeat a seed with `EGRET_SEED=N cargo test --test invariants at_most_once`.

use crate::booking_fleet::{
    BookingFleet, EntryAddresses, LONG_WINDOW, SHORT_WINDOW, booking_request,
};
use crate::seeds::for_each_seed;
use egretstage_standins::append_log::AppendLogFaults;
use egretstage_standins::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::Write;
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CALLERS: u64 = 4;
const KEYS_PER_CALLER: usize = 8;
const FAULTS_PER_RUN: usize = 6;
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// Books one key after another. Sends each key to two entries at once, which
/// may be the same one, up to three times until one answer is complete.
fn spawn_caller(
    seed: u64,
    number: u64,
    entries: EntryAddresses,
) -> JoinHandle<Vec<(String, CallerResponse)>> {
    std::thread::spawn(move || {
        let mut rng = ChaCha8Rng::seed_from_u64(seed * CALLERS + number);
        let mut answers = Vec::new();
        for index in 0..KEYS_PER_CALLER {
            let key = format!("b-{number}-{index}");
            for _ in 0..3 {
                let (first, second) = (rng.random_range(0..2), rng.random_range(0..2));
                let (request, entry) = (booking_request(&key), entries.entry(second));
                let sender = std::thread::spawn(move || request.send(entry));
                answers.push((
                    key.clone(),
                    booking_request(&key).send(entries.entry(first)),
                ));
                answers.push((key.clone(), sender.join().expect("a caller")));
                if answers
                    .iter()
                    .rev()
                    .take(2)
                    .any(|(_, answer)| answer.is_completed())
                {
                    break;
                }
            }
        }
        answers
    })
}

fn inject_fault(booking: &mut BookingFleet, rng: &mut ChaCha8Rng) {
    let owner = rng.random_range(0..booking.owners.len());
    let pause = Duration::from_millis(rng.random_range(100..900));
    match rng.random_range(0..9) {
        0 => booking.restart_owner(owner),
        1 => {
            booking.owners[owner].companion.freeze();
            booking.unlist(owner);
            std::thread::sleep(pause * 2);
            booking.owners[owner].companion.resume();
            booking.list(owner);
        }
        2 => booking.owners[owner].proxy.close_connections(),
        3 => {
            booking.owners[owner].proxy.set_faults(LinkFaults {
                stalled: true,
                ..LinkFaults::default()
            });
            std::thread::sleep(pause);
            booking.owners[owner].proxy.clear_faults();
        }
        4 => {
            booking.set_lose_answers(true);
            std::thread::sleep(pause / 4);
            booking.set_lose_answers(false);
        }
        5 => {
            let log_down = AppendLogFaults {
                down: true,
                ..AppendLogFaults::default()
            };
            booking.fleet.log.set_faults(log_down);
            std::thread::sleep(pause * 2);
            booking.fleet.log.set_faults(AppendLogFaults::default());
        }
        6 => {
            let entry = rng.random_range(0..2);
            booking.entries[entry].freeze();
            std::thread::sleep(pause);
            booking.entries[entry].resume();
        }
        7 => {
            let entry = rng.random_range(0..2);
            booking.restart_entry(entry);
        }
        _ => {
            booking.owners[owner].proxy.set_faults(LinkFaults {
                delay: pause / 20,
                jitter: pause / 10,
                ..LinkFaults::default()
            });
        }
    }
}

#[test]
fn under_seeded_faults() {
    for_each_seed(0..2, |seed, rng| {
        let mut booking = BookingFleet::start(3, LONG_WINDOW, SERVICE_TIME);
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| spawn_caller(seed, number, booking.entry_addresses.clone()))
            .collect();
        for _ in 0..FAULTS_PER_RUN {
            std::thread::sleep(Duration::from_millis(rng.random_range(20..150)));
            inject_fault(&mut booking, rng);
        }
        let answers = callers
            .into_iter()
            .flat_map(|c| c.join().expect("a caller"));
        let answers: Vec<_> = answers.collect();
        let completed = answers
            .iter()
            .filter(|(_, answer)| answer.is_completed())
            .count();
        println!(
            "seed {seed}: {completed} of {} requests completed",
            answers.len()
        );
        booking.check_answers(&answers);
        assert!(completed > 0, "no request completed");
    });
}

#[test]
fn when_two_entries_get_the_same_key_at_once() {
    let booking = BookingFleet::start(2, LONG_WINDOW, Duration::from_millis(400));
    let entries = booking.addresses();
    let senders: Vec<_> = [entries[0], entries[1], entries[1]]
        .into_iter()
        .map(|entry| std::thread::spawn(move || booking_request("b-17").send(entry)))
        .collect();
    let mut answers: Vec<_> = senders
        .into_iter()
        .map(|sender| ("b-17".to_owned(), sender.join().expect("a caller")))
        .collect();
    answers.push(("b-17".to_owned(), booking_request("b-17").send(entries[0])));
    assert!(
        answers.iter().all(|(_, answer)| answer.is_completed()),
        "{answers:?}"
    );
    booking.check_answers(&answers);
    let other_body =
        CallerRequest::plain("POST", "/services/booking/bookings", "another").key("b-17");
    let answer = other_body.send(entries[1]);
    assert_eq!(answer.status, 422, "{answer:?}");
    assert!(answer.is_not_run(), "{answer:?}");
    assert_eq!(booking.run_count("b-17"), 1);
}

#[test]
fn when_the_entry_is_killed_before_it_answers() {
    let mut booking = BookingFleet::start(2, LONG_WINDOW, Duration::from_millis(700));
    let entries = booking.addresses();
    let killed_entry = entries[0];
    let sender = std::thread::spawn(move || booking_request("b-18").send(killed_entry));
    wait_for("the run", || (booking.run_count("b-18") == 1).then_some(()));
    booking.entries[0].kill();
    let first_answer = sender.join().expect("a caller");
    assert!(first_answer.error.is_some(), "{first_answer:?}");
    let answer = booking_request("b-18").send(entries[1]);
    assert!(answer.is_completed(), "{answer:?}");
    booking.check_answers(&[("b-18".to_owned(), answer)]);
}

#[test]
fn when_the_caller_disconnects() {
    let booking = BookingFleet::start(2, LONG_WINDOW, Duration::from_millis(700));
    let entries = booking.addresses();
    let mut tcp = TcpStream::connect(entries[0]).expect("a connection");
    let body = "{\"duct\":\"b-21\"}";
    let request = format!(
        "POST /services/booking/bookings HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer desk-token\r\nidempotency-key: b-21\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    tcp.write_all(request.as_bytes()).expect("a request");
    wait_for("the run", || (booking.run_count("b-21") == 1).then_some(()));
    drop(tcp);
    let answer = booking_request("b-21").send(entries[1]);
    assert!(answer.is_completed(), "{answer:?}");
    booking.check_answers(&[("b-21".to_owned(), answer)]);
}

#[test]
fn when_an_owner_joins() {
    let mut booking = BookingFleet::start(1, LONG_WINDOW, SERVICE_TIME);
    let entries = booking.addresses();
    let keys: Vec<_> = (0..12).map(|index| format!("b-{index}")).collect();
    let complete_all = |booking: &BookingFleet, answers: &mut Vec<(String, CallerResponse)>| {
        for key in &keys {
            let answer = wait_for("a complete answer", || {
                let answer = booking_request(key).send(entries[answers.len() % 2]);
                answer.is_completed().then_some(answer)
            });
            answers.push((key.clone(), answer));
        }
        booking.check_answers(answers);
    };
    let mut answers = Vec::new();
    complete_all(&booking, &mut answers);
    booking.add_owner();
    booking.wait_for_owners(2);
    complete_all(&booking, &mut answers);
    let new_keys = (0..8).map(|index| format!("c-{index}"));
    for key in new_keys {
        let answer = booking_request(&key).send(entries[0]);
        assert!(answer.is_completed(), "{answer:?}");
        answers.push((key, answer));
    }
    booking.check_answers(&answers);
    let calls = booking.owners[1].service.executed_calls();
    assert!(
        calls.iter().any(|call| call.method == "POST"),
        "the new owner ran no key"
    );
}

#[test]
fn when_an_owner_leaves_as_planned() {
    let mut booking = BookingFleet::start(2, LONG_WINDOW, SERVICE_TIME);
    let entries = booking.addresses();
    let mut answers = Vec::new();
    for index in 0..8 {
        let key = format!("b-{index}");
        answers.push((key.clone(), booking_request(&key).send(entries[0])));
    }
    assert!(
        answers.iter().all(|(_, answer)| answer.is_completed()),
        "{answers:?}"
    );
    let leaving_owner = booking.owner_of("b-0");
    booking.owners[leaving_owner].companion.terminate();
    booking.owners[leaving_owner].companion.wait();
    for index in 0..8 {
        let key = format!("c-{index}");
        let answer = booking_request(&key).send(entries[1]);
        assert!(
            answer.is_completed(),
            "an embargo on new key {key}: {answer:?}"
        );
        answers.push((key, answer));
    }
    let second_answer = booking_request("b-0").send(entries[1]);
    assert_eq!(
        second_answer.outcome.as_deref(),
        Some("unknown"),
        "{second_answer:?}"
    );
    assert!(second_answer.retry_after.is_some(), "{second_answer:?}");
    booking.check_answers(&answers);
}

#[test]
fn when_the_owner_is_killed_and_its_embargo_ends() {
    let mut booking = BookingFleet::start(2, SHORT_WINDOW, SERVICE_TIME);
    let entries = booking.addresses();
    let request = || booking_request("b-19").budget(Duration::from_millis(900));
    let answer = request().send(entries[0]);
    assert!(answer.is_completed(), "{answer:?}");
    let owner = booking.owner_of("b-19");
    booking.owners[owner].companion.kill();
    booking.unlist(owner);
    let killed_at = Instant::now();
    let mut unknown_answers = 0;
    let answer = wait_for("the end of the embargo", || {
        let answer = request().send(entries[1]);
        unknown_answers += usize::from(answer.outcome.as_deref() == Some("unknown"));
        answer.is_completed().then_some(answer)
    });
    assert!(
        killed_at.elapsed() >= Duration::from_millis(2_300),
        "{answer:?}"
    );
    assert!(unknown_answers > 0, "the embargo never applied to the key");
    assert_eq!(booking.run_count("b-19"), 2, "once in each window");
}

#[test]
fn while_the_log_is_down() {
    let booking = BookingFleet::start(2, LONG_WINDOW, SERVICE_TIME);
    let entry = booking.addresses()[0];
    let first_answer = booking_request("b-20").send(entry);
    assert!(first_answer.is_completed(), "{first_answer:?}");
    booking.fleet.log.set_faults(AppendLogFaults {
        down: true,
        ..AppendLogFaults::default()
    });
    let refused = wait_for("the lease to expire", || {
        let key = format!("c-{}", rand::random::<u64>());
        let answer = booking_request(&key).send(entry);
        answer.is_not_run().then_some(answer)
    });
    assert!(
        refused.body.contains("ownership-unconfirmed"),
        "{refused:?}"
    );
    assert!(refused.retry_after.is_some(), "{refused:?}");
    let second_answer = booking_request("b-20").send(entry);
    assert_eq!(
        second_answer.body, first_answer.body,
        "a remembered key must get its answer"
    );
    booking.fleet.log.set_faults(AppendLogFaults::default());
    booking.check_answers(&[
        ("b-20".to_owned(), first_answer),
        ("b-20".to_owned(), second_answer),
    ]);
}

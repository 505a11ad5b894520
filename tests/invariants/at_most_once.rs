//! A request that may not be repeated runs at most once.
//!
//! Repeat a seed with `EGRET_SEED=N cargo test --test invariants at_most_once`.

use crate::desk::{Balancer, Desk, LONG_WINDOW, SHORT_WINDOW, book};
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
const FAULTS: usize = 6;
const WORK: Duration = Duration::from_millis(30);

/// Books one key after the other, each at two entries at once or again at
/// another one, until one answer is whole.
fn caller(seed: u64, number: u64, entries: Balancer) -> JoinHandle<Vec<(String, CallerResponse)>> {
    std::thread::spawn(move || {
        let mut rng = ChaCha8Rng::seed_from_u64(seed * CALLERS + number);
        let mut told = Vec::new();
        for index in 0..KEYS_PER_CALLER {
            let key = format!("b-{number}-{index}");
            for _ in 0..3 {
                let (first, second) = (rng.random_range(0..2), rng.random_range(0..2));
                let (ask, entry) = (book(&key), entries.entry(second));
                let other = std::thread::spawn(move || ask.send(entry));
                told.push((key.clone(), book(&key).send(entries.entry(first))));
                told.push((key.clone(), other.join().expect("a caller")));
                if told
                    .iter()
                    .rev()
                    .take(2)
                    .any(|(_, told)| told.is_completed())
                {
                    break;
                }
            }
        }
        told
    })
}

fn inject(desk: &mut Desk, rng: &mut ChaCha8Rng) {
    let owner = rng.random_range(0..desk.owners.len());
    let pause = Duration::from_millis(rng.random_range(100..900));
    match rng.random_range(0..9) {
        0 => desk.restart_owner(owner),
        1 => {
            desk.owners[owner].program.freeze();
            desk.unlist(owner);
            std::thread::sleep(pause * 2);
            desk.owners[owner].program.resume();
            desk.list(owner);
        }
        2 => desk.owners[owner].proxy.close_connections(),
        3 => {
            desk.owners[owner].proxy.set_faults(LinkFaults {
                stalled: true,
                ..LinkFaults::default()
            });
            std::thread::sleep(pause);
            desk.owners[owner].proxy.clear_faults();
        }
        4 => {
            desk.lose_answers(true);
            std::thread::sleep(pause / 4);
            desk.lose_answers(false);
        }
        5 => {
            let down = AppendLogFaults {
                down: true,
                ..AppendLogFaults::default()
            };
            desk.fleet.log.set_faults(down);
            std::thread::sleep(pause * 2);
            desk.fleet.log.set_faults(AppendLogFaults::default());
        }
        6 => {
            let entry = rng.random_range(0..2);
            desk.entries[entry].freeze();
            std::thread::sleep(pause);
            desk.entries[entry].resume();
        }
        7 => {
            let entry = rng.random_range(0..2);
            desk.restart_entry(entry);
        }
        _ => {
            desk.owners[owner].proxy.set_faults(LinkFaults {
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
        let mut desk = Desk::start(3, LONG_WINDOW, WORK);
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| caller(seed, number, desk.balancer.clone()))
            .collect();
        for _ in 0..FAULTS {
            std::thread::sleep(Duration::from_millis(rng.random_range(20..150)));
            inject(&mut desk, rng);
        }
        let told = callers
            .into_iter()
            .flat_map(|c| c.join().expect("a caller"));
        let told: Vec<_> = told.collect();
        let completed = told.iter().filter(|(_, told)| told.is_completed()).count();
        println!("seed {seed}: {completed} of {} asks completed", told.len());
        desk.check(&told);
        assert!(completed > 0, "no ask completed");
    });
}

#[test]
fn when_two_entries_get_the_same_key_at_once() {
    let desk = Desk::start(2, LONG_WINDOW, Duration::from_millis(400));
    let entries = desk.addresses();
    let asks: Vec<_> = [entries[0], entries[1], entries[1]]
        .into_iter()
        .map(|entry| std::thread::spawn(move || book("b-17").send(entry)))
        .collect();
    let mut told: Vec<_> = asks
        .into_iter()
        .map(|ask| ("b-17".to_owned(), ask.join().expect("a caller")))
        .collect();
    told.push(("b-17".to_owned(), book("b-17").send(entries[0])));
    assert!(told.iter().all(|(_, told)| told.is_completed()), "{told:?}");
    desk.check(&told);
    let other = CallerRequest::plain("POST", "/services/booking/bookings", "another").key("b-17");
    let told = other.send(entries[1]);
    assert_eq!(told.status, 422, "{told:?}");
    assert!(told.is_not_run(), "{told:?}");
    assert_eq!(desk.runs_of("b-17"), 1);
}

#[test]
fn when_the_entry_dies_before_it_answers() {
    let mut desk = Desk::start(2, LONG_WINDOW, Duration::from_millis(700));
    let entries = desk.addresses();
    let dying = entries[0];
    let first = std::thread::spawn(move || book("b-18").send(dying));
    wait_for("the run", || (desk.runs_of("b-18") == 1).then_some(()));
    desk.entries[0].kill();
    let first = first.join().expect("a caller");
    assert!(first.error.is_some(), "{first:?}");
    let told = book("b-18").send(entries[1]);
    assert!(told.is_completed(), "{told:?}");
    desk.check(&[("b-18".to_owned(), told)]);
}

#[test]
fn when_the_caller_hangs_up() {
    let desk = Desk::start(2, LONG_WINDOW, Duration::from_millis(700));
    let entries = desk.addresses();
    let mut tcp = TcpStream::connect(entries[0]).expect("a connection");
    let body = "{\"duct\":\"b-21\"}";
    let request = format!(
        "POST /services/booking/bookings HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer desk-token\r\nidempotency-key: b-21\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    tcp.write_all(request.as_bytes()).expect("a request");
    wait_for("the run", || (desk.runs_of("b-21") == 1).then_some(()));
    drop(tcp);
    let told = book("b-21").send(entries[1]);
    assert!(told.is_completed(), "{told:?}");
    desk.check(&[("b-21".to_owned(), told)]);
}

#[test]
fn when_an_owner_joins() {
    let mut desk = Desk::start(1, LONG_WINDOW, WORK);
    let entries = desk.addresses();
    let keys: Vec<_> = (0..12).map(|index| format!("b-{index}")).collect();
    let ask_all = |desk: &Desk, told: &mut Vec<(String, CallerResponse)>| {
        for key in &keys {
            let answer = wait_for("a whole answer", || {
                let answer = book(key).send(entries[told.len() % 2]);
                answer.is_completed().then_some(answer)
            });
            told.push((key.clone(), answer));
        }
        desk.check(told);
    };
    let mut told = Vec::new();
    ask_all(&desk, &mut told);
    desk.add_owner();
    desk.await_owners(2);
    ask_all(&desk, &mut told);
    let fresh = (0..8).map(|index| format!("c-{index}"));
    for key in fresh {
        let answer = book(&key).send(entries[0]);
        assert!(answer.is_completed(), "{answer:?}");
        told.push((key, answer));
    }
    desk.check(&told);
    let ran = desk.owners[1].service.executed_calls();
    assert!(ran.iter().any(|ran| ran.method == "POST"), "keys moved");
}

#[test]
fn when_an_owner_leaves_as_planned() {
    let mut desk = Desk::start(2, LONG_WINDOW, WORK);
    let entries = desk.addresses();
    let mut told = Vec::new();
    for index in 0..8 {
        let key = format!("b-{index}");
        told.push((key.clone(), book(&key).send(entries[0])));
    }
    assert!(told.iter().all(|(_, told)| told.is_completed()), "{told:?}");
    let leaver = desk.owner_of("b-0");
    desk.owners[leaver].program.terminate();
    desk.owners[leaver].program.wait();
    for index in 0..8 {
        let key = format!("c-{index}");
        let answer = book(&key).send(entries[1]);
        assert!(answer.is_completed(), "no embargo on {key}: {answer:?}");
        told.push((key, answer));
    }
    let again = book("b-0").send(entries[1]);
    assert_eq!(again.outcome.as_deref(), Some("unknown"), "{again:?}");
    assert!(again.retry_after.is_some(), "{again:?}");
    desk.check(&told);
}

#[test]
fn when_the_owner_dies_and_its_embargo_ends() {
    let mut desk = Desk::start(2, SHORT_WINDOW, WORK);
    let entries = desk.addresses();
    let ask = || book("b-19").budget(Duration::from_millis(900));
    let told = ask().send(entries[0]);
    assert!(told.is_completed(), "{told:?}");
    let owner = desk.owner_of("b-19");
    desk.owners[owner].program.kill();
    desk.unlist(owner);
    let died = Instant::now();
    let mut unknown = 0;
    let told = wait_for("the end of the embargo", || {
        let told = ask().send(entries[1]);
        unknown += usize::from(told.outcome.as_deref() == Some("unknown"));
        told.is_completed().then_some(told)
    });
    assert!(died.elapsed() >= Duration::from_millis(2_300), "{told:?}");
    assert!(unknown > 0, "the key was never in doubt");
    assert_eq!(desk.runs_of("b-19"), 2, "once in each window");
}

#[test]
fn while_the_log_is_down() {
    let desk = Desk::start(2, LONG_WINDOW, WORK);
    let entry = desk.addresses()[0];
    let first = book("b-20").send(entry);
    assert!(first.is_completed(), "{first:?}");
    desk.fleet.log.set_faults(AppendLogFaults {
        down: true,
        ..AppendLogFaults::default()
    });
    let refused = wait_for("the lease to lapse", || {
        let key = format!("c-{}", rand::random::<u64>());
        let told = book(&key).send(entry);
        told.is_not_run().then_some(told)
    });
    assert!(
        refused.body.contains("ownership-unconfirmed"),
        "{refused:?}"
    );
    assert!(refused.retry_after.is_some(), "{refused:?}");
    let again = book("b-20").send(entry);
    assert_eq!(again.body, first.body, "remembered keys are answered");
    desk.fleet.log.set_faults(AppendLogFaults::default());
    desk.check(&[("b-20".to_owned(), first), ("b-20".to_owned(), again)]);
}

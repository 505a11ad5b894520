//! When a request is refused as not run, it truly did not run.
//!
//! Repeat a seed with
//! `EGRET_SEED=N cargo test --test invariants refused_as_not_run_never_ran`.

use crate::desk::{Balancer, Desk, LONG_WINDOW};
use crate::seeds::for_each_seed;
use egretstage_standins::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::thread::JoinHandle;
use std::time::Duration;

const CALLERS: u64 = 5;
const CALLS: usize = 25;
const FAULTS: usize = 8;
const WORK: Duration = Duration::from_millis(60);

/// Sends bookings without keys and look-ups, all close to their deadline.
fn caller(seed: u64, number: u64, entries: Balancer) -> JoinHandle<Vec<CallerResponse>> {
    std::thread::spawn(move || {
        let mut rng = ChaCha8Rng::seed_from_u64(seed * CALLERS + number);
        let call = |_| {
            let method = if rng.random() { "POST" } else { "GET" };
            let budget = Duration::from_millis(rng.random_range(20..400));
            let path = "/services/booking/bookings";
            let ask = CallerRequest::plain(method, path, "{}").budget(budget);
            ask.send(entries.entry(rng.random_range(0..2)))
        };
        (0..CALLS).map(call).collect()
    })
}

fn inject(desk: &mut Desk, rng: &mut ChaCha8Rng) {
    let owner = rng.random_range(0..desk.owners.len());
    let pause = Duration::from_millis(rng.random_range(50..500));
    match rng.random_range(0..6) {
        0 => desk.restart_owner(owner),
        1 => {
            desk.owners[owner].program.freeze();
            std::thread::sleep(pause);
            desk.owners[owner].program.resume();
        }
        2 => desk.owners[owner].proxy.close_connections(),
        4 => {
            let entry = rng.random_range(0..2);
            desk.restart_entry(entry);
        }
        3 => {
            desk.lose_answers(true);
            std::thread::sleep(pause / 2);
            desk.lose_answers(false);
        }
        _ => desk.owners[owner].proxy.set_faults(LinkFaults {
            delay: pause / 10,
            jitter: pause / 5,
            ..LinkFaults::default()
        }),
    }
}

/// Compares refusals with what really ran.
fn check(desk: &Desk, told: &[CallerResponse]) {
    let ran: Vec<_> = desk
        .owners
        .iter()
        .flat_map(|o| o.service.executed_calls())
        .collect();
    for told in told.iter().filter(|told| told.is_not_run()) {
        let ran = ran.iter().find(|ran| ran.request == told.request);
        assert_eq!(ran, None, "told not run: {told:?}");
    }
    for booking in ran.iter().filter(|ran| ran.method == "POST") {
        let same = ran.iter().filter(|ran| ran.request == booking.request);
        let count = same.count();
        assert_eq!(count, 1, "ran {count} times: {booking:?}");
    }
}

#[test]
fn under_seeded_faults() {
    for_each_seed(0..2, |seed, rng| {
        let mut desk = Desk::start(2, &format!("{}{LONG_WINDOW}", "slots = 2\n"), WORK);
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| caller(seed, number, desk.balancer.clone()))
            .collect();
        for _ in 0..FAULTS {
            std::thread::sleep(Duration::from_millis(rng.random_range(20..200)));
            inject(&mut desk, rng);
        }
        let told = callers
            .into_iter()
            .flat_map(|c| c.join().expect("a caller"));
        let told: Vec<_> = told.collect();
        let not_run = told.iter().filter(|told| told.is_not_run()).count();
        println!("seed {seed}: {not_run} of {} told not run", told.len());
        std::thread::sleep(WORK * 2);
        check(&desk, &told);
    });
}

#[test]
fn when_the_upstream_loses_its_answers() {
    let desk = Desk::start(1, LONG_WINDOW, WORK);
    let entry = desk.addresses()[0];
    desk.lose_answers(true);
    for method in ["GET", "POST"] {
        let told = CallerRequest::plain(method, "/services/booking/bookings", "{}").send(entry);
        assert_eq!(
            told.outcome.as_deref(),
            Some("unknown"),
            "{method}: {told:?}"
        );
    }
}

#[test]
fn when_a_repeated_look_up_finds_no_other_upstream() {
    let mut desk = Desk::start(1, LONG_WINDOW, Duration::from_millis(500));
    let entry = desk.addresses()[0];
    let before = desk.owners[0].service.executed_calls().len();
    let look_up = CallerRequest::plain("GET", "/services/booking/segments", "");
    let told = std::thread::spawn(move || look_up.send(entry));
    wait_for("the look-up to run", || {
        (desk.owners[0].service.executed_calls().len() > before).then_some(())
    });
    desk.owners[0].program.kill();
    let told = told.join().expect("a caller");
    assert_eq!(told.outcome.as_deref(), Some("unknown"), "{told:?}");
}

#[test]
fn when_a_paused_companion_wakes_after_the_deadline() {
    let desk = Desk::start(1, LONG_WINDOW, WORK);
    let entry = desk.addresses()[0];
    let before = desk.bookings().len();
    desk.owners[0].program.freeze();
    let ask = CallerRequest::plain("POST", "/services/booking/bookings", "{}");
    let told = ask.budget(Duration::from_millis(300)).send(entry);
    assert_eq!(told.outcome.as_deref(), Some("unknown"), "{told:?}");
    desk.owners[0].program.resume();
    let probe = CallerRequest::plain("GET", "/services/booking/ping", "");
    wait_for("the companion", || {
        probe.send(entry).is_completed().then_some(())
    });
    assert_eq!(desk.bookings().len(), before, "a stale booking ran");
}

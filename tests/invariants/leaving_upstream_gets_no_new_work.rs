//! An upstream that is leaving gets no new work after a few seconds.

use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, wait_for_route};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest time from the first sign of leaving to the last new work.
const LIMIT_MS: u64 = 3_000;

/// How long the load goes on after the sign.
const AFTER_SIGN: Duration = Duration::from_secs(5);

/// The first sign that an upstream leaves.
#[derive(Clone, Copy, Debug)]
enum Sign {
    /// `SIGTERM` at the companion, while the list goes on showing it live.
    Terminate,
    /// The list shows it leaving, while the companion knows nothing of it.
    Listed,
    /// Its links break and can't be opened again.
    LinkCut,
    /// Its links fall silent, and later deliver what was sent meanwhile.
    LinkSilent,
    /// Its companion is paused, and later woken.
    Paused,
}

/// Callers that send lookups, one after another, until told to stop.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<CallerResponse>>>,
}

impl Load {
    fn start(entries: &[&Program], callers_each: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = entries
            .iter()
            .flat_map(|entry| std::iter::repeat_n(entry.address, callers_each))
            .map(|address| {
                let stop = Arc::clone(&stop);
                std::thread::spawn(move || {
                    let ask = CallerRequest::plain("GET", "/services/booking/occupancy", "");
                    let ask = ask.budget(Duration::from_secs(4));
                    let mut told = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        told.push(ask.send(address));
                        std::thread::sleep(Duration::from_millis(5));
                    }
                    told
                })
            })
            .collect();
        Self { stop, callers }
    }

    fn finish(self) -> Vec<CallerResponse> {
        self.stop.store(true, Ordering::Relaxed);
        let joined = self
            .callers
            .into_iter()
            .map(|c| c.join().expect("a caller"));
        joined.flatten().collect()
    }
}

fn check(sign: Sign) {
    let fleet = scenario::start_fleet(programs!());
    let (leaver, leaver_address) = fleet.plain_service(PlainServiceOptions::default());
    let (_stayer, stayer_address) = fleet.plain_service(PlainServiceOptions::default());
    let place = booking("ledger-1", "west", leaver_address);
    let companion = fleet.unlisted_companion(&place, free_address());
    companion.wait_until_ready(true);
    let proxy = fleet.proxy(companion.address, 1);
    fleet.list_companion(&place, proxy.address(), "live");
    let _stayer_companion = fleet.companion(&booking("ledger-2", "west", stayer_address));
    let entries = [
        fleet.entry("entry-1", "west"),
        fleet.entry("entry-2", "east"),
    ];
    let probe = CallerRequest::plain("GET", "/services/booking/ping", "");
    for entry in &entries {
        wait_for_route(entry, &probe);
    }
    let load = Load::start(&[&entries[0], &entries[1]], 2);
    wait_for("work on the upstream", || {
        (leaver.executed_calls().len() > 20).then_some(())
    });

    match sign {
        Sign::Terminate => companion.terminate(),
        Sign::Listed => fleet.list_companion(&place, proxy.address(), "leaving"),
        Sign::LinkCut => {
            proxy.set_faults(LinkFaults {
                refuse_connections: true,
                ..LinkFaults::default()
            });
            proxy.close_connections();
        }
        Sign::LinkSilent => proxy.set_faults(LinkFaults {
            stalled: true,
            refuse_connections: true,
            ..LinkFaults::default()
        }),
        Sign::Paused => {
            companion.freeze();
            proxy.set_faults(LinkFaults {
                refuse_connections: true,
                ..LinkFaults::default()
            });
        }
    }
    let signed_ms = leaver.now_ms();
    std::thread::sleep(AFTER_SIGN);
    match sign {
        Sign::LinkSilent => proxy.set_faults(LinkFaults {
            refuse_connections: true,
            ..LinkFaults::default()
        }),
        Sign::Paused => companion.resume(),
        _ => {}
    }
    std::thread::sleep(Duration::from_secs(1));
    let told = load.finish();

    let late: Vec<_> = leaver
        .executed_calls()
        .into_iter()
        .filter(|ran| ran.at_ms > signed_ms + LIMIT_MS)
        .collect();
    assert!(
        late.is_empty(),
        "{sign:?}: {} calls ran late, first {:?}",
        late.len(),
        late[0]
    );
    let planned = matches!(sign, Sign::Terminate | Sign::Listed);
    let lost: Vec<_> = told
        .iter()
        .filter(|told| !told.is_completed() && (planned || !is_cut_visibly(told)))
        .collect();
    assert!(
        lost.is_empty(),
        "{sign:?}: {} lookups failed, first {:?}",
        lost.len(),
        lost[0]
    );
}

/// Tells whether an answer broke off in a way that the caller can see.
///
/// That may happen where a link is lost in the middle of an answer.
fn is_cut_visibly(told: &CallerResponse) -> bool {
    told.status == 200 && told.error.is_some()
}

#[test]
fn after_sigterm_while_the_list_lags() {
    check(Sign::Terminate);
}

#[test]
fn after_the_list_says_so() {
    check(Sign::Listed);
}

#[test]
fn after_its_link_is_cut() {
    check(Sign::LinkCut);
}

#[test]
fn after_its_link_fell_silent() {
    check(Sign::LinkSilent);
}

#[test]
fn after_its_companion_was_paused() {
    check(Sign::Paused);
}

//! A leaving upstream gets no new work after a few seconds.

use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, wait_for_route};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest time from the first signal that an upstream leaves to the last new
/// work on it.
const NEW_WORK_LIMIT_MS: u64 = 3_000;

/// Time for which the load goes on after the signal.
const LOAD_AFTER_SIGNAL: Duration = Duration::from_secs(5);

/// The first signal that an upstream leaves.
#[derive(Clone, Copy, Debug)]
enum LeaveSignal {
    /// `SIGTERM` to the companion, while the instance list still has it as live.
    Terminate,
    /// The instance list has it as leaving, but its companion gets no signal.
    Listed,
    /// Its links are closed and can't be opened again.
    LinkCut,
    /// Its links pass no data for a time, and later deliver what was sent
    /// meanwhile.
    LinkStalled,
    /// Its companion is frozen, and later resumes.
    Frozen,
}

/// Callers that send lookups, one after another, until they are stopped.
struct LookupLoad {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<CallerResponse>>>,
}

impl LookupLoad {
    /// Starts a number of callers for each entry.
    fn start(entries: &[&Program], callers_each: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = entries
            .iter()
            .flat_map(|entry| std::iter::repeat_n(entry.address, callers_each))
            .map(|address| {
                let stop = Arc::clone(&stop);
                std::thread::spawn(move || {
                    let request = CallerRequest::plain("GET", "/services/booking/occupancy", "");
                    let request = request.budget(Duration::from_secs(4));
                    let mut answers = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        answers.push(request.send(address));
                        std::thread::sleep(Duration::from_millis(5));
                    }
                    answers
                })
            })
            .collect();
        Self { stop, callers }
    }

    /// Stops the callers and returns all their answers.
    fn finish(self) -> Vec<CallerResponse> {
        self.stop.store(true, Ordering::Relaxed);
        let joined = self
            .callers
            .into_iter()
            .map(|c| c.join().expect("a caller"));
        joined.flatten().collect()
    }
}

fn check_leaving_upstream(signal: LeaveSignal) {
    let fleet = scenario::start_fleet(programs!());
    let (leaving_service, leaving_upstream) = fleet.plain_service(PlainServiceOptions::default());
    let (_remaining_service, remaining_upstream) =
        fleet.plain_service(PlainServiceOptions::default());
    let placement = booking("ledger-1", "west", leaving_upstream);
    let companion = fleet.unlisted_companion(&placement, free_address());
    companion.wait_until_ready(true);
    let proxy = fleet.proxy(companion.address, 1);
    fleet.list_companion(&placement, proxy.address(), "live");
    let _remaining_companion = fleet.companion(&booking("ledger-2", "west", remaining_upstream));
    let entries = [
        fleet.entry("entry-1", "west"),
        fleet.entry("entry-2", "east"),
    ];
    let probe = CallerRequest::plain("GET", "/services/booking/ping", "");
    for entry in &entries {
        wait_for_route(entry, &probe);
    }
    let load = LookupLoad::start(&[&entries[0], &entries[1]], 2);
    wait_for("calls at the leaving upstream", || {
        (leaving_service.executed_calls().len() > 20).then_some(())
    });

    match signal {
        LeaveSignal::Terminate => companion.terminate(),
        LeaveSignal::Listed => fleet.list_companion(&placement, proxy.address(), "leaving"),
        LeaveSignal::LinkCut => {
            proxy.set_faults(LinkFaults {
                refuse_connections: true,
                ..LinkFaults::default()
            });
            proxy.close_connections();
        }
        LeaveSignal::LinkStalled => proxy.set_faults(LinkFaults {
            stalled: true,
            refuse_connections: true,
            ..LinkFaults::default()
        }),
        LeaveSignal::Frozen => {
            companion.freeze();
            proxy.set_faults(LinkFaults {
                refuse_connections: true,
                ..LinkFaults::default()
            });
        }
    }
    let signal_ms = leaving_service.now_ms();
    std::thread::sleep(LOAD_AFTER_SIGNAL);
    match signal {
        LeaveSignal::LinkStalled => proxy.set_faults(LinkFaults {
            refuse_connections: true,
            ..LinkFaults::default()
        }),
        LeaveSignal::Frozen => companion.resume(),
        _ => {}
    }
    std::thread::sleep(Duration::from_secs(1));
    let answers = load.finish();

    let late: Vec<_> = leaving_service
        .executed_calls()
        .into_iter()
        .filter(|call| call.at_ms > signal_ms + NEW_WORK_LIMIT_MS)
        .collect();
    assert!(
        late.is_empty(),
        "{signal:?}: {} calls ran late, first {:?}",
        late.len(),
        late[0]
    );
    let is_planned = matches!(signal, LeaveSignal::Terminate | LeaveSignal::Listed);
    let failed: Vec<_> = answers
        .iter()
        .filter(|answer| !answer.is_completed() && (is_planned || !is_visibly_truncated(answer)))
        .collect();
    assert!(
        failed.is_empty(),
        "{signal:?}: {} lookups failed, first {:?}",
        failed.len(),
        failed[0]
    );
}

/// Returns whether an answer was truncated in a way that the caller can detect.
///
/// That may happen where a link is lost in the middle of an answer.
fn is_visibly_truncated(answer: &CallerResponse) -> bool {
    answer.status == 200 && answer.error.is_some()
}

#[test]
fn after_sigterm_while_the_list_lags() {
    check_leaving_upstream(LeaveSignal::Terminate);
}

#[test]
fn after_the_list_shows_it_leaving() {
    check_leaving_upstream(LeaveSignal::Listed);
}

#[test]
fn after_its_link_is_cut() {
    check_leaving_upstream(LeaveSignal::LinkCut);
}

#[test]
fn after_its_link_stalled() {
    check_leaving_upstream(LeaveSignal::LinkStalled);
}

#[test]
fn after_its_companion_was_frozen() {
    check_leaving_upstream(LeaveSignal::Frozen);
}

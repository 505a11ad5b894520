//! Tests of how listeners are closed.

use egretstage_standins::ports::{close, free_address};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// Number of threads that start children.
const STARTERS: usize = 4;

/// Number of listeners that are closed.
const LISTENERS: usize = 2_000;

/// Returns how many of [`LISTENERS`] cases fail while children start.
fn failures_while_children_start(case_fails: impl Fn() -> bool) -> usize {
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    let ended = Command::new("true").status();
                    assert!(ended.expect("a child starts").success());
                }
            });
        }
        let failures = (0..LISTENERS).filter(|_| case_fails()).count();
        is_done.store(true, Ordering::Relaxed);
        failures
    })
}

/// Fault: a closed listener stays open in a child that has forked and not yet called exec.
#[test]
fn a_closed_listener_refuses_connections_while_children_start() {
    let failures = failures_while_children_start(|| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        close(listener);
        TcpStream::connect(address).is_ok()
    });
    assert_eq!(failures, 0, "of {LISTENERS}");
}

/// Fault: a child that is being started holds the listener that tried a free port.
#[test]
fn a_free_address_can_be_bound_while_children_start() {
    let failures = failures_while_children_start(|| {
        let listener = TcpListener::bind(free_address());
        listener.map(close).is_err()
    });
    assert_eq!(failures, 0, "of {LISTENERS}");
}

//! A planned stop while callers are still sending the bodies of their requests.

use crate::Bench;
use crate::http::{Exchange, read_answer};
use crate::process::Entry;
use crate::runner::{Runner, working};
use crate::store::Store;
use crate::wire::wire;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time that a runner works on a request.
const WORK: Duration = Duration::from_millis(400);

/// Time from the first to the last byte of a request.
const UPLOAD: Duration = Duration::from_millis(900);

/// When the clients begin their requests, after the signal.
const BEGINS_MS: [u64; 6] = [2_280, 2_300, 2_320, 2_340, 2_360, 2_380];

/// Time that a client waits.
const DEADLINE: Duration = Duration::from_secs(3);

/// How a request ended.
struct Outcome {
    id: String,
    last_byte: Instant,
    ended: Instant,
    exchange: Exchange,
}

/// Sends a request in two parts and reads its answer.
fn send(bench: &Bench, address: SocketAddr, id: &str, upload: Duration) -> Outcome {
    let mut tcp = TcpStream::connect(address).expect("a connection");
    send_on(bench, &mut tcp, id, upload)
}

fn send_on(bench: &Bench, tcp: &mut TcpStream, id: &str, upload: Duration) -> Outcome {
    let record = &bench.record;
    let head = format!(
        "POST /bookings/7 HTTP/1.1\r\nHost: desk.example\r\n{}: {id}\r\n{}: {}\r\n\
         Authorization: Token k1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nseg-\r\n",
        wire("request-id"),
        wire("deadline"),
        DEADLINE.as_millis()
    );
    record.note(&format!(
        "client sends the head and the first chunk of {id}"
    ));
    let begun = tcp.write_all(head.as_bytes());
    std::thread::sleep(upload);
    let written = begun.and_then(|()| tcp.write_all(b"4\r\n0042\r\n0\r\n\r\n"));
    let last_byte = Instant::now();
    record.note(&format!(
        "client has sent the last byte of {id}: {written:?}"
    ));
    let exchange = read_answer(tcp, DEADLINE);
    record.note(&match &exchange {
        Exchange::Answered(answer) => {
            let body = String::from_utf8_lossy(&answer.body);
            format!("client gets {} for {id}: {}", answer.status, body.trim())
        }
        Exchange::Cut(reason) => {
            format!("client's connection ends without an answer to {id}: {reason}")
        }
        Exchange::TimedOut => format!("client gives up {id} at its deadline"),
    });
    Outcome {
        id: id.to_owned(),
        last_byte,
        ended: Instant::now(),
        exchange,
    }
}

/// Runs the case: a client on each of some open connections begins a request after the signal
/// and sends its last byte shortly after the entry has become idle.
pub fn run(bench: &Bench) -> bool {
    let record = &bench.record;
    let store = Store::start();
    let config = include_str!("../config.json").replace("VERSION", "3");
    store.put(wire("operator-topic"), "config", config.as_bytes());
    let runners: Vec<Runner> = ["i-0", "i-1"]
        .map(|id| Runner::start(&store, id, "desk", working(WORK), record))
        .into();
    let mut entry = Entry::start(&bench.root, &bench.folder, "edge-west-1", store.address);
    record.note("the entry is ready");
    // The connections are in use before the stop.
    let mut connections: Vec<TcpStream> = Vec::new();
    for index in 0..BEGINS_MS.len() {
        let mut tcp = TcpStream::connect(entry.address).expect("a connection");
        let outcome = send_on(bench, &mut tcp, &format!("before-{index}"), Duration::ZERO);
        let is_served = matches!(&outcome.exchange, Exchange::Answered(a) if a.status == 200);
        assert!(is_served, "a calm request isn't served");
        connections.push(tcp);
    }
    let probe = send(bench, entry.address, "before-slow", UPLOAD);
    let is_served = matches!(&probe.exchange, Exchange::Answered(a) if a.status == 200);
    assert!(is_served, "a calm request with a slow body isn't served");
    if bench.has_trouble {
        record.note("SIGTERM to the entry");
        entry.signal("-TERM");
    }
    let signalled = Instant::now();
    let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
        let clients = connections.iter_mut().zip(BEGINS_MS).enumerate();
        let clients = clients.map(|(index, (tcp, begin_ms))| {
            scope.spawn(move || {
                let begin = Duration::from_millis(begin_ms);
                std::thread::sleep(begin.saturating_sub(signalled.elapsed()));
                send_on(bench, tcp, &format!("booking-{index}"), UPLOAD)
            })
        });
        let clients: Vec<_> = clients.collect();
        let outcomes = clients.into_iter().map(|client| client.join());
        outcomes.map(|outcome| outcome.expect("a client")).collect()
    });
    if bench.has_trouble {
        let has_ended = entry.wait(Duration::from_secs(8));
        record.note(&format!("the entry has ended by itself: {has_ended}"));
    }
    let mut lost = 0;
    for outcome in &outcomes {
        let is_run = |runner: &Runner| {
            let ran = runner.ran.lock().expect("not poisoned");
            ran.contains(&outcome.id)
        };
        let has_run = runners.iter().any(is_run);
        // The rule counts a cut request that was passed on, within the grace and a second.
        let is_counted = outcome.ended.duration_since(signalled) < Duration::from_secs(9)
            && outcome.ended.duration_since(outcome.last_byte) < DEADLINE;
        if has_run && is_counted && matches!(outcome.exchange, Exchange::Cut(_)) {
            lost += 1;
            record.note(&format!(
                "LOST: {} was read and passed on to a runner, and has no answer",
                outcome.id
            ));
        }
    }
    lost > 0
}

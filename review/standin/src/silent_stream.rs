//! A runner pauses in the middle of a stream during a planned stop of the entry.

use crate::Bench;
use crate::http::{Request, write_answer};
use crate::process::Entry;
use crate::runner::{Behaviour, Runner};
use crate::store::Store;
use crate::wire::wire;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of events of a stream.
const EVENTS: u32 = 16;

/// Event before which the runner preempts the stream.
const PREEMPTED_AT: u32 = 8;

/// Usual pause between two events.
const PAUSE: Duration = Duration::from_millis(120);

/// Pause of a stream that is preempted and read again. A client abandons a stream after the
/// longest of two seconds, four times the objective of 600 ms and eight times the 200 ms
/// between events: after 2,400 ms.
const PREEMPTION: Duration = Duration::from_millis(2_200);

/// Longest gap that a client bears.
const PATIENCE: Duration = Duration::from_millis(2_400);

/// Time between the starts of two streams.
const STAGGER: Duration = Duration::from_millis(40);

/// Number of streams, each on a connection of its own.
const STREAMS: usize = 6;

/// Writes a stream of events; a runner that resumes one starts after the given event.
fn write_stream(
    runner: &Runner,
    tcp: &mut TcpStream,
    req: &Request,
    is_preempted: bool,
) -> std::io::Result<()> {
    let id = runner.begin(req);
    let stamp = runner.stamp(&id);
    let (request_id, stamp_name) = (wire("request-id"), wire("stamp"));
    let head = format!(
        "HTTP/1.1 200 OK\r\n{request_id}: {id}\r\n{stamp_name}: {stamp}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let last = req.header("last-event-id").and_then(|id| id.parse().ok());
    let mut result = tcp.write_all(head.as_bytes());
    for event in last.unwrap_or(0) + 1..=EVENTS {
        if is_preempted && event == PREEMPTED_AT {
            let note = format!("runner {} preempts {id} and reads it again", runner.id);
            runner.record.note(&note);
            std::thread::sleep(PREEMPTION);
            runner
                .record
                .note(&format!("runner {} goes on with {id}", runner.id));
        }
        std::thread::sleep(PAUSE);
        let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        result = result.and_then(|()| tcp.write_all(chunk.as_bytes()));
    }
    result = result.and_then(|()| tcp.write_all(b"0\r\n\r\n"));
    runner.note_end(&id, result.is_ok());
    result
}

/// Refuses each request as a runner does whose slots other callers have taken.
fn full() -> Behaviour {
    Arc::new(|runner, tcp, req| {
        let id = req.header(wire("request-id")).unwrap_or_default();
        runner.record.note(&format!(
            "runner {} is full and refuses {id} (503, not run)",
            runner.id
        ));
        let headers = [(wire("request-id"), id), (wire("not-run"), "1")];
        write_answer(tcp, "503 Service Unavailable", &headers, b"")
    })
}

/// Runs streams; with trouble, preempts each one that has its first run here.
fn streaming(has_trouble: bool) -> Behaviour {
    Arc::new(move |runner, tcp, req| {
        let id = req.header(wire("request-id")).unwrap_or_default();
        let is_first_run = req.header("last-event-id").is_none();
        let is_preempted = has_trouble && is_first_run && id.starts_with("draft");
        write_stream(runner, tcp, req, is_preempted)
    })
}

/// How a stream ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StreamEnd {
    Complete,
    /// The connection ended before the end of the stream.
    Cut,
    /// The client gave up after a gap.
    Abandoned,
    /// It was refused.
    Refused,
}

fn read_stream(bench: &Bench, tcp: &mut TcpStream, id: &str) -> StreamEnd {
    let record = &bench.record;
    record.note(&format!("client asks for {id}"));
    let head = format!(
        "POST /drafts/7 HTTP/1.1\r\nHost: desk.example\r\n{}: {id}\r\n{}: 8000\r\n\
         Authorization: Token k1\r\nContent-Length: 4\r\n\r\ntext",
        wire("request-id"),
        wire("deadline"),
    );
    tcp.write_all(head.as_bytes())
        .expect("a request can be sent");
    tcp.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    let (mut text, mut buf) = (String::new(), [0; 4096]);
    let end = loop {
        match tcp.read(&mut buf) {
            Ok(0) => break StreamEnd::Cut,
            Ok(size) => text.push_str(&String::from_utf8_lossy(&buf[..size])),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break StreamEnd::Abandoned,
            Err(_) => break StreamEnd::Cut,
        }
        if !text.starts_with("HTTP/1.1 200") {
            break StreamEnd::Refused;
        }
        if text.ends_with("\r\n0\r\n\r\n") {
            break StreamEnd::Complete;
        }
    };
    let events = text.matches("data: piece").count();
    record.note(&format!(
        "client: {id} ends after {events} of {EVENTS} events: {end:?}"
    ));
    end
}

/// Runs the case: streams that run while the entry is stopped as planned.
pub fn run(bench: &Bench) -> bool {
    let record = &bench.record;
    let store = Store::start();
    let config = include_str!("../config.json").replace("VERSION", "3");
    store.put(wire("operator-topic"), "config", config.as_bytes());
    Runner::start(&store, "i-0", "drafting", full(), record);
    for id in ["i-1", "i-2"] {
        let behaviour = streaming(bench.has_trouble);
        Runner::start(&store, id, "drafting", behaviour, record);
    }
    let mut entry = Entry::start(&bench.root, &bench.folder, "edge-west-1", store.address);
    record.note("the entry is ready");
    let mut connections: Vec<TcpStream> = Vec::new();
    for index in 0..STREAMS {
        let mut tcp = TcpStream::connect(entry.address).expect("a connection");
        let end = read_stream(bench, &mut tcp, &format!("before-{index}"));
        assert_eq!(end, StreamEnd::Complete, "a calm stream isn't served");
        connections.push(tcp);
    }
    // The rule asks for calm from three seconds before the requests.
    std::thread::sleep(Duration::from_secs(1));
    let started = Instant::now();
    let ends: Vec<StreamEnd> = std::thread::scope(|scope| {
        let clients = connections.iter_mut().enumerate().map(|(index, tcp)| {
            scope.spawn(move || {
                std::thread::sleep(STAGGER * u32::try_from(index).expect("few streams"));
                read_stream(bench, tcp, &format!("draft-{index}"))
            })
        });
        let clients: Vec<_> = clients.collect();
        std::thread::sleep(Duration::from_millis(400).saturating_sub(started.elapsed()));
        record.note("SIGTERM to the entry");
        entry.signal("-TERM");
        let ends = clients.into_iter().map(|client| client.join());
        ends.map(|end| end.expect("a client")).collect()
    });
    let has_ended = entry.wait(Duration::from_secs(8));
    record.note(&format!("the entry has ended by itself: {has_ended}"));
    let cut = ends.iter().filter(|end| **end == StreamEnd::Cut).count();
    if cut > 0 {
        record.note(&format!(
            "LOST: {cut} streams that were passed on to a sound runner have no complete answer"
        ));
    }
    cut > 0
}

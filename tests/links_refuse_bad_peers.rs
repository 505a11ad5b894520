//! A peer that isn't one of ours, or that sends what isn't a frame, loses its
//! link with a logged reason and harms no other.

use egretstage::wire::{Frame, Hello, Incarnation, InstanceId, Role, ZoneName, encode};
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, wait_for_route};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::{Message, WebSocket, client};

const KEY: &str = "test-key";

fn hello(version: u16) -> Frame {
    Frame::Hello(Hello {
        version,
        role: Role::Entry,
        instance: InstanceId::try_from("stranger").expect("a valid name"),
        incarnation: Incarnation(1),
        zone: ZoneName::try_from("west").expect("a valid name"),
        service: None,
    })
}

/// Opens a WebSocket with a key; none when the handshake is refused.
fn open(address: SocketAddr, key: &str) -> Option<WebSocket<TcpStream>> {
    let tcp = TcpStream::connect(address).expect("a connection");
    tcp.set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a time limit");
    let mut req = format!("ws://{address}/link")
        .into_client_request()
        .expect("a valid address");
    let value = format!("Bearer {key}").parse().expect("a valid header");
    req.headers_mut().insert("authorization", value);
    client(req, tcp).ok().map(|(socket, _)| socket)
}

/// Waits for the end of a link that the companion closes.
fn await_end(mut socket: WebSocket<TcpStream>) {
    wait_for("the end of the link", || match socket.read() {
        Ok(Message::Close(_)) | Err(_) => Some(()),
        Ok(_) => None,
    });
}

fn send(socket: &mut WebSocket<TcpStream>, frame: &Frame) {
    let buf = encode(frame).expect("a small frame");
    socket.send(Message::binary(buf)).expect("an open link");
}

fn await_log(companion: &Program, message: &str, reason: &str) {
    wait_for(&format!("{message}: {reason}"), || {
        let lines = companion.log_lines();
        let fits = |line: &serde_json::Value| {
            line["message"] == message
                && line["reason"]
                    .as_str()
                    .is_some_and(|text| text.contains(reason))
        };
        lines.iter().any(fits).then_some(())
    });
}

#[test]
fn bad_peers_lose_their_links_and_harm_no_other() {
    let fleet = scenario::start_fleet(programs!());
    let work = Duration::from_secs(2);
    let (_service, upstream) = fleet.plain_service(PlainServiceOptions { work });
    let companion = fleet.companion(&booking("ledger-1", "west", upstream));
    let entry = fleet.entry("entry-1", "west");
    wait_for_route(
        &entry,
        &CallerRequest::plain("GET", "/services/booking/ping", ""),
    );
    let address = entry.address;
    let lookup = std::thread::spawn(move || {
        CallerRequest::plain("GET", "/services/booking/occupancy", "").send(address)
    });

    assert!(open(companion.address, "wrong").is_none());
    await_log(&companion, "link refused", "wrong link key");

    let mut other_version = open(companion.address, KEY).expect("the right key");
    send(&mut other_version, &hello(999));
    await_end(other_version);
    await_log(&companion, "link refused", "protocol version 999");

    let mut malformed = open(companion.address, KEY).expect("the right key");
    send(&mut malformed, &hello(egretstage::wire::PROTOCOL_VERSION));
    malformed
        .send(Message::binary(vec![0xff; 64]))
        .expect("an open link");
    await_end(malformed);
    await_log(&companion, "link down", "malformed frame");

    let mut oversized = open(companion.address, KEY).expect("the right key");
    send(&mut oversized, &hello(egretstage::wire::PROTOCOL_VERSION));
    let _ = oversized.send(Message::binary(vec![0; 5 * 1024 * 1024]));
    await_end(oversized);

    let mut wrong_side = open(companion.address, KEY).expect("the right key");
    send(&mut wrong_side, &hello(egretstage::wire::PROTOCOL_VERSION));
    send(&mut wrong_side, &Frame::Leaving);
    await_end(wrong_side);

    assert!(lookup.join().expect("a caller").is_completed());
    let logs = format!("{:?}{:?}", companion.log_lines(), entry.log_lines());
    assert!(!logs.contains(KEY), "a secret was logged");
    assert!(!logs.contains(scenario::DESK_TOKEN), "a secret was logged");
}

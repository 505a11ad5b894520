//! A peer without the link key or with another protocol version, and one that
//! sends malformed, oversized or unexpected frames, loses its link with a
//! logged reason. Other links go on.

use egretstage::wire::{Frame, Hello, Incarnation, InstanceId, Role, ZoneName, encode};
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, wait_for_route};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::{Message, WebSocket, client};

const LINK_KEY: &str = "test-key";

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

/// Opens a WebSocket with a link key, or returns `None` when the handshake is
/// refused.
fn open_link(address: SocketAddr, key: &str) -> Option<WebSocket<TcpStream>> {
    let tcp = TcpStream::connect(address).expect("a connection");
    tcp.set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a read timeout");
    let mut req = format!("ws://{address}/link")
        .into_client_request()
        .expect("a valid address");
    let value = format!("Bearer {key}").parse().expect("a valid header");
    req.headers_mut().insert("authorization", value);
    client(req, tcp).ok().map(|(socket, _)| socket)
}

/// Waits until the companion closes a link.
fn wait_for_close(mut socket: WebSocket<TcpStream>) {
    wait_for("the link to close", || match socket.read() {
        Ok(Message::Close(_)) | Err(_) => Some(()),
        Ok(_) => None,
    });
}

fn send(socket: &mut WebSocket<TcpStream>, frame: &Frame) {
    let buf = encode(frame).expect("a small frame");
    socket.send(Message::binary(buf)).expect("an open link");
}

fn wait_for_log_line(companion: &Program, message: &str, reason: &str) {
    wait_for(&format!("{message}: {reason}"), || {
        let lines = companion.log_lines();
        let matches = |line: &serde_json::Value| {
            line["message"] == message
                && line["reason"]
                    .as_str()
                    .is_some_and(|text| text.contains(reason))
        };
        lines.iter().any(matches).then_some(())
    });
}

#[test]
fn bad_peers_are_disconnected_without_harm_to_others() {
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

    assert!(open_link(companion.address, "wrong").is_none());
    wait_for_log_line(&companion, "link refused", "wrong link key");

    let mut other_version = open_link(companion.address, LINK_KEY).expect("the right key");
    send(&mut other_version, &hello(999));
    wait_for_close(other_version);
    wait_for_log_line(&companion, "link refused", "protocol version 999");

    let mut malformed = open_link(companion.address, LINK_KEY).expect("the right key");
    send(&mut malformed, &hello(egretstage::wire::PROTOCOL_VERSION));
    malformed
        .send(Message::binary(vec![0xff; 64]))
        .expect("an open link");
    wait_for_close(malformed);
    wait_for_log_line(&companion, "link down", "malformed frame");

    let mut oversized = open_link(companion.address, LINK_KEY).expect("the right key");
    send(&mut oversized, &hello(egretstage::wire::PROTOCOL_VERSION));
    let _ = oversized.send(Message::binary(vec![0; 5 * 1024 * 1024]));
    wait_for_close(oversized);

    let mut unexpected = open_link(companion.address, LINK_KEY).expect("the right key");
    send(&mut unexpected, &hello(egretstage::wire::PROTOCOL_VERSION));
    send(&mut unexpected, &Frame::Leaving);
    wait_for_close(unexpected);

    assert!(lookup.join().expect("a caller").is_completed());
    let logs = format!("{:?}{:?}", companion.log_lines(), entry.log_lines());
    assert!(!logs.contains(LINK_KEY), "a secret was logged");
    assert!(!logs.contains(scenario::DESK_TOKEN), "a secret was logged");
}

//! Sends and receives the datagrams between companions.

use egretstage_passes::{MemberEvent, PassMessage};
use egretstage_runtime::EventSender;
use serde::Serialize;
use std::net::{SocketAddr, UdpSocket};

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Passes received datagrams to the member for as long as the process runs.
pub(crate) fn receive(socket: &UdpSocket, events: &EventSender<MemberEvent>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (size, from) = match socket.recv_from(&mut buf) {
            Ok(received) => received,
            Err(e) => {
                log::debug!(error:display = e; "receiving a datagram failed");
                continue;
            }
        };
        match ciborium::from_reader::<PassMessage, _>(&buf[..size]) {
            Ok(message) => events.send(MemberEvent::Received(from, Box::new(message))),
            Err(e) => {
                log::warn!(peer:display = from, error:display = e; "a datagram isn't a companion's message");
            }
        }
    }
}

/// Sends a datagram. The protocol of the messages repeats lost ones.
pub(crate) fn send(socket: &UdpSocket, to: SocketAddr, message: &impl Serialize) {
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(message, &mut bytes) {
        log::error!(error:display = e; "a datagram can't be encoded");
    } else if let Err(e) = socket.send_to(&bytes, to) {
        log::debug!(peer:display = to, error:display = e; "a datagram can't be sent");
    }
}

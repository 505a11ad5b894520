//! Exchanges load reports with the other entries, as datagrams, and receives the
//! deciders' reports of slow ranks.
//!
//! The next report replaces a lost one, so nothing is retransmitted and no
//! entry waits for another.

use crate::driver::Driver;
use egretstage_dispatch::{DispatchEvent, LoadReport};
use egretstage_wire::{InstanceId, SlowRanks};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;

/// Largest datagram that is received, in bytes.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Addresses of the other entries.
///
/// They are read in the store, and taken from the entries' reports: an entry that
/// starts while the store refuses it is known to the others from an earlier start.
#[derive(Clone, Debug)]
pub(crate) struct PeerDirectory {
    own_name: InstanceId,
    addresses: Arc<Mutex<BTreeMap<InstanceId, SocketAddr>>>,
}

impl PeerDirectory {
    /// Creates an empty directory for an entry, which isn't listed itself.
    pub(crate) fn new(own_name: InstanceId) -> Self {
        Self {
            own_name,
            addresses: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, SocketAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores the address of an entry.
    pub(crate) fn insert(&self, name: &InstanceId, address: SocketAddr) {
        if *name != self.own_name && self.lock().insert(name.clone(), address) != Some(address) {
            log::info!(peer = name.as_str(), address:display; "another entry is known");
        }
    }

    /// Returns the address of an entry.
    pub(crate) fn get(&self, name: &InstanceId) -> Option<SocketAddr> {
        self.lock().get(name).copied()
    }

    /// Returns the addresses of all entries, in the order of their names.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().values().copied().collect()
    }
}

/// Sends this entry's reports to the others.
pub(crate) async fn send_reports(
    socket: Rc<UdpSocket>,
    mut reports: UnboundedReceiver<Box<LoadReport>>,
    peers: PeerDirectory,
) {
    while let Some(report) = reports.recv().await {
        let mut bytes = Vec::new();
        if let Err(e) = ciborium::into_writer(&report, &mut bytes) {
            log::error!(error:display = e; "a load report can't be encoded");
            continue;
        }
        for address in peers.addresses() {
            if let Err(e) = socket.send_to(&bytes, address).await {
                log::debug!(peer:display = address, error:display = e; "a load report can't be sent");
            }
        }
    }
}

/// Passes the reports of other entries and of deciders to the dispatcher.
pub(crate) async fn receive_reports(
    socket: Rc<UdpSocket>,
    driver: Rc<Driver>,
    peers: PeerDirectory,
) {
    let mut buf = vec![0; MAX_REPORT_BYTES];
    loop {
        let (size, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!(error:display = e; "receiving a load report failed");
                continue;
            }
        };
        match decode_report(&buf[..size]) {
            Ok(event) => {
                if let DispatchEvent::PeerReported(report) = &event {
                    peers.insert(&report.entry, from);
                }
                driver.handle_event(event);
            }
            Err(e) => log::warn!(peer:display = from, error:display = e; "invalid report"),
        }
    }
}

/// Decodes another entry's load, or a decider's report of slow ranks.
fn decode_report(bytes: &[u8]) -> Result<DispatchEvent, ciborium::de::Error<std::io::Error>> {
    if let Ok(report) = ciborium::from_reader::<LoadReport, _>(bytes) {
        return Ok(DispatchEvent::PeerReported(Box::new(report)));
    }
    let report = ciborium::from_reader::<SlowRanks, _>(bytes)?;
    Ok(DispatchEvent::SlowRanksReported(Box::new(report)))
}

//! Fetches the configuration that another entry has.

use crate::dialect::RecordDecoder;
use crate::feeds::configured_event;
use crate::peers::PeerDirectory;
use crate::record_relay::{RecordCache, fetch_records};
use egretstage_dispatch::{ConfigurationSource, DispatchEvent};
use egretstage_platform::KeyedTopic;
use egretstage_wire::InstanceId;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// Fetches configurations from other entries, each on a thread of its own: a silent
/// entry delays neither the entry's thread nor another fetch.
#[derive(Clone)]
pub(crate) struct ConfigurationFetcher {
    pub(crate) cache: RecordCache,
    pub(crate) peers: PeerDirectory,
    pub(crate) decoder: Arc<dyn RecordDecoder>,
    pub(crate) tx: UnboundedSender<DispatchEvent>,
}

impl ConfigurationFetcher {
    /// Starts to fetch the configuration of another entry.
    pub(crate) fn fetch(&self, peer: &InstanceId) {
        let Some(address) = self.peers.get(peer) else {
            log::debug!(peer = peer.as_str(); "the address of a newer configuration isn't known");
            return;
        };
        let fetcher = self.clone();
        let thread = std::thread::Builder::new().name("fetch".to_owned());
        if let Err(e) = thread.spawn(move || fetcher.fetch_from(address)) {
            log::warn!(error:display = e; "a thread that fetches a configuration can't start");
        }
    }

    fn fetch_from(&self, peer: SocketAddr) {
        let Some(snapshot) = fetch_records(peer, KeyedTopic::Configuration) else {
            return;
        };
        for (key, value) in snapshot.into_records() {
            let source = ConfigurationSource::Peer;
            let event = configured_event(&*self.decoder, &self.cache, key, value, source);
            if let Some(event) = event {
                // The send fails only after the end of the entry's loop.
                drop(self.tx.send(event));
            }
        }
    }
}

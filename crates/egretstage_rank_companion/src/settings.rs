//! Settings of a companion beside a rank.

use compact_str::format_compact;
use egretstage_config::settings::{Clash, PeersSettings, SettingsFile, StoreSettings};
use egretstage_wire::{InstanceId, ServiceName};
use serde::Deserialize;
use std::net::SocketAddr;

/// Settings of a companion beside a rank.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankCompanionSettings {
    /// The companion's name among the system's processes.
    pub instance: InstanceId,
    /// Address of the metrics endpoint.
    pub admin_listen: SocketAddr,
    /// The engine beside it.
    pub upstream: UpstreamSettings,
    /// The other companions.
    pub peers: PeersSettings,
    /// The platform's store.
    pub store: StoreSettings,
}

/// The engine beside a companion.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
}

impl SettingsFile for RankCompanionSettings {
    fn check(&self) -> Result<(), Clash> {
        if self.admin_listen == self.peers.listen {
            return Err(Clash {
                key: "admin_listen",
                message: format_compact!(
                    "{} is the peers' address, a port of its own is needed",
                    self.admin_listen
                ),
            });
        }
        Ok(())
    }
}

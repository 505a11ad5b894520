//! Settings of a companion beside a rank.

use compact_str::format_compact;
use egretstage_config::settings::{InvalidValue, PeersSettings, SettingsFile, StoreSettings};
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
    /// The engine beside the companion.
    pub upstream: UpstreamSettings,
    /// The datagrams to and from the other companions.
    pub peers: PeersSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// The instance's link.
    pub link: LinkSettings,
}

/// The engine beside a companion.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// The service that the engine belongs to.
    pub service: ServiceName,
    /// The engine's address.
    pub address: SocketAddr,
}

/// The instance's link.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// The link's rate, in megabits per second.
    pub mbps: LinkRate,
}

/// Rate of a link.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(try_from = "f64")]
pub struct LinkRate {
    bytes_per_s: u32,
}

/// A link's rate is out of range.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("a link carries 0.1 to 30000 megabits a second, not {0}")]
pub struct LinkRateError(f64);

impl TryFrom<f64> for LinkRate {
    type Error = LinkRateError;

    fn try_from(mbps: f64) -> Result<Self, LinkRateError> {
        if !(0.1..=30_000.0).contains(&mbps) {
            return Err(LinkRateError(mbps));
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range is checked above"
        )]
        let bytes_per_s = (mbps * 125_000.0) as u32;
        Ok(Self { bytes_per_s })
    }
}

impl LinkRate {
    /// Returns the rate in bytes per second.
    #[must_use]
    pub fn bytes_per_s(self) -> u32 {
        self.bytes_per_s
    }
}

impl SettingsFile for RankCompanionSettings {
    fn check(&self) -> Result<(), InvalidValue> {
        if self.admin_listen == self.peers.listen {
            return Err(InvalidValue {
                key: "admin_listen",
                message: format_compact!(
                    "{} is also the peers' address; the metrics endpoint needs its own port",
                    self.admin_listen
                ),
            });
        }
        Ok(())
    }
}

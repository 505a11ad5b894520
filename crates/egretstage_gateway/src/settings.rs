//! Settings of an entry that calls upstreams itself.

use compact_str::format_compact;
use egretstage_config::settings::{
    Bounded, InvalidValue, PeersSettings, SettingsFile, StoreSettings,
};
use egretstage_wire::{InstanceId, ZoneName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an entry that calls upstreams itself.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The entry's name among the system's processes.
    pub instance: InstanceId,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// Addresses for callers and for the platform's balancer.
    pub callers: CallersSettings,
    /// The exchange with the other entries.
    pub peers: PeersSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// How soon changes in the store must take effect.
    pub freshness: FreshnessSettings,
    /// Planned stops.
    pub stop: StopSettings,
    /// Limits of the machine.
    #[serde(default)]
    pub limits: LimitsSettings,
    /// Calls between availability zones; they are almost free if absent.
    pub zones: Option<ZonesSettings>,
}

/// Memory in megabytes, at least one.
type Megabytes = Bounded<1, 16_777_216>;

/// Number of descriptors, at least 16.
type Descriptors = Bounded<16, 16_777_216>;

/// Bytes in a megabyte.
const MEGABYTE_BYTES: u64 = 1_000_000;

/// Memory of the machine if the settings don't state it, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 1_024;

/// Number of descriptors that the process may have open if the settings don't state it.
const DEFAULT_DESCRIPTORS: u64 = 16_384;

/// Limits of the machine that the entry runs on.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsSettings {
    /// Memory that the process may use, in megabytes; 1,024 if absent.
    pub memory_mb: Option<Megabytes>,
    /// Number of descriptors that the process may have open; 16,384 if absent.
    pub max_fds: Option<Descriptors>,
}

impl LimitsSettings {
    /// Returns the memory that the process may use, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let megabytes = self.memory_mb.map_or(DEFAULT_MEMORY_MB, Bounded::get);
        usize::try_from(megabytes * MEGABYTE_BYTES).unwrap_or(usize::MAX)
    }

    /// Returns the number of descriptors that the process may have open.
    #[must_use]
    pub fn descriptors(&self) -> usize {
        let descriptors = self.max_fds.map_or(DEFAULT_DESCRIPTORS, Bounded::get);
        usize::try_from(descriptors).unwrap_or(usize::MAX)
    }
}

/// Wait in milliseconds that outweighs the bytes of a call between zones: at least one, at
/// most a minute.
type CrossZoneCostMillis = Bounded<1, 60_000>;

/// Calls between availability zones.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZonesSettings {
    /// Price of a call's bytes between zones against a late answer: the expected wait at
    /// home, in milliseconds, from which a call leaves its zone.
    pub cross_zone_cost_ms: CrossZoneCostMillis,
}

/// Addresses at which callers and the platform's balancer reach the entry.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallersSettings {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the health and metrics endpoints.
    pub admin_listen: SocketAddr,
}

/// Time that the platform allows for a planned stop, in milliseconds: at least
/// a second, at most an hour.
type GraceMillis = Bounded<1_000, 3_600_000>;

/// Planned stops.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopSettings {
    /// Time between the stop signal and the kill, in milliseconds.
    pub grace_ms: GraceMillis,
}

/// Time within which a change in the store takes effect, in milliseconds: at
/// least half a second, at most ten minutes.
type FreshnessMillis = Bounded<500, 600_000>;

/// How soon changes in the store must take effect.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FreshnessSettings {
    /// Longest time until a configuration is active, in milliseconds.
    pub configuration_ms: FreshnessMillis,
    /// Longest time until a leaving upstream gets no more calls, in
    /// milliseconds.
    pub leaving_ms: FreshnessMillis,
}

impl FreshnessSettings {
    /// Returns the longest time until a configuration is active.
    #[must_use]
    pub fn max_configuration_delay(&self) -> Duration {
        Duration::from_millis(self.configuration_ms.get())
    }

    /// Returns the longest time until a leaving upstream gets no more calls.
    #[must_use]
    pub fn max_leaving_delay(&self) -> Duration {
        Duration::from_millis(self.leaving_ms.get())
    }
}

impl SettingsFile for GatewaySettings {
    fn check(&self) -> Result<(), InvalidValue> {
        if self.callers.listen == self.callers.admin_listen {
            return Err(InvalidValue {
                key: "admin_listen",
                message: format_compact!(
                    "{} is also the callers' address; the admin endpoints need their own port",
                    self.callers.admin_listen
                ),
            });
        }
        Ok(())
    }
}

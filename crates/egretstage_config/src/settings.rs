//! Process settings, read from TOML files and checked at start.

mod bounded;
mod parse;

pub use bounded::{Bounded, OutOfRange};
pub use parse::{InvalidSetting, InvalidValue, SettingsError, SettingsFile, load, parse};

use crate::RankSettings;
use bounded::bounded;
use compact_str::format_compact;
use egretstage_wire::{InstanceId, ServiceName, ZoneName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Seconds between two checkpoints, at most a week.
pub type CheckpointSeconds = Bounded<1, 604_800>;

/// Longest budget that settings may allow, in milliseconds; a day.
const MAX_BUDGET_MS: u64 = 86_400_000;

/// Address at which the other instances of the same role reach this one.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeersSettings {
    /// Address for datagrams (UDP).
    pub listen: SocketAddr,
}

/// The platform's store, for daemons that depend on no other part of the
/// platform.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
}

/// Settings that every daemon has.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The process's instance name.
    pub instance: InstanceId,
    /// The process's availability zone.
    pub zone: ZoneName,
    /// Address of the health and metrics endpoints.
    pub admin_listen: SocketAddr,
    /// Base URL of the platform's log service.
    pub log_url: String,
    /// Base URL of the platform's instance list.
    pub list_url: String,
    /// Secret key shared by the system's own processes.
    pub link_key: Secret,
}

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Settings that every daemon has.
    pub process: ProcessSettings,
    /// Address and limits for callers.
    pub callers: CallerSettings,
    /// Checkpoints of the configuration.
    #[serde(default)]
    pub configuration: ConfigurationSettings,
}

/// Part of the room for all bodies that an entry keeps for small ones.
const KEPT_BODIES_SHARE: usize = 4;

/// Settings of an entry's checkpoints of the configuration.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationSettings {
    /// Time between two checkpoints in seconds; must be at most a quarter of
    /// the log's retention.
    pub checkpoint_interval_s: CheckpointSeconds,
}

/// Default time between two checkpoints, in seconds.
const DEFAULT_CHECKPOINT_INTERVAL_S: i64 = 3_600;

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self {
            checkpoint_interval_s: CheckpointSeconds::try_from(DEFAULT_CHECKPOINT_INTERVAL_S)
                .expect("the default is in range"),
        }
    }
}

impl SettingsFile for EntrySettings {
    fn check(&self) -> Result<(), InvalidValue> {
        check_process(&self.process)?;
        let callers = &self.callers;
        if callers.default_budget_ms > callers.max_budget_ms {
            return Err(InvalidValue {
                key: "default_budget_ms",
                message: format_compact!(
                    "{} is not allowed, allowed are 1 to max_budget_ms, which is {}",
                    callers.default_budget_ms,
                    callers.max_budget_ms
                ),
            });
        }
        check_room_for_bodies(callers)?;
        check_port("listen", callers.listen)
    }
}

/// Refuses room for all bodies that can't hold one of the largest size.
fn check_room_for_bodies(callers: &CallerSettings) -> Result<(), InvalidValue> {
    let room = callers.max_all_bodies_bytes;
    if room - room / KEPT_BODIES_SHARE >= callers.max_body_bytes {
        return Ok(());
    }
    let least = (callers.max_body_bytes * KEPT_BODIES_SHARE - 1) / (KEPT_BODIES_SHARE - 1);
    Err(InvalidValue {
        key: "max_all_bodies_bytes",
        message: format_compact!(
            "{room} is not allowed, allowed is {least} or more, so that three quarters hold a \
             body of max_body_bytes, which is {}",
            callers.max_body_bytes
        ),
    })
}

impl SettingsFile for CompanionSettings {
    fn check(&self) -> Result<(), InvalidValue> {
        check_process(&self.process)?;
        check_port("listen", self.listen)?;
        check_port("address", self.upstream.address)
    }
}

fn check_process(process: &ProcessSettings) -> Result<(), InvalidValue> {
    check_port("admin_listen", process.admin_listen)?;
    check_url("log_url", &process.log_url)?;
    check_url("list_url", &process.list_url)?;
    if process.link_key.expose().is_empty() {
        return Err(InvalidValue {
            key: "link_key",
            message: "an empty key is not allowed".into(),
        });
    }
    Ok(())
}

/// Refuses port 0: peers and operators must know the port, so the operating
/// system can't choose it.
fn check_port(key: &'static str, address: SocketAddr) -> Result<(), InvalidValue> {
    if address.port() == 0 {
        return Err(InvalidValue {
            key,
            message: "port 0 is not allowed, allowed are 1 to 65535".into(),
        });
    }
    Ok(())
}

fn check_url(key: &'static str, url: &str) -> Result<(), InvalidValue> {
    if url.starts_with("http://") || url.starts_with("https://") {
        return Ok(());
    }
    Err(InvalidValue {
        key,
        message: format_compact!("{url:?} is not allowed, allowed are http:// and https:// URLs"),
    })
}

impl ConfigurationSettings {
    /// Returns the time between two checkpoints.
    #[must_use]
    pub fn checkpoint_interval(&self) -> Duration {
        Duration::from_secs(self.checkpoint_interval_s.get())
    }
}

/// Address and limits of an entry for its callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Maximum number of connections at once.
    #[serde(
        default = "default_max_connections",
        deserialize_with = "bounded::<_, _, 1, 1_000_000>"
    )]
    pub max_connections: usize,
    /// Maximum size of a request body in bytes.
    #[serde(
        default = "default_max_body_bytes",
        deserialize_with = "bounded::<_, _, 1, 3_145_728>"
    )]
    pub max_body_bytes: usize,
    /// Maximum size of the bodies of all requests together, in bytes.
    #[serde(
        default = "default_max_all_bodies_bytes",
        deserialize_with = "bounded::<_, _, 1, 1_099_511_627_776>"
    )]
    pub max_all_bodies_bytes: usize,
    /// Budget of a request that names none, in milliseconds.
    #[serde(
        default = "default_budget_ms",
        deserialize_with = "bounded::<_, _, 1, MAX_BUDGET_MS>"
    )]
    pub default_budget_ms: u64,
    /// Longest budget that a request may ask for, in milliseconds.
    #[serde(
        default = "default_max_budget_ms",
        deserialize_with = "bounded::<_, _, 1, MAX_BUDGET_MS>"
    )]
    pub max_budget_ms: u64,
    /// Time in milliseconds at a planned stop between reporting "not ready" and
    /// no longer accepting connections; must be at least the check interval of
    /// the platform's balancer.
    #[serde(
        default = "default_not_ready_grace_ms",
        deserialize_with = "bounded::<_, _, 0, 60_000>"
    )]
    pub not_ready_grace_ms: u64,
    /// Time in milliseconds after which an owner of idempotency keys is removed if
    /// it is neither linked nor alive on the instance list.
    #[serde(default = "default_remove_owner_after_ms")]
    pub remove_owner_after_ms: u64,
}

fn default_remove_owner_after_ms() -> u64 {
    3_000
}

fn default_not_ready_grace_ms() -> u64 {
    1_000
}

fn default_max_connections() -> usize {
    4096
}

fn default_max_body_bytes() -> usize {
    1024 * 1024
}

fn default_max_all_bodies_bytes() -> usize {
    512 * 1024 * 1024
}

fn default_budget_ms() -> u64 {
    30_000
}

fn default_max_budget_ms() -> u64 {
    120_000
}

/// Settings of a companion.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompanionSettings {
    /// Settings that every daemon has.
    pub process: ProcessSettings,
    /// Address that entries connect to.
    pub listen: SocketAddr,
    /// The upstream beside the companion.
    pub upstream: UpstreamSettings,
    /// How idempotency keys of a plain service are remembered.
    #[serde(default)]
    pub keys: KeySettings,
    /// Settings of the model group's rank, if the upstream is one.
    pub rank: Option<RankSettings>,
}

/// How the companions of a plain service remember idempotency keys; must be the
/// same at all companions of the service.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeySettings {
    /// Time in milliseconds for which a key is remembered after its run has
    /// ended.
    #[serde(deserialize_with = "bounded::<_, _, 1, 86_400_000>")]
    pub window_ms: u64,
    /// Longest budget that an entry admits, in milliseconds.
    #[serde(deserialize_with = "bounded::<_, _, 1, 3_600_000>")]
    pub longest_budget_ms: u64,
    /// Time in milliseconds after a read of the log during which new runs are
    /// allowed.
    #[serde(deserialize_with = "bounded::<_, _, 1, 60_000>")]
    pub lease_ms: u64,
    /// Maximum number of keys that are remembered at once.
    #[serde(deserialize_with = "bounded::<_, _, 1, 10_000_000>")]
    pub max_keys: usize,
    /// Maximum size of an answer that is held for repeated calls, in bytes.
    #[serde(deserialize_with = "bounded::<_, _, 0, 16_777_216>")]
    pub max_answer_bytes: usize,
    /// Maximum total size of all held answers, in bytes.
    #[serde(deserialize_with = "bounded::<_, _, 0, 4_294_967_296>")]
    pub max_held_bytes: usize,
    /// Age of the owners' last change, in milliseconds, after which the owners are
    /// appended to the log again; must be well below the log's retention.
    #[serde(deserialize_with = "bounded::<_, _, 1, 86_400_000>")]
    pub refresh_interval_ms: u64,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            window_ms: 600_000,
            longest_budget_ms: default_max_budget_ms(),
            lease_ms: 3_000,
            max_keys: 50_000,
            max_answer_bytes: 64 * 1024,
            max_held_bytes: 64 * 1024 * 1024,
            refresh_interval_ms: 600_000,
        }
    }
}

/// The upstream beside a companion.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// The service or model group that it belongs to.
    pub service: ServiceName,
    /// Whether it is a model engine or a plain service.
    pub kind: UpstreamKind,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Maximum number of calls that it runs at once.
    #[serde(
        default = "default_slots",
        deserialize_with = "bounded::<_, _, 1, 65_536>"
    )]
    pub slots: u32,
}

fn default_slots() -> u32 {
    64
}

/// The kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// A secret, which its `Debug` output leaves out.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret's text.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

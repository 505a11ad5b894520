//! Settings of a companion beside one rank of a model group.

use crate::balance_settings::BalanceSettings;
use compact_str::CompactString;
use egretstage_wire::{RankIndex, ServiceName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum number of heartbeats within the silence after which a decider is
/// suspected to have failed.
const MIN_HEARTBEATS_BEFORE_SUSPICION: u64 = 3;

/// A rank's settings that contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRankSettings {
    /// The rank isn't one of the group's.
    #[error("index {index} is not below ranks {ranks}")]
    Index {
        /// The rank.
        index: u16,
        /// Number of ranks.
        ranks: u16,
    },
    /// A decider that is alive could be suspected between two heartbeats.
    #[error(
        "suspect_after_ms must be at least {MIN_HEARTBEATS_BEFORE_SUSPICION} times heartbeat_ms"
    )]
    Suspicion,
    /// A grant could expire before the next one.
    #[error(
        "grant_horizon_ms must be at least twice heartbeat_ms and twice step_ms, and step_ms above 0"
    )]
    Horizon,
    /// The ranks have too few slots for all experts.
    #[error("slots_per_rank must give {ranks} ranks at least {experts} slots, one for each expert")]
    Slots {
        /// Number of ranks.
        ranks: u16,
        /// Number of experts in each layer.
        experts: u16,
    },
}

/// Settings of a companion beside one rank, as written in the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRankSettings {
    group: ServiceName,
    index: u16,
    ranks: u16,
    sender_lock: SocketAddr,
    advertise: Option<SocketAddr>,
    #[serde(default = "default_step_ms")]
    step_ms: u64,
    #[serde(default = "default_grant_horizon_ms")]
    grant_horizon_ms: u64,
    #[serde(default = "default_heartbeat_ms")]
    heartbeat_ms: u64,
    #[serde(default = "default_suspect_after_ms")]
    suspect_after_ms: u64,
    #[serde(default = "default_claim_stagger_ms")]
    claim_stagger_ms: u64,
    #[serde(default = "default_claim_renewal_ms")]
    claim_renewal_ms: u64,
    map_interval_ms: Option<u64>,
    balance: Option<BalanceSettings>,
    #[serde(default)]
    loads: Vec<CompactString>,
}

fn default_step_ms() -> u64 {
    35
}

fn default_grant_horizon_ms() -> u64 {
    10_000
}

fn default_heartbeat_ms() -> u64 {
    1_000
}

fn default_suspect_after_ms() -> u64 {
    3_000
}

fn default_claim_stagger_ms() -> u64 {
    250
}

fn default_claim_renewal_ms() -> u64 {
    600_000
}

/// Settings of a companion beside one rank of a model group.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "RawRankSettings")]
pub struct RankSettings {
    /// The model group.
    pub group: ServiceName,
    /// The rank.
    pub index: RankIndex,
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Address that the process keeps bound as long as it runs, so that only
    /// one process at a time sends to the engine.
    pub sender_lock: SocketAddr,
    /// Address at which the other companions reach this one, if it isn't the
    /// address that it listens on.
    pub advertise: Option<SocketAddr>,
    /// Number of steps that the decider grants ahead.
    pub horizon_steps: u64,
    /// Time between two grants.
    pub heartbeat: Duration,
    /// Silence of the decider after which it is suspected to have failed.
    pub suspect_after: Duration,
    /// Additional delay of a claim for each rank before this one.
    pub claim_stagger: Duration,
    /// Age at which a claim is appended to the log again; must be well below the
    /// log's retention.
    pub claim_renewal: Duration,
    /// Time between two maps of the periodic source; none keeps the first map.
    pub map_interval: Option<Duration>,
    /// Settings of the expert balance; none keeps the first map.
    pub balance: Option<BalanceSettings>,
    /// Models, adapters or versions that a new decider orders all engines to
    /// load.
    pub loads: Vec<CompactString>,
}

impl TryFrom<RawRankSettings> for RankSettings {
    type Error = InvalidRankSettings;

    fn try_from(raw: RawRankSettings) -> Result<Self, InvalidRankSettings> {
        let (index, ranks) = (raw.index, raw.ranks);
        if index >= ranks {
            return Err(InvalidRankSettings::Index { index, ranks });
        }
        if raw.suspect_after_ms < MIN_HEARTBEATS_BEFORE_SUSPICION * raw.heartbeat_ms {
            return Err(InvalidRankSettings::Suspicion);
        }
        if raw.step_ms == 0 || raw.grant_horizon_ms < 2 * raw.heartbeat_ms.max(raw.step_ms) {
            return Err(InvalidRankSettings::Horizon);
        }
        if let Some(balance) = &raw.balance {
            let experts = balance.experts;
            if u32::from(ranks) * u32::from(balance.slots_per_rank) < u32::from(experts) {
                return Err(InvalidRankSettings::Slots { ranks, experts });
            }
        }
        Ok(Self {
            group: raw.group,
            index: RankIndex(index),
            ranks,
            sender_lock: raw.sender_lock,
            advertise: raw.advertise,
            horizon_steps: raw.grant_horizon_ms / raw.step_ms,
            heartbeat: Duration::from_millis(raw.heartbeat_ms),
            suspect_after: Duration::from_millis(raw.suspect_after_ms),
            claim_stagger: Duration::from_millis(raw.claim_stagger_ms),
            claim_renewal: Duration::from_millis(raw.claim_renewal_ms),
            balance: raw.balance,
            map_interval: raw.map_interval_ms.map(Duration::from_millis),
            loads: raw.loads,
        })
    }
}

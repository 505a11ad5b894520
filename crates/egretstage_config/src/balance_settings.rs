//! Settings of a group's expert balance; the same at all its companions.

use serde::Deserialize;
use std::time::Duration;

/// Bytes of a MiB.
const MIB: u64 = 1 << 20;

/// Balance settings that can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidBalanceSettings {
    /// A number is 0 that must not be.
    #[error("{0} must be above 0")]
    Zero(&'static str),
}

/// How much skew a group gives up to save moved bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancePreset {
    /// For callers who feel each slow step.
    LowSkew,
    /// For groups whose moves compete with other transfers.
    LowCost,
}

/// A group's balance, as written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBalanceSettings {
    preset: BalancePreset,
    layers: u16,
    experts: u16,
    slots_per_rank: u16,
    expert_mib: u64,
    store_url: String,
    store_mib_per_s: u64,
    #[serde(default = "default_interval_ms")]
    interval_ms: u64,
    #[serde(default)]
    even_shares: bool,
}

fn default_interval_ms() -> u64 {
    60_000
}

/// Settings of a group's expert balance.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "RawBalanceSettings")]
pub struct BalanceSettings {
    /// The trade between skew and moved bytes.
    pub preset: BalancePreset,
    /// Layers with experts.
    pub layers: u16,
    /// Experts of each layer.
    pub experts: u16,
    /// Expert weights of a layer that one rank has room for.
    pub slots_per_rank: u16,
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
    /// Base URL of the platform's weight store.
    pub store_url: String,
    /// Bytes a second that the group may take of the weight store.
    pub store_bytes_per_second: u64,
    /// Time between two looks at the loads.
    pub interval: Duration,
    /// Whether the engine's map gives each replica the same share.
    pub even_shares: bool,
}

impl TryFrom<RawBalanceSettings> for BalanceSettings {
    type Error = InvalidBalanceSettings;

    fn try_from(raw: RawBalanceSettings) -> Result<Self, InvalidBalanceSettings> {
        let numbers = [
            ("layers", u64::from(raw.layers)),
            ("experts", u64::from(raw.experts)),
            ("slots_per_rank", u64::from(raw.slots_per_rank)),
            ("expert_mib", raw.expert_mib),
            ("store_mib_per_s", raw.store_mib_per_s),
            ("interval_ms", raw.interval_ms),
        ];
        if let Some((name, _)) = numbers.into_iter().find(|(_, number)| *number == 0) {
            return Err(InvalidBalanceSettings::Zero(name));
        }
        Ok(Self {
            preset: raw.preset,
            layers: raw.layers,
            experts: raw.experts,
            slots_per_rank: raw.slots_per_rank,
            expert_bytes: raw.expert_mib.saturating_mul(MIB),
            store_url: raw.store_url,
            store_bytes_per_second: raw.store_mib_per_s.saturating_mul(MIB),
            interval: Duration::from_millis(raw.interval_ms),
            even_shares: raw.even_shares,
        })
    }
}

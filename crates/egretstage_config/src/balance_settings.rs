//! Settings of a model group's expert balance, which must be the same at all
//! its companions.

use serde::Deserialize;
use std::time::Duration;

const BYTES_PER_MIB: u64 = 1 << 20;

/// Balance settings that can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidBalanceSettings {
    /// The named setting is 0.
    #[error("{0} must be above 0")]
    Zero(&'static str),
}

/// Trade-off between the skew of the loads and the bytes moved to reduce it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancePreset {
    /// Less skew, for callers that are sensitive to each slow step.
    LowSkew,
    /// Fewer moved bytes, for groups whose moves compete with other transfers.
    LowCost,
}

/// Settings of a group's expert balance, as written in the settings file.
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
    /// The trade-off between skew and moved bytes.
    pub preset: BalancePreset,
    /// Number of layers with experts.
    pub layers: u16,
    /// Number of experts in each layer.
    pub experts: u16,
    /// Number of experts of a layer whose weights fit on one rank.
    pub slots_per_rank: u16,
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
    /// Base URL of the platform's weight store.
    pub store_url: String,
    /// Bandwidth of the weight store that the group may use, in bytes per
    /// second.
    pub store_bytes_per_second: u64,
    /// Time between two checks of the loads.
    pub interval: Duration,
    /// Whether the engine's map gives each replica of an expert the same share.
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
            expert_bytes: raw.expert_mib.saturating_mul(BYTES_PER_MIB),
            store_url: raw.store_url,
            store_bytes_per_second: raw.store_mib_per_s.saturating_mul(BYTES_PER_MIB),
            interval: Duration::from_millis(raw.interval_ms),
            even_shares: raw.even_shares,
        })
    }
}

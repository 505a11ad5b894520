//! Load reports of a companion about its upstream.

use serde::{Deserialize, Serialize};

/// The load of one upstream as its companion last observed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls that run now.
    pub running: u32,
    /// Calls that wait for a slot.
    pub waiting: u32,
    /// Calls that may run at once.
    pub slots: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_prompt_tokens: u64,
    /// Prefill rate in tokens per second; 0 if unknown.
    pub prefill_tokens_per_s: f32,
    /// Time between tokens in milliseconds; 0 if unknown.
    pub token_interval_ms: f32,
    /// Age of the values when the report was sent, in milliseconds.
    pub age_ms: u32,
    /// Time that a call occupies a slot, in milliseconds; 0 if unknown.
    #[serde(default)]
    pub service_ms: f32,
    /// Calls that the companion had received from the entry at the time of the
    /// report.
    pub received_from_peer: u64,
    /// Calls of the entry that ran or waited at the companion at the time of the
    /// report.
    #[serde(default)]
    pub held_from_peer: u32,
}

impl LoadReport {
    /// Returns the number of running and waiting calls of other entries.
    #[must_use]
    pub fn held_from_others(&self) -> u32 {
        let held = self.running.saturating_add(self.waiting);
        held.saturating_sub(self.held_from_peer)
    }
}

/// Encodes a report as a list without field names and rounds the prefill rate and
/// the service time, to keep it small on links.
pub(crate) mod compact {
    use super::LoadReport;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// Fields of a report, in the order of their declaration.
    #[derive(Serialize, Deserialize)]
    struct Fields(u32, u32, u32, u64, f32, f32, u32, f32, u64, u32);

    pub(crate) fn serialize<S: Serializer>(load: &LoadReport, s: S) -> Result<S::Ok, S::Error> {
        let fields = Fields(
            load.running,
            load.waiting,
            load.slots,
            load.waiting_prompt_tokens,
            load.prefill_tokens_per_s.round(),
            load.token_interval_ms,
            load.age_ms,
            load.service_ms.round(),
            load.received_from_peer,
            load.held_from_peer,
        );
        fields.serialize(s)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<LoadReport, D::Error> {
        let fields = Fields::deserialize(d)?;
        Ok(LoadReport {
            running: fields.0,
            waiting: fields.1,
            slots: fields.2,
            waiting_prompt_tokens: fields.3,
            prefill_tokens_per_s: fields.4,
            token_interval_ms: fields.5,
            age_ms: fields.6,
            service_ms: fields.7,
            received_from_peer: fields.8,
            held_from_peer: fields.9,
        })
    }
}

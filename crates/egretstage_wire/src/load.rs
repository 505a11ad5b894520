//! Load reports of a companion about its upstream.

use serde::{Deserialize, Serialize};

/// The load of one upstream as its companion last saw it.
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
    /// Prefill rate in tokens per second, 0 when not known.
    pub prefill_tokens_per_s: f32,
    /// Time between tokens in milliseconds, 0 when not known.
    pub token_interval_ms: f32,
    /// Age of the figures when the report was sent, in milliseconds.
    pub age_ms: u32,
    /// Time that a call holds a slot in milliseconds, 0 when not known.
    #[serde(default)]
    pub service_ms: f32,
    /// The entry's calls that the companion had received at the report.
    pub received_from_peer: u64,
    /// The entry's calls that the companion held at the report.
    #[serde(default)]
    pub held_from_peer: u32,
}

impl LoadReport {
    /// Returns the calls of other entries that the upstream held.
    #[must_use]
    pub fn others(&self) -> u32 {
        let held = self.running.saturating_add(self.waiting);
        held.saturating_sub(self.held_from_peer)
    }
}

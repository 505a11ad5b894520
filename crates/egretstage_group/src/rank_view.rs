//! A decider's view of one rank.

use crate::Peer;
use egretstage_wire::{EngineBoot, EngineOrder, MapVersion, RankState};
use smallvec::SmallVec;
use std::collections::VecDeque;

/// State that a decider keeps for one rank of its group.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankView {
    /// The gate that is attached for the rank.
    pub(crate) peer: Option<Peer>,
    /// State that the engine reported when it joined the generation.
    pub(crate) joined_state: Option<RankState>,
    /// Maps that the engine holds in this generation.
    pub(crate) held_maps: SmallVec<[MapVersion; 4]>,
    /// Orders not yet completed; the first may be in progress.
    pub(crate) pending_orders: VecDeque<EngineOrder>,
}

impl RankView {
    /// Clears what was reported in an earlier generation.
    pub(crate) fn reset(&mut self) {
        self.joined_state = None;
        self.held_maps.clear();
    }

    /// Returns whether the engine with this boot id has joined the generation.
    pub(crate) fn has_joined_boot(&self, boot: EngineBoot) -> bool {
        self.joined_state
            .as_ref()
            .is_some_and(|state| state.boot == boot)
    }

    /// Records the state that the engine reported after it joined.
    pub(crate) fn record_joined(&mut self, state: RankState) {
        self.held_maps.clone_from(&state.held);
        self.joined_state = Some(state);
    }
}

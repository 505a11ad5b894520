//! What a decider knows of one rank.

use crate::Peer;
use egretstage_wire::{EngineBoot, EngineOrder, MapVersion, RankState};
use smallvec::SmallVec;
use std::collections::VecDeque;

/// The place of one rank in a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seat {
    /// Who holds the place.
    pub(crate) peer: Option<Peer>,
    /// What the engine reported when it joined the generation.
    pub(crate) joined: Option<RankState>,
    /// Maps that the engine holds in this generation.
    pub(crate) held: SmallVec<[MapVersion; 4]>,
    /// Orders not yet done; the first may be under way.
    pub(crate) orders: VecDeque<EngineOrder>,
}

impl Seat {
    /// Forgets what was reported in an earlier generation.
    pub(crate) fn reset(&mut self) {
        self.joined = None;
        self.held.clear();
    }

    /// Tells whether an engine has joined the generation.
    pub(crate) fn is_boot(&self, boot: EngineBoot) -> bool {
        self.joined.as_ref().is_some_and(|state| state.boot == boot)
    }

    /// Takes in what the engine reported after it joined.
    pub(crate) fn join(&mut self, state: RankState) {
        self.held.clone_from(&state.held);
        self.joined = Some(state);
    }
}

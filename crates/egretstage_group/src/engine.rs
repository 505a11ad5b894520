//! Calls to an engine rank and their replies.

use egretstage_wire::{EngineOrder, Fence, Generation, Grant, MapVersion, RankState, VersionedMap};
use serde::{Deserialize, Serialize};

/// A call to an engine rank; all calls are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineCall {
    /// Requests the engine's state.
    Probe,
    /// Leaves earlier generations, drops their grants and joins this one.
    Join {
        /// The generation.
        generation: Generation,
        /// A map that the decider already holds, so that the reply can omit it.
        have: Option<MapVersion>,
    },
    /// Loads a map in advance, so that a step can use it without delay.
    Stage {
        /// The generation.
        generation: Generation,
        /// The map.
        map: VersionedMap,
    },
    /// Permits steps to run.
    Grant(Grant),
    /// Changes what the engine serves, by the decider's order.
    Order(EngineOrder),
}

impl EngineCall {
    /// Returns the generation that the call belongs to, if it belongs to one.
    #[must_use]
    pub fn generation(&self) -> Option<Generation> {
        match self {
            Self::Join { generation, .. } | Self::Stage { generation, .. } => Some(*generation),
            Self::Grant(grant) => Some(grant.generation),
            Self::Probe | Self::Order(_) => None,
        }
    }

    /// Returns the fencing number of the decider that issued the call, if one did.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        match self {
            Self::Order(order) => Some(order.fence),
            _ => self.generation().map(|generation| generation.fence),
        }
    }
}

/// An engine rank's reply to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReply {
    /// Whether the call has taken effect, now or in an earlier attempt.
    pub effective: bool,
    /// The engine's state after the call.
    pub state: RankState,
    /// The active map, in the reply to a join whose decider doesn't hold it.
    pub map: Option<VersionedMap>,
}

/// The engine didn't reply; the call may or may not have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoEngineReply;

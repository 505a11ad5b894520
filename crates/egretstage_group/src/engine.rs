//! The calls to an engine rank, as data.

use egretstage_wire::{EngineOrder, Fence, Generation, Grant, MapVersion, RankState, VersionedMap};
use serde::{Deserialize, Serialize};

/// One call to an engine rank; each may be repeated without harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineCall {
    /// Asks for the state.
    Probe,
    /// Leaves earlier generations and drops their grants, then joins this one.
    Join {
        /// The generation.
        generation: Generation,
        /// A map that needn't be sent back.
        have: Option<MapVersion>,
    },
    /// Loads a map, so that a step can use it at once.
    Stage {
        /// The generation.
        generation: Generation,
        /// The map.
        map: VersionedMap,
    },
    /// Lets steps run.
    Grant(Grant),
    /// Changes what the engine serves.
    Order(EngineOrder),
}

impl EngineCall {
    /// Returns the generation that the call belongs to.
    #[must_use]
    pub fn generation(&self) -> Option<Generation> {
        match self {
            Self::Join { generation, .. } | Self::Stage { generation, .. } => Some(*generation),
            Self::Grant(grant) => Some(grant.generation),
            Self::Probe | Self::Order(_) => None,
        }
    }

    /// Returns the fencing number under which the call was made.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        match self {
            Self::Order(order) => Some(order.fence),
            _ => self.generation().map(|generation| generation.fence),
        }
    }
}

/// An engine rank's answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReply {
    /// Whether the call took effect, now or earlier.
    pub effective: bool,
    /// The state after the call.
    pub state: RankState,
    /// The active map, in the answer to a join that doesn't have it.
    pub map: Option<VersionedMap>,
}

/// The engine didn't answer; the call may or may not have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoEngineReply;

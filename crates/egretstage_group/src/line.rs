//! The log lines of a group's decisions.

use egretstage_wire::{Fence, Generation, InstanceId, MapVersion, RankIndex, Step};
use serde::Serialize;

/// The log line of one decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, strum::IntoStaticStr)]
#[serde(tag = "decision", rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GroupDecision {
    /// This companion claims the group.
    Claim {
        /// Offset of the claim to be replaced; 0 for none.
        base: u64,
        /// Why.
        reason: ClaimReason,
    },
    /// Another claim holds from now on, or this companion's own.
    Holder {
        /// Its fencing number.
        fence: Fence,
        /// The holder.
        instance: InstanceId,
    },
    /// This companion no longer decides.
    StandDown {
        /// Its fencing number.
        fence: Fence,
    },
    /// The decider starts a generation: all ranks have to join.
    Form {
        /// The generation.
        generation: Generation,
        /// Why.
        reason: FormReason,
    },
    /// All ranks have joined and hold the map: steps are granted.
    Run {
        /// The generation.
        generation: Generation,
        /// The first step.
        from: Step,
        /// The map.
        map: MapVersion,
    },
    /// A new map is sent to all ranks.
    Stage {
        /// The map.
        map: MapVersion,
        /// Its size.
        bytes: usize,
    },
    /// A switch is decided.
    Switch {
        /// The new map.
        map: MapVersion,
        /// The first step with it.
        from: Step,
    },
    /// A rank is refused: another process holds its place.
    RankOccupied {
        /// The rank.
        rank: RankIndex,
    },
    /// An order from a superseded decider is dropped before it is sent.
    DropOrder {
        /// Its fencing number.
        fence: Fence,
        /// The lowest fencing number that is accepted.
        lowest: Fence,
    },
    /// An order is done.
    OrderDone {
        /// The rank.
        rank: RankIndex,
        /// The order's number.
        number: u32,
        /// Whether it took effect.
        effective: bool,
    },
}

/// Why a companion claims its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimReason {
    /// Nobody holds it.
    Unclaimed,
    /// The holder has been silent.
    HolderSilent,
    /// The holder was an earlier process of this instance.
    OwnPredecessor,
    /// The holder's own record is about to expire.
    Renewal,
}

/// Why a decider starts a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FormReason {
    /// It has just taken over.
    Takeover,
    /// A rank's engine was replaced or has left the generation.
    RankReplaced,
}

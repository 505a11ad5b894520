//! Decisions of a group member, as logged.

use egretstage_wire::{Fence, Generation, InstanceId, MapVersion, RankIndex, Step};
use serde::Serialize;

/// A decision of a group member, as logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, strum::IntoStaticStr)]
#[serde(tag = "decision", rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GroupDecision {
    /// This companion claims the group.
    Claim {
        /// Offset of the claim to be replaced; 0 if there is none.
        base: u64,
        /// Why the companion claims.
        reason: ClaimReason,
    },
    /// A new claim is current, of another companion or of this one.
    Holder {
        /// The claim's fencing number.
        fence: Fence,
        /// The holder's instance.
        instance: InstanceId,
    },
    /// This companion steps down as decider.
    StandDown {
        /// The fencing number under which it decided.
        fence: Fence,
    },
    /// The decider starts a generation, which all ranks have to join.
    Form {
        /// The generation.
        generation: Generation,
        /// Why the decider starts it.
        reason: FormReason,
    },
    /// All ranks have joined and hold the map; the first steps are granted.
    Run {
        /// The generation.
        generation: Generation,
        /// The first step.
        from: Step,
        /// The map.
        map: MapVersion,
    },
    /// The decider starts to send a new map to all ranks.
    Stage {
        /// The map.
        map: MapVersion,
        /// Size of the encoded map.
        bytes: usize,
    },
    /// All ranks hold the new map; the decider schedules the switch to it.
    Switch {
        /// The new map.
        map: MapVersion,
        /// The first step with it.
        from: Step,
    },
    /// An attach is refused because another engine has joined as that rank.
    RankOccupied {
        /// The rank.
        rank: RankIndex,
    },
    /// A gate drops an order of a superseded decider before sending it.
    DropOrder {
        /// The order's fencing number.
        fence: Fence,
        /// The lowest fencing number that the gate accepts.
        lowest: Fence,
    },
    /// An order is completed.
    OrderDone {
        /// The rank.
        rank: RankIndex,
        /// The order's number.
        number: u32,
        /// Whether the order took effect.
        effective: bool,
    },
}

/// Why a companion claims its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimReason {
    /// The group has no claim.
    Unclaimed,
    /// The holder has been silent for the suspicion timeout.
    HolderSilent,
    /// The holder is an earlier process of this instance.
    OwnPredecessor,
    /// This companion holds the claim, and its record has reached the renewal age.
    Renewal,
}

/// Why a decider starts a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FormReason {
    /// The decider has just taken over.
    Takeover,
    /// A rank's engine was replaced or has left the generation.
    RankReplaced,
}

//! Coordinates the ranks of a group so that all use the same expert map in
//! every step.
//!
//! The ranks of a group are engines that run each step together. An engine runs
//! only steps that the group's decider has granted.
//!
//! The companion that holds the accepted claim on the platform's log is the
//! group's [`Decider`]; the claim's offset is its fencing number. It grants
//! steps, each with its map, to the [`RankGate`]s of all ranks. A
//! [`GroupMember`] combines both with the fold of the [`Claims`] and the failure
//! detection of a [`Claimant`]. Nothing here does I/O or reads a clock.

mod claimant;
mod claims;
mod decider;
mod decision;
mod engine;
mod event;
mod gate;
mod map_source;
mod member;
mod output;
mod rank_view;
mod schedule;

pub use claimant::{ClaimLimits, Claimant};
pub use claims::{Claim, ClaimRecord, ClaimVerdict, Claims, claims_stream};
pub use decider::{Decider, DeciderLimits};
pub use decision::{ClaimReason, FormReason, GroupDecision};
pub use engine::{EngineCall, EngineReply, NoEngineReply};
pub use event::{ClaimEntry, MemberEffect, MemberEvent};
pub use gate::RankGate;
pub use map_source::{FixedMap, MapSource, PeriodicMaps};
pub use member::{GroupMember, MakeMapSource, MemberSettings};
pub use output::{Output, Peer, PeerLink};
pub use schedule::Schedule;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        ClaimEntry, ClaimLimits, ClaimRecord, Claims, Decider, DeciderLimits, EngineCall,
        EngineReply, GroupDecision, GroupMember, MapSource, MemberEffect, MemberEvent,
        MemberSettings, NoEngineReply, PeerLink, PeriodicMaps, RankGate,
    };
}

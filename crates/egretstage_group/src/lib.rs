//! Lets all ranks of a group use one expert map in every step.
//!
//! The companion whose claim on the platform's log holds is the group's
//! [`Decider`]; the claim's offset is its fencing number. It grants steps, each
//! with its map, to the [`RankGate`]s of all ranks. A [`GroupMember`] joins
//! both with the fold of the [`Claims`] and the suspicion of a [`Claimant`].
//! Nothing here does I/O or reads a clock.

mod claimant;
mod claims;
mod decider;
mod engine;
mod event;
mod gate;
mod line;
mod map_source;
mod member;
mod output;
mod schedule;
mod seat;

pub use claimant::{ClaimLimits, Claimant};
pub use claims::{Claim, ClaimRecord, ClaimVerdict, Claims, claims_stream};
pub use decider::{Decider, DeciderLimits};
pub use engine::{EngineCall, EngineReply, NoEngineReply};
pub use event::{ClaimEntry, MemberEffect, MemberEvent};
pub use gate::RankGate;
pub use line::{ClaimReason, FormReason, GroupDecision};
pub use map_source::{FixedMap, MapSource, PeriodicMaps};
pub use member::{GroupMember, MakeMapSource, MemberSettings};
pub use output::{Output, Peer, PeerLink};
pub use schedule::Schedule;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        ClaimEntry, ClaimLimits, ClaimRecord, Claims, Decider, DeciderLimits, EngineCall,
        EngineReply, GroupDecision, GroupMember, MapSource, MemberEffect, MemberEvent,
        MemberSettings, NoEngineReply, PeerLink, PeriodicMaps, RankGate,
    };
}

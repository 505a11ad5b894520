//! Switches the expert maps of groups whose engines make their own passes.
//!
//! The engines of a group, its ranks, make each pass together. The expert map
//! says which experts each rank holds in each layer. An engine of such a group
//! starts passes without waiting for a grant. It takes orders to copy the
//! experts of the next map, to switch to that map at a pass, and to hold the
//! group before a pass. An order may be lost, or carried out seconds late.
//! Still, no pass may begin while two ranks have different maps.
//!
//! One companion of the group decides: the one whose claim in the platform's
//! store has the highest fencing number. A [`PassMember`] runs beside each
//! rank. That of the deciding companion owns a [`MapDecider`], which builds its
//! knowledge from the ranks' reports alone, so any other companion can take
//! over at any time.
//!
//! The steps of a switch keep the maps equal, whatever is lost or late:
//!
//! 1. All ranks prepare the map. Copies change nothing that is in use.
//! 2. A rank other than the decider's holds the group before a pass.
//! 3. All ranks are armed for that pass and report so; the decider's rank is last.
//! 4. The hold is released.
//!
//! If the decider's whole instance is suspended after step 2, another companion
//! takes over and rolls the switch back: as long as some other rank isn't
//! armed, the unreachable rank isn't armed either. Only between the arming of
//! the decider's rank and step 4 does the group stall for as long as the
//! decider's instance is suspended.
//!
//! Nothing here does I/O or reads a clock.

mod claim;
mod decider;
mod demand;
mod engine;
mod group_demand;
mod map_changes;
mod member;
mod message;
mod packed;
mod silence;

pub use claim::DeciderClaim;
pub use decider::{DeciderEffect, DeciderLimits, MapDecider, OrderRoute, UnchangedState};
pub use demand::{CountWindow, LayerSlice, RecentLoads};
pub use engine::{
    EngineCounts, EngineReport, ExpertLists, FencedChanges, FencedOrder, GroupShape, OrderEnd,
    PassOrder,
};
pub use group_demand::GroupDemand;
pub use map_changes::{ExpertsByRank, KnownMaps, MapChanges};
pub use member::{
    MemberEffect, MemberEvent, MemberLimits, MemberSettings, PassLogEntry, PassMember,
};
pub use message::{PassMessage, RankAddress, RankAddresses, RankState};
pub use silence::SilenceLimit;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        EngineReport, FencedOrder, GroupShape, MemberEffect, MemberEvent, MemberSettings, OrderEnd,
        PassMember, PassMessage, PassOrder, RankState,
    };
}

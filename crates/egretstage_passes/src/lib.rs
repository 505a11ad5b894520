//! Changes the expert maps of groups whose engines make their own passes.
//!
//! These engines step without being granted steps; they take orders to copy
//! experts for a next map, to switch to it at a pass, and to hold the group
//! before a pass. An order may be lost, or carried out seconds late. Still no
//! pass may begin while two ranks have different maps.
//!
//! One companion of the group decides: its claim in the platform's store
//! carries the highest fencing number. A [`PassMember`] runs beside each rank;
//! the one that decides holds a [`MapDecider`], whose knowledge is rebuilt
//! from the ranks' reports alone, so any other can take over at any moment.
//!
//! The order of a switch keeps the maps equal, whatever is lost or late:
//!
//! 1. all ranks prepare the map: copies change nothing that is in use;
//! 2. another rank than the decider's holds the group before a pass;
//! 3. all ranks are armed for that pass, and say so: the decider's rank last;
//! 4. the hold is released.
//!
//! A decider whose whole instance stands still after 2 is replaced, and its
//! successor takes the switch back: as long as another rank isn't armed, the
//! rank that it can't reach isn't either. Only between the arming of the
//! decider's rank and 4 a group stands with the instance of its decider.
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

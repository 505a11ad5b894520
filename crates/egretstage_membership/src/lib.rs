//! Chooses which runners an entry keeps links to.
//!
//! Each entry takes, for each service, the runners that score highest in a
//! rendezvous hash of the entry and the runner. It needs no agreement with
//! other entries: a runner that goes is replaced only where it was held, and
//! an entry that goes changes no other entry's choice.

mod entry_counts;
mod subset;

pub use entry_counts::{EntryCounts, UpstreamInstance};
pub use subset::{EntrySeed, SubsetPolicy, choose_subset};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{EntryCounts, EntrySeed, SubsetPolicy, UpstreamInstance, choose_subset};
}

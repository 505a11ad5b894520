//! Chooses the upstreams that an entry keeps links to.
//!
//! For each service, an entry takes the upstreams with the highest rendezvous
//! hash of entry and upstream. Entries needn't coordinate: when an upstream
//! leaves, only the entries that held it choose a replacement, and when an
//! entry leaves, the others give up none of theirs.

mod entry_counts;
mod subset;

pub use entry_counts::{EntryCounts, UpstreamInstance};
pub use subset::{EntrySeed, SubsetPolicy, choose_subset};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{EntryCounts, EntrySeed, SubsetPolicy, UpstreamInstance, choose_subset};
}

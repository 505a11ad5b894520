//! Chooses which runners an entry keeps links to.
//!
//! Each entry takes, for each service, the runners that score highest in a
//! rendezvous hash of the entry and the runner. It needs no agreement with
//! other entries: a runner that goes is replaced only where it was held, and
//! an entry that goes changes no other entry's choice.

mod census;
mod subset;

pub use census::{Census, SeatedRunner};
pub use subset::{EntrySeed, SubsetPolicy, choose};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{Census, EntrySeed, SeatedRunner, SubsetPolicy, choose};
}

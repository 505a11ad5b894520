//! The companion beside a rank whose engine makes its own passes.
//!
//! The I/O around a [`PassMember`](egretstage_passes::PassMember): the engine's
//! reports and orders, datagrams between the companions of the group, and
//! claims in the platform's store. How an engine is spoken to is a matter of
//! the [`PassEngine`] of a platform.

mod claims;
pub mod daemon;
mod datagrams;
mod engine;
mod settings;

pub use engine::PassEngine;
pub use settings::{LinkRate, LinkRateError, RankCompanionSettings};

use egretstage_gateway::RecordDecoder;
use egretstage_platform::KeyedStore;
use std::sync::Arc;

/// Everything that a companion needs of a platform.
pub struct RankPlatform {
    /// Engines; one client for each thread that calls them.
    pub new_engine: Box<dyn Fn() -> Box<dyn PassEngine>>,
    /// Records of the store.
    pub decoder: Arc<dyn RecordDecoder>,
    /// The store; one client for each thread that calls it.
    pub new_store: Box<dyn Fn() -> Box<dyn KeyedStore>>,
}

impl std::fmt::Debug for RankPlatform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RankPlatform").finish_non_exhaustive()
    }
}

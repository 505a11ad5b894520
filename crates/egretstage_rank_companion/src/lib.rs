//! The companion beside a rank whose engine makes its own passes.
//!
//! It performs the I/O around a [`PassMember`](egretstage_passes::PassMember): the
//! engine's reports and orders, datagrams between the companions of the group,
//! and claims in the platform's store. The [`PassEngine`] of a platform defines
//! the protocol with the engines.

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

/// The clients and the decoder that a companion needs from a platform.
pub struct RankPlatform {
    /// Makes a client of the engines; each thread that calls them uses its own.
    pub new_engine: Box<dyn Fn() -> Box<dyn PassEngine>>,
    /// Decodes the records of the store.
    pub decoder: Arc<dyn RecordDecoder>,
    /// Makes a client of the store; each thread that calls it uses its own.
    pub new_store: Box<dyn Fn() -> Box<dyn KeyedStore>>,
}

impl std::fmt::Debug for RankPlatform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RankPlatform").finish_non_exhaustive()
    }
}

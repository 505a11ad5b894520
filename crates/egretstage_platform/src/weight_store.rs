//! The platform's rate-limited weight store.
//!
//! The published protocol: `POST /transfers` asks for expert weights to be
//! copied to a rank and answers when the copy is done, or with status 429
//! when the store's rate is used up.

use crate::{PlatformError, http};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A copy of expert weights to one rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightTransfer {
    /// The model group.
    pub group: CompactString,
    /// Position of the layer.
    pub layer: u16,
    /// The rank that receives the weights.
    pub rank: u16,
    /// The expert.
    pub expert: u16,
    /// Size in bytes.
    pub bytes: u64,
}

/// The answer to a finished transfer.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Transferred {}

/// The platform's weight store.
pub trait WeightStore: Send + Sync {
    /// Copies weights and returns when they are in place.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Refused`] with status 429 when the store's
    /// rate is used up.
    fn transfer(&self, transfer: &WeightTransfer) -> Result<(), PlatformError>;
}

/// The store over HTTP.
#[derive(Debug)]
pub struct HttpWeightStore {
    agent: ureq::Agent,
    url: String,
}

impl HttpWeightStore {
    /// Uses the store at a base URL.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            agent: http::agent(),
            url: format!("{}/transfers", base.trim_end_matches('/')),
        }
    }
}

impl WeightStore for HttpWeightStore {
    fn transfer(&self, transfer: &WeightTransfer) -> Result<(), PlatformError> {
        http::post(&self.agent, &self.url, transfer).map(|Transferred {}| ())
    }
}

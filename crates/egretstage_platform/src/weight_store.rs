//! A client of the platform's rate-limited weight store.
//!
//! The published protocol: `POST /transfers` copies expert weights to a rank. It
//! returns when the copy is done, or with status 429 when the rate limit is
//! reached.

use crate::{PlatformError, http};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A copy of one expert's weights to a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightTransfer {
    /// The model group.
    pub group: CompactString,
    /// Index of the layer.
    pub layer: u16,
    /// The rank that receives the weights.
    pub rank: u16,
    /// The expert.
    pub expert: u16,
    /// Size in bytes.
    pub bytes: u64,
}

/// The body of the answer to a finished transfer.
#[derive(Clone, Copy, Debug, Deserialize)]
struct TransferAnswer {}

/// The platform's weight store.
pub trait WeightStore: Send + Sync {
    /// Copies weights and returns when the copy is done.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Refused`] with status 429 when the store's rate
    /// limit is reached.
    fn transfer(&self, transfer: &WeightTransfer) -> Result<(), PlatformError>;
}

/// A client of the weight store over HTTP.
#[derive(Debug)]
pub struct HttpWeightStore {
    agent: ureq::Agent,
    url: String,
}

impl HttpWeightStore {
    /// Creates a client of the weight store at a base URL.
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
        http::post(&self.agent, &self.url, transfer).map(|TransferAnswer {}| ())
    }
}

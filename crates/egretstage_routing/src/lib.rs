//! Chooses an upstream for each request, limits retries and shares upstreams
//! fairly.
//!
//! This crate does no I/O and reads no clock. An entry keeps an
//! [`UpstreamTracker`] for each upstream and turns it into a [`Candidate`]. A
//! [`RoutingPolicy`] compares the candidates and returns a [`Choice`] with its
//! reason. A companion orders waiting calls in a [`FairQueue`] and measures its
//! upstream with an [`UpstreamMeter`].

mod admission;
mod baselines;
mod cache_index;
mod candidate;
mod ejection;
mod estimate;
mod fair_queue;
mod fingerprint;
mod health;
mod meter;
mod peer_means;
mod policy;
mod predicted_first_token;
mod prediction;
mod retry_budget;
mod tracker;

pub use admission::{AdmissionRefusal, admit, expected_cost_us};
pub use baselines::{LeastLoaded, PowerOfTwo, RandomChoice, RoundRobin};
pub use cache_index::CacheIndex;
pub use candidate::{Candidate, Choice, Demand, RouteReason};
pub use ejection::{EjectionLimits, OutlierDetector, max_ejected};
pub use estimate::{Ewma, OutputLengthEstimate};
pub use fair_queue::{FairQueue, Flow};
pub use fingerprint::{
    BLOCK_BYTES, BLOCK_TOKENS, BlockHash, MAX_BLOCKS, PrefixFingerprint, hash_block,
};
pub use health::{CallResult, Health};
pub use meter::UpstreamMeter;
pub use peer_means::blend_with_peer_means;
pub use policy::RoutingPolicy;
pub use predicted_first_token::{PredictedFirstToken, PredictedFirstTokenParams};
pub use prediction::Prediction;
pub use retry_budget::{RetryBudget, RetryLimits};
pub use tracker::{InFlightCall, UpstreamTracker};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        CallResult, Candidate, Choice, Demand, FairQueue, OutlierDetector, PredictedFirstToken,
        Prediction, PrefixFingerprint, RetryBudget, RouteReason, RoutingPolicy, UpstreamMeter,
        UpstreamTracker,
    };
}

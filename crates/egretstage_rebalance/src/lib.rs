//! Keeps the experts of a model group evenly loaded, on the companion that
//! decides for it.
//!
//! A [`Rebalancer`] takes in measured expert loads, forecasts them, asks the
//! planner for what pays, and has the moves carried out in small batches. It
//! offers each new map to the decider, which lets all ranks switch to it in
//! one step. Nothing here does I/O or reads a clock.

mod encoding;
mod event;
mod rebalancer;
mod settings;

pub use encoding::{InvalidMapBytes, decode_map, encode_map};
pub use event::{
    LayerLoads, OfferId, RebalanceAction, RebalanceDecision, RebalanceEffect, RebalanceEvent,
};
pub use rebalancer::Rebalancer;
pub use settings::RebalanceSettings;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        LayerLoads, OfferId, RebalanceAction, RebalanceDecision, RebalanceEffect, RebalanceEvent,
        RebalanceSettings, Rebalancer, decode_map, encode_map,
    };
}

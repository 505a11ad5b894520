//! Balances the load of the experts of a model group, on the companion that is
//! the group's decider.
//!
//! A [`Rebalancer`] receives measured expert loads, forecasts them, plans the
//! moves that are worth their cost, and has them executed in small batches. It
//! offers each new map to the decider, which switches all ranks to it in the
//! same step. Nothing here does I/O or reads a clock.

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

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        LayerLoads, OfferId, RebalanceAction, RebalanceDecision, RebalanceEffect, RebalanceEvent,
        RebalanceSettings, Rebalancer, decode_map, encode_map,
    };
}

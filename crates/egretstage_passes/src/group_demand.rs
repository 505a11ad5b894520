//! The demand for experts of a whole group.
//!
//! Load pattern: the counts of 64 ranks take hundreds of kilobytes a round, as
//! much as the decider's link carries in a second, while demand shifts every
//! two or three seconds. So each rank reports a few layers at a time, different
//! ranks report different layers, and each layer is planned from the ranks that
//! reported it last: a fresh sample of the group's streams instead of stale
//! counts of all.

use crate::RecentLoads;
use std::time::{Duration, Instant};

/// The loads of one layer at one rank.
#[derive(Clone, Debug)]
struct LayerLoads {
    at: Instant,
    loads: Vec<f32>,
}

/// The newest loads of each rank and layer.
#[derive(Clone, Debug)]
pub struct GroupDemand {
    layers: usize,
    experts: usize,
    /// The latest loads, by rank, then by layer.
    latest: Vec<Option<LayerLoads>>,
}

impl GroupDemand {
    /// Creates the demand of a group without any loads.
    #[must_use]
    pub fn new(ranks: u16, layers: u16, experts: u16) -> Self {
        let (ranks, layers) = (usize::from(ranks), usize::from(layers));
        Self {
            layers,
            experts: usize::from(experts),
            latest: vec![None; ranks * layers],
        }
    }

    /// Updates the loads of the layers that a rank reports.
    pub fn update(&mut self, now: Instant, rank: u16, recent: &RecentLoads) {
        for (layer, loads) in recent.by_layer(self.experts) {
            let index = usize::from(rank) * self.layers + layer;
            if layer < self.layers
                && let Some(latest) = self.latest.get_mut(index)
            {
                *latest = Some(LayerLoads { at: now, loads });
            }
        }
    }

    /// Returns the load of each expert, by layer, summed over the ranks that
    /// reported it within `max_age`.
    #[must_use]
    pub fn loads(&self, now: Instant, max_age: Duration) -> Vec<Vec<f64>> {
        let mut sums = vec![vec![0.0; self.experts]; self.layers];
        for (index, latest) in self.latest.iter().enumerate() {
            let Some(latest) = latest else { continue };
            if now.saturating_duration_since(latest.at) > max_age {
                continue;
            }
            let sum = &mut sums[index % self.layers];
            for (sum, load) in sum.iter_mut().zip(&latest.loads) {
                *sum += f64::from(*load);
            }
        }
        sums
    }
}

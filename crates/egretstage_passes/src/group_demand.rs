//! What experts the requests of a whole group choose.
//!
//! Load pattern: the counts of 64 ranks take hundreds of kilobytes a round,
//! and the decider's link bears that much in a second, while the demand shifts
//! every two or three. So a rank tells a few layers at a time, other ranks tell
//! others, and each layer is planned from the ranks that told it last: a
//! sample of the group's streams that is fresh instead of all that are stale.

use crate::RecentLoads;
use std::time::{Duration, Instant};

/// The loads of one layer at one rank.
#[derive(Clone, Debug)]
struct Told {
    at: Instant,
    loads: Vec<f32>,
}

/// The newest loads of each rank and layer.
#[derive(Clone, Debug)]
pub struct GroupDemand {
    layers: usize,
    experts: usize,
    /// By rank, then by layer.
    told: Vec<Option<Told>>,
}

impl GroupDemand {
    /// Starts with nothing told.
    #[must_use]
    pub fn new(ranks: u16, layers: u16, experts: u16) -> Self {
        let (ranks, layers) = (usize::from(ranks), usize::from(layers));
        Self {
            layers,
            experts: usize::from(experts),
            told: vec![None; ranks * layers],
        }
    }

    /// Takes in what a rank tells of some layers.
    pub fn update(&mut self, now: Instant, rank: u16, recent: &RecentLoads) {
        for (layer, loads) in recent.by_layer(self.experts) {
            let index = usize::from(rank) * self.layers + layer;
            if layer < self.layers
                && let Some(told) = self.told.get_mut(index)
            {
                *told = Some(Told { at: now, loads });
            }
        }
    }

    /// Returns the load of each expert, by layer, over the ranks that told it
    /// within a time.
    #[must_use]
    pub fn loads(&self, now: Instant, max_age: Duration) -> Vec<Vec<f64>> {
        let mut sums = vec![vec![0.0; self.experts]; self.layers];
        for (index, told) in self.told.iter().enumerate() {
            let Some(told) = told else { continue };
            if now.saturating_duration_since(told.at) > max_age {
                continue;
            }
            let sum = &mut sums[index % self.layers];
            for (sum, load) in sum.iter_mut().zip(&told.loads) {
                *sum += f64::from(*load);
            }
        }
        sums
    }
}

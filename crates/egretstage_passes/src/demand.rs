//! The demand for experts, from the engines' counts.

use crate::EngineCounts;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Largest scaled load: the largest value of half a byte.
const MAX_SCALED: f32 = 15.0;

/// Every `stride`-th layer from `first` on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayerSlice {
    /// The first layer.
    pub first: u16,
    /// Distance from one layer to the next.
    pub stride: u16,
}

impl LayerSlice {
    /// All layers.
    pub const ALL: Self = Self {
        first: 0,
        stride: 1,
    };

    fn layers(self) -> impl Iterator<Item = usize> {
        (usize::from(self.first)..).step_by(usize::from(self.stride.max(1)))
    }
}

/// How often a rank's requests recently chose each expert of some layers.
///
/// Half a byte for each expert holds the square root of its share of the
/// largest count: planning needs precise loads for the hot experts and rough
/// ones for the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecentLoads {
    slice: LayerSlice,
    /// The largest count.
    #[serde(rename = "most")]
    max_count: f32,
    /// Layer by layer, expert by expert; the lower half of a byte comes first.
    #[serde(with = "serde_bytes")]
    scaled: Vec<u8>,
}

impl RecentLoads {
    /// Scales the counts of the layers in `slice`. `counts` holds all layers,
    /// with `experts` experts each.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "the values are scaled to half a byte"
    )]
    pub fn new(counts: &[u64], experts: u16, slice: LayerSlice) -> Self {
        let layers: Vec<&[u64]> = counts.chunks(usize::from(experts.max(1))).collect();
        let selected = slice.layers().map_while(|layer| layers.get(layer));
        let selected: Vec<u64> = selected.flat_map(|counts| counts.iter().copied()).collect();
        let max_count = selected.iter().copied().max().unwrap_or(0).max(1) as f32;
        let scale = |count: &u64| (MAX_SCALED * (*count as f32 / max_count).sqrt()).round() as u8;
        let halves = selected.chunks(2);
        let byte = |pair: &[u64]| scale(&pair[0]) | pair.get(1).map_or(0, scale) << 4;
        Self {
            slice,
            max_count,
            scaled: halves.map(byte).collect(),
        }
    }

    /// Returns the loads of each layer of the slice, with the layer's number.
    pub fn by_layer(&self, experts: usize) -> impl Iterator<Item = (usize, Vec<f32>)> {
        let halves = self.scaled.iter().flat_map(|byte| [byte & 0xf, byte >> 4]);
        let share = |half: u8| f32::from(half) / MAX_SCALED;
        let loads: Vec<f32> = halves
            .map(|half| share(half).powi(2) * self.max_count)
            .collect();
        let layer_loads: Vec<Vec<f32>> = loads
            .chunks_exact(experts.max(1))
            .map(<[f32]>::to_vec)
            .collect();
        self.slice.layers().zip(layer_loads)
    }
}

/// An engine's counts over a short time.
#[derive(Clone, Debug)]
pub struct CountWindow {
    span: Duration,
    samples: VecDeque<(Instant, EngineCounts)>,
}

impl CountWindow {
    /// Creates an empty window of the given span.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            samples: VecDeque::new(),
        }
    }

    /// Adds a sample. A sample from another start of the engine clears the
    /// window.
    pub fn add(&mut self, now: Instant, counts: EngineCounts) {
        let is_continuation = |(_, last): &(Instant, EngineCounts)| {
            last.epoch == counts.epoch
                && last.counts.len() == counts.counts.len()
                && last.counts.iter().zip(&counts.counts).all(|(a, b)| a <= b)
        };
        if !self.samples.back().is_none_or(is_continuation) {
            self.samples.clear();
        }
        self.samples.push_back((now, counts));
        // One sample older than the span remains as the start of the window.
        while self
            .samples
            .get(1)
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) >= self.span)
        {
            self.samples.pop_front();
        }
    }

    /// Returns how often each expert of the layers in `slice` was chosen within
    /// the window, or none if no expert of any layer was chosen.
    #[must_use]
    pub fn recent(&self, experts: u16, slice: LayerSlice) -> Option<RecentLoads> {
        let (_, first) = self.samples.front()?;
        let (_, last) = self.samples.back()?;
        let pairs = last.counts.iter().zip(&first.counts);
        let counts: Vec<u64> = pairs.map(|(last, first)| last - first).collect();
        counts
            .iter()
            .any(|count| *count > 0)
            .then(|| RecentLoads::new(&counts, experts, slice))
    }
}

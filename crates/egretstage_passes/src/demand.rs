//! What experts are in demand, from the engines' counts.

use crate::EngineCounts;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Largest value of a scaled load.
const FULL_SCALE: f64 = 255.0;

/// How often a rank's requests chose each expert of late, in one byte each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecentLoads {
    /// Choices for each step of the scale.
    pub scale: f32,
    /// Layer by layer, expert by expert.
    #[serde(with = "serde_bytes")]
    pub scaled: Vec<u8>,
}

impl RecentLoads {
    /// Scales counts to bytes.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "the values are scaled to a byte"
    )]
    pub fn new(counts: &[u64]) -> Self {
        let most = counts.iter().copied().max().unwrap_or(0).max(1) as f64;
        let scale = most / FULL_SCALE;
        Self {
            scale: scale as f32,
            scaled: counts.iter().map(|c| (*c as f64 / scale) as u8).collect(),
        }
    }

    /// Returns the load of each expert.
    pub fn loads(&self) -> impl Iterator<Item = f64> + '_ {
        let scale = f64::from(self.scale);
        self.scaled
            .iter()
            .map(move |value| f64::from(*value) * scale)
    }
}

/// The counts of a short time.
#[derive(Clone, Debug)]
pub struct CountWindow {
    span: Duration,
    samples: VecDeque<(Instant, EngineCounts)>,
}

impl CountWindow {
    /// Looks back over a span.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            samples: VecDeque::new(),
        }
    }

    /// Adds a sample; one of another start of the engine clears the window.
    pub fn add(&mut self, now: Instant, counts: EngineCounts) {
        let same = |(_, last): &(Instant, EngineCounts)| {
            last.epoch == counts.epoch
                && last.counts.len() == counts.counts.len()
                && last.counts.iter().zip(&counts.counts).all(|(a, b)| a <= b)
        };
        if !self.samples.back().is_none_or(same) {
            self.samples.clear();
        }
        self.samples.push_back((now, counts));
        // One sample older than the span stays as the start of the window.
        while self
            .samples
            .get(1)
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) >= self.span)
        {
            self.samples.pop_front();
        }
    }

    /// Returns what was chosen in the window, if anything was.
    #[must_use]
    pub fn recent(&self) -> Option<RecentLoads> {
        let (_, first) = self.samples.front()?;
        let (_, last) = self.samples.back()?;
        let pairs = last.counts.iter().zip(&first.counts);
        let counts: Vec<u64> = pairs.map(|(last, first)| last - first).collect();
        counts
            .iter()
            .any(|count| *count > 0)
            .then(|| RecentLoads::new(&counts))
    }
}

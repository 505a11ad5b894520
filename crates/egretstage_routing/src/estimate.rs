//! Exponential estimates.

/// An exponentially weighted mean.
#[derive(Clone, Copy, Debug)]
pub struct Ewma {
    weight: f32,
    value: Option<f32>,
}

impl Ewma {
    /// Creates a mean without samples; `weight` is that of the newest sample.
    #[must_use]
    pub fn new(weight: f32) -> Self {
        Self {
            weight,
            value: None,
        }
    }

    /// Adds a sample; a sample that isn't finite is ignored.
    pub fn add(&mut self, sample: f32) {
        self.add_weighted(sample, self.weight);
    }

    /// Adds a sample with a weight of its own.
    pub fn add_weighted(&mut self, sample: f32, weight: f32) {
        if sample.is_finite() {
            let old = self.value.unwrap_or(sample);
            self.value = Some(old + weight.clamp(0.0, 1.0) * (sample - old));
        }
    }

    /// Returns the mean, if there was a sample.
    #[must_use]
    pub fn get(&self) -> Option<f32> {
        self.value
    }
}

/// Weight of the newest answer in the estimate of output tokens.
const OUTPUT_WEIGHT: f32 = 0.05;

/// Deviations above the mean that about 95 in 100 answers stay below.
const LIKELY_DEVIATIONS: f32 = 1.65;

/// Estimates how many of the tokens that callers allow are generated.
#[derive(Clone, Copy, Debug)]
pub struct OutputLengthEstimate {
    share: Ewma,
    variance: Ewma,
}

impl Default for OutputLengthEstimate {
    fn default() -> Self {
        Self {
            share: Ewma::new(OUTPUT_WEIGHT),
            variance: Ewma::new(OUTPUT_WEIGHT),
        }
    }
}

impl OutputLengthEstimate {
    /// Notes a whole answer.
    pub fn record_completed(&mut self, tokens: u32, max_tokens: u32) {
        if max_tokens > 0 {
            let share = to_f32(tokens.min(max_tokens)) / to_f32(max_tokens);
            let off = share - self.share.get().unwrap_or(share);
            self.variance.add(off * off);
            self.share.add(share);
        }
    }

    /// Returns the tokens that an answer is unlikely to exceed; all, as long as
    /// none was seen.
    #[must_use]
    pub fn likely_max_tokens(&self, max_tokens: u32) -> u32 {
        let (Some(share), Some(variance)) = (self.share.get(), self.variance.get()) else {
            return max_tokens;
        };
        let most = share + LIKELY_DEVIATIONS * variance.sqrt();
        to_u32(to_f32(max_tokens) * most.min(1.0))
    }
}

/// Converts a count, which loses precision only far above real counts.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^24")]
pub(crate) fn to_f32(count: u32) -> f32 {
    count as f32
}

/// Rounds up to a count, saturating at the ends.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub(crate) fn to_u32(value: f32) -> u32 {
    value.ceil() as u32
}

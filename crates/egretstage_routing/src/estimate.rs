//! Exponentially weighted estimates.

/// An exponentially weighted mean.
#[derive(Clone, Copy, Debug)]
pub struct Ewma {
    weight: f32,
    value: Option<f32>,
}

impl Ewma {
    /// Creates a mean without samples; `weight` (0 to 1) is that of each new
    /// sample.
    #[must_use]
    pub fn new(weight: f32) -> Self {
        Self {
            weight,
            value: None,
        }
    }

    /// Adds a sample; ignores it if it isn't finite.
    pub fn add(&mut self, sample: f32) {
        self.add_weighted(sample, self.weight);
    }

    /// Adds a sample with its own weight, clamped to 0 to 1.
    pub fn add_weighted(&mut self, sample: f32, weight: f32) {
        if sample.is_finite() {
            let old = self.value.unwrap_or(sample);
            self.value = Some(old + weight.clamp(0.0, 1.0) * (sample - old));
        }
    }

    /// Returns the mean, or `None` without samples.
    #[must_use]
    pub fn get(&self) -> Option<f32> {
        self.value
    }
}

/// Weight of the newest answer in the estimate of output tokens.
const OUTPUT_WEIGHT: f32 = 0.05;

/// Number of standard deviations above the mean that about 95 in 100 answers stay
/// below.
const P95_DEVIATIONS: f32 = 1.65;

/// Estimates the length of answers, as a share of the tokens that callers allow.
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
    /// Records the tokens of a complete answer and the caller's limit.
    pub fn record_completed(&mut self, tokens: u32, max_tokens: u32) {
        if max_tokens > 0 {
            let share = to_f32(tokens.min(max_tokens)) / to_f32(max_tokens);
            let deviation = share - self.share.get().unwrap_or(share);
            self.variance.add(deviation * deviation);
            self.share.add(share);
        }
    }

    /// Returns the number of tokens that about 95 in 100 answers don't exceed, or
    /// `max_tokens` before the first answer.
    #[must_use]
    pub fn likely_max_tokens(&self, max_tokens: u32) -> u32 {
        let (Some(share), Some(variance)) = (self.share.get(), self.variance.get()) else {
            return max_tokens;
        };
        let likely_max_share = share + P95_DEVIATIONS * variance.sqrt();
        to_u32(to_f32(max_tokens) * likely_max_share.min(1.0))
    }
}

/// Converts a count; real counts are far below 2^24, where precision is lost.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^24")]
pub(crate) fn to_f32(count: u32) -> f32 {
    count as f32
}

/// Rounds up to a count, saturating at 0 and `u32::MAX`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub(crate) fn to_u32(value: f32) -> u32 {
    value.ceil() as u32
}

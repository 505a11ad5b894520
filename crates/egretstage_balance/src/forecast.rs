//! Forecasts the load of each expert from measured loads.

use std::time::Duration;

/// Smallest load that a forecast works with, as a part of the mean.
const FLOOR: f64 = 1e-6;

/// Weight of the past, each measurement, in the estimates of drift and error.
const VARIANCE_KEEP: f64 = 0.98;

/// Standard deviations above which a change counts as a jump.
const JUMP_DEVIATIONS: f64 = 4.0;

/// Forecasts the load of each expert.
///
/// Loads are filtered in the logarithm, because they spread over orders of
/// magnitude. How far a measurement is believed follows from the drift and
/// the measurement error seen so far (a Kalman filter for a random walk); a
/// jump is believed at once. A forecast over a time shrinks each expert
/// toward its long-run mean, which hedges against drift.
#[derive(Clone, Debug)]
pub struct LoadForecast {
    relaxation: Duration,
    noise: NoiseEstimate,
    recent: Vec<f64>,
    long_run: Vec<f64>,
}

impl LoadForecast {
    /// Starts a forecast.
    ///
    /// `relaxation` is the time in which a deviation from the long-run mean
    /// fades by a factor of e.
    #[must_use]
    pub fn new(relaxation: Duration) -> Self {
        Self {
            relaxation,
            noise: NoiseEstimate::default(),
            recent: Vec::new(),
            long_run: Vec::new(),
        }
    }

    /// Takes in the loads measured over an interval.
    pub fn observe(&mut self, interval: Duration, loads: &[f64]) {
        let logs = normalised_logs(loads);
        if self.recent.len() != logs.len() {
            self.recent.clone_from(&logs);
            self.long_run = vec![0.0; logs.len()];
            self.noise = NoiseEstimate::default();
        }
        self.noise.observe(&logs);
        let gain = self.noise.gain();
        let jump = JUMP_DEVIATIONS * self.noise.innovation_deviation();
        for (recent, log) in self.recent.iter_mut().zip(&logs) {
            let change = log - *recent;
            *recent += if change.abs() > jump { 1.0 } else { gain } * change;
        }
        let keep = fade(interval, self.relaxation);
        for (mean, log) in self.long_run.iter_mut().zip(&logs) {
            *mean = *mean * keep + log * (1.0 - keep);
        }
    }

    /// Returns the expected loads after a time, relative to their mean.
    #[must_use]
    pub fn after(&self, ahead: Duration) -> Vec<f64> {
        let keep = fade(ahead, self.relaxation);
        let logs = self.recent.iter().zip(&self.long_run);
        logs.map(|(recent, mean)| (mean + (recent - mean) * keep).exp())
            .collect()
    }
}

/// Tells drift from measurement error.
///
/// The squared change over one measurement holds the drift once and the error
/// twice; over two measurements it holds the drift twice.
#[derive(Clone, Debug, Default)]
struct NoiseEstimate {
    last: Vec<f64>,
    before_last: Vec<f64>,
    change_over_one: WeightedMean,
    change_over_two: WeightedMean,
}

impl NoiseEstimate {
    fn observe(&mut self, logs: &[f64]) {
        self.change_over_one
            .observe(mean_squared_change(&self.last, logs));
        self.change_over_two
            .observe(mean_squared_change(&self.before_last, logs));
        self.before_last = std::mem::replace(&mut self.last, logs.to_vec());
    }

    /// Returns the variance of the drift in one interval.
    fn drift(&self) -> f64 {
        (self.change_over_two.value() - self.change_over_one.value()).max(0.0)
    }

    /// Returns the variance of the measurement error.
    fn error(&self) -> f64 {
        let error = self.change_over_one.value() - self.change_over_two.value() / 2.0;
        error.max(f64::MIN_POSITIVE)
    }

    /// Returns the filter's variance before a measurement, in units of the
    /// measurement error.
    fn prior(&self) -> f64 {
        let ratio = self.drift() / self.error();
        f64::midpoint(ratio, (ratio * ratio + 4.0 * ratio).sqrt())
    }

    /// Returns how far a measurement is believed, 0 to 1.
    fn gain(&self) -> f64 {
        let prior = self.prior();
        if prior.is_finite() {
            prior / (prior + 1.0)
        } else {
            1.0
        }
    }

    fn innovation_deviation(&self) -> f64 {
        let variance = (self.prior() + 1.0) * self.error();
        variance.max(self.change_over_one.value()).sqrt()
    }
}

/// A mean in which older values weigh less.
#[derive(Clone, Copy, Debug, Default)]
struct WeightedMean {
    sum: f64,
    weight: f64,
}

impl WeightedMean {
    fn observe(&mut self, value: Option<f64>) {
        if let Some(value) = value {
            self.sum = self.sum * VARIANCE_KEEP + value;
            self.weight = self.weight * VARIANCE_KEEP + 1.0;
        }
    }

    fn value(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }
}

/// Returns none unless both lists have the same experts.
#[expect(clippy::cast_precision_loss, reason = "a layer has few experts")]
fn mean_squared_change(before: &[f64], after: &[f64]) -> Option<f64> {
    if before.is_empty() || before.len() != after.len() {
        return None;
    }
    let changes = before.iter().zip(after).map(|(b, a)| (a - b) * (a - b));
    Some(changes.sum::<f64>() / before.len() as f64)
}

/// Returns the part of a deviation that is left after a time.
fn fade(after: Duration, constant: Duration) -> f64 {
    if constant.is_zero() {
        return 0.0;
    }
    (-after.as_secs_f64() / constant.as_secs_f64()).exp()
}

#[expect(clippy::cast_precision_loss, reason = "a layer has few experts")]
fn normalised_logs(loads: &[f64]) -> Vec<f64> {
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let mean = if mean > 0.0 { mean } else { 1.0 };
    let log = |load: &f64| (load / mean).max(FLOOR).ln();
    loads.iter().map(log).collect()
}

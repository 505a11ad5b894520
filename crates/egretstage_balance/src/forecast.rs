//! Forecasts the loads of experts from measured loads.

use std::time::Duration;

/// Minimum load in a forecast, as a fraction of the mean; its logarithm has to
/// be finite.
const MIN_RELATIVE_LOAD: f64 = 1e-6;

/// Factor by which each measurement decays the weight of earlier ones in the
/// estimates of drift and measurement error.
const VARIANCE_DECAY: f64 = 0.98;

/// Number of standard deviations above which a change counts as a jump.
const JUMP_DEVIATIONS: f64 = 4.0;

/// Forecasts the load of each expert.
///
/// The filter works on the logarithms of the loads, because loads spread over
/// orders of magnitude. It is a Kalman filter for a random walk, whose gain
/// follows from the estimated drift and measurement error; a jump is adopted at
/// once. A forecast shrinks each expert toward its long-run mean, which hedges
/// against drift.
#[derive(Clone, Debug)]
pub struct LoadForecast {
    relaxation: Duration,
    noise: NoiseEstimate,
    /// Filtered logarithm of each expert's relative load.
    recent: Vec<f64>,
    /// Long-run mean of the logarithm of each expert's relative load.
    long_run: Vec<f64>,
}

impl LoadForecast {
    /// Creates a forecast without measurements.
    ///
    /// `relaxation` is the time in which a deviation from the long-run mean
    /// decays by a factor of e.
    #[must_use]
    pub fn new(relaxation: Duration) -> Self {
        Self {
            relaxation,
            noise: NoiseEstimate::default(),
            recent: Vec::new(),
            long_run: Vec::new(),
        }
    }

    /// Updates the forecast with the loads measured over an interval.
    ///
    /// A change in the number of experts restarts the forecast.
    pub fn observe(&mut self, interval: Duration, loads: &[f64]) {
        let logs = normalised_logs(loads);
        if self.recent.len() != logs.len() {
            self.recent.clone_from(&logs);
            self.long_run = vec![0.0; logs.len()];
            self.noise = NoiseEstimate::default();
        }
        self.noise.observe(&logs);
        let gain = self.noise.gain();
        let jump_threshold = JUMP_DEVIATIONS * self.noise.innovation_deviation();
        for (recent, log) in self.recent.iter_mut().zip(&logs) {
            let change = log - *recent;
            *recent += if change.abs() > jump_threshold {
                1.0
            } else {
                gain
            } * change;
        }
        let retained = remaining_deviation(interval, self.relaxation);
        for (mean, log) in self.long_run.iter_mut().zip(&logs) {
            *mean = *mean * retained + log * (1.0 - retained);
        }
    }

    /// Returns the forecast loads `ahead` from now, relative to their mean.
    #[must_use]
    pub fn after(&self, ahead: Duration) -> Vec<f64> {
        let retained = remaining_deviation(ahead, self.relaxation);
        let logs = self.recent.iter().zip(&self.long_run);
        logs.map(|(recent, mean)| (mean + (recent - mean) * retained).exp())
            .collect()
    }
}

/// Estimates the variances of drift and measurement error separately.
///
/// The mean squared change over one measurement is the drift variance plus
/// twice the error variance; over two measurements, the drift variance counts
/// twice.
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

    /// Returns the variance of the drift over one interval.
    fn drift(&self) -> f64 {
        (self.change_over_two.value() - self.change_over_one.value()).max(0.0)
    }

    /// Returns the variance of the measurement error.
    fn error(&self) -> f64 {
        let error = self.change_over_one.value() - self.change_over_two.value() / 2.0;
        error.max(f64::MIN_POSITIVE)
    }

    /// Returns the filter's variance before a measurement, relative to the
    /// variance of the measurement error.
    fn prior(&self) -> f64 {
        let ratio = self.drift() / self.error();
        f64::midpoint(ratio, (ratio * ratio + 4.0 * ratio).sqrt())
    }

    /// Returns the Kalman gain, from 0 to 1.
    fn gain(&self) -> f64 {
        let prior = self.prior();
        if prior.is_finite() {
            prior / (prior + 1.0)
        } else {
            1.0
        }
    }

    /// Returns the standard deviation of the difference between a measurement
    /// and the filtered value.
    fn innovation_deviation(&self) -> f64 {
        let variance = (self.prior() + 1.0) * self.error();
        variance.max(self.change_over_one.value()).sqrt()
    }
}

/// A mean with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct WeightedMean {
    sum: f64,
    weight: f64,
}

impl WeightedMean {
    fn observe(&mut self, value: Option<f64>) {
        if let Some(value) = value {
            self.sum = self.sum * VARIANCE_DECAY + value;
            self.weight = self.weight * VARIANCE_DECAY + 1.0;
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

/// Returns the mean squared change of the experts, or `None` unless both lists
/// have the same nonzero length.
#[expect(clippy::cast_precision_loss, reason = "a layer has few experts")]
fn mean_squared_change(before: &[f64], after: &[f64]) -> Option<f64> {
    if before.is_empty() || before.len() != after.len() {
        return None;
    }
    let changes = before.iter().zip(after).map(|(b, a)| (a - b) * (a - b));
    Some(changes.sum::<f64>() / before.len() as f64)
}

/// Returns the fraction of a deviation that remains after `elapsed`.
fn remaining_deviation(elapsed: Duration, time_constant: Duration) -> f64 {
    if time_constant.is_zero() {
        return 0.0;
    }
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Returns the logarithms of the loads relative to their mean.
#[expect(clippy::cast_precision_loss, reason = "a layer has few experts")]
fn normalised_logs(loads: &[f64]) -> Vec<f64> {
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let mean = if mean > 0.0 { mean } else { 1.0 };
    let log = |load: &f64| (load / mean).max(MIN_RELATIVE_LOAD).ln();
    loads.iter().map(log).collect()
}

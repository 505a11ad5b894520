//! Forecasts the load of each expert from measured loads.

use std::time::Duration;

/// Smallest load that a forecast works with, as a part of the mean.
const FLOOR: f64 = 1e-6;

/// Forecasts the load of each expert.
///
/// Loads are smoothed in the logarithm, because they spread over orders of
/// magnitude. A forecast over a time shrinks each expert toward its long-run
/// mean, which hedges against drift.
#[derive(Clone, Debug)]
pub struct LoadForecast {
    smoothing: Duration,
    relaxation: Duration,
    recent: Vec<f64>,
    long_run: Vec<f64>,
}

impl LoadForecast {
    /// Starts a forecast.
    ///
    /// `smoothing` is the time over which measurements are averaged;
    /// `relaxation` is the time in which a deviation fades by a factor of e.
    #[must_use]
    pub fn new(smoothing: Duration, relaxation: Duration) -> Self {
        Self {
            smoothing,
            relaxation,
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
            return;
        }
        blend(&mut self.recent, &logs, fade(interval, self.smoothing));
        blend(&mut self.long_run, &logs, fade(interval, self.relaxation));
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

/// Returns the part of a deviation that is left after a time.
fn fade(after: Duration, constant: Duration) -> f64 {
    if constant.is_zero() {
        return 0.0;
    }
    (-after.as_secs_f64() / constant.as_secs_f64()).exp()
}

fn blend(average: &mut [f64], logs: &[f64], keep: f64) {
    for (average, log) in average.iter_mut().zip(logs) {
        *average = *average * keep + log * (1.0 - keep);
    }
}

#[expect(clippy::cast_precision_loss, reason = "a layer has few experts")]
fn normalised_logs(loads: &[f64]) -> Vec<f64> {
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let mean = if mean > 0.0 { mean } else { 1.0 };
    let log = |load: &f64| (load / mean).max(FLOOR).ln();
    loads.iter().map(log).collect()
}

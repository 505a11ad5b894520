//! Seeded loads of the experts of one layer, in steps of one minute.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, StandardNormal};
use std::f64::consts::{SQRT_2, TAU};
use strum::{Display, EnumIter};

/// Correlation of the logarithm of a load over 15 minutes.
const QUARTER_HOUR_CORRELATION: f64 = 0.97;

const QUARTER_HOUR_MINUTES: f64 = 15.0;

const DAY_MINUTES: f64 = 1440.0;

/// Share of the variance that follows the daily cycle.
const DAILY_VARIANCE_SHARE: f64 = 0.2;

/// Standard deviation of a measured load, relative to the load.
const RELATIVE_MEASUREMENT_ERROR: f64 = 0.03;

/// Probability that a flash begins in a minute without one.
const FLASH_PROBABILITY_PER_MINUTE: f64 = 1.0 / 120.0;

/// Duration of a flash, in minutes.
const FLASH_MINUTES: u32 = 20;

/// Number of experts whose load a flash raises.
const FLASH_EXPERTS: usize = 3;

/// Factor by which a flash raises a load.
const FLASH_FACTOR: f64 = 4.0;

/// How loads change over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum DemandKind {
    /// Loads stay constant.
    Steady,
    /// Loads drift and follow a daily cycle.
    Drifting,
    /// Loads drift, and now and then a few experts are hot for some minutes.
    Flash,
}

/// A flash in progress.
#[derive(Clone, Debug)]
struct Flash {
    experts: Vec<usize>,
    minutes_left: u32,
}

/// Log-normal loads of a layer's experts.
#[derive(Clone, Debug)]
pub struct ExpertDemand {
    kind: DemandKind,
    sigma: f64,
    rng: ChaCha8Rng,
    drift: Vec<f64>,
    phases: Vec<f64>,
    minute: f64,
    flash: Option<Flash>,
}

impl ExpertDemand {
    /// Creates a demand; `sigma` is the standard deviation of the logarithm of
    /// the loads.
    #[must_use]
    pub fn new(kind: DemandKind, experts: u16, sigma: f64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let drift = (0..experts)
            .map(|_| StandardNormal.sample(&mut rng))
            .collect();
        let phases = (0..experts).map(|_| rng.random_range(0.0..TAU)).collect();
        Self {
            kind,
            sigma,
            rng,
            drift,
            phases,
            minute: 0.0,
            flash: None,
        }
    }

    /// Advances the loads by one minute.
    pub fn advance_minute(&mut self) {
        if self.kind == DemandKind::Steady {
            return;
        }
        self.minute += 1.0;
        let correlation = QUARTER_HOUR_CORRELATION.powf(1.0 / QUARTER_HOUR_MINUTES);
        let noise_scale = (1.0 - correlation * correlation).sqrt();
        for value in &mut self.drift {
            let noise: f64 = StandardNormal.sample(&mut self.rng);
            *value = *value * correlation + noise * noise_scale;
        }
        if self.kind == DemandKind::Flash {
            self.step_flash();
        }
    }

    fn step_flash(&mut self) {
        if let Some(flash) = &mut self.flash {
            flash.minutes_left -= 1;
            if flash.minutes_left == 0 {
                self.flash = None;
            }
        } else if self.rng.random_bool(FLASH_PROBABILITY_PER_MINUTE) {
            let experts = self.drift.len();
            let mut hot = || self.rng.random_range(0..experts);
            self.flash = Some(Flash {
                experts: (0..FLASH_EXPERTS).map(|_| hot()).collect(),
                minutes_left: FLASH_MINUTES,
            });
        }
    }

    /// Returns the true loads of this minute.
    #[must_use]
    pub fn loads(&self) -> Vec<f64> {
        let cycle = |phase: &f64| SQRT_2 * (TAU * self.minute / DAY_MINUTES + phase).sin();
        let log = |(drift, phase): (&f64, &f64)| {
            (1.0 - DAILY_VARIANCE_SHARE).sqrt() * drift + DAILY_VARIANCE_SHARE.sqrt() * cycle(phase)
        };
        let logs = self.drift.iter().zip(&self.phases).map(log);
        let mut loads: Vec<f64> = logs.map(|log| (self.sigma * log).exp()).collect();
        for hot in self.flash.iter().flat_map(|f| &f.experts) {
            loads[*hot] *= FLASH_FACTOR;
        }
        loads
    }

    /// Returns the loads of this minute with a measurement error.
    pub fn measure(&mut self) -> Vec<f64> {
        let mut loads = self.loads();
        for load in &mut loads {
            let error: f64 = StandardNormal.sample(&mut self.rng);
            *load *= (RELATIVE_MEASUREMENT_ERROR * error).exp();
        }
        loads
    }
}

//! Seeded loads of the experts of one layer, minute by minute.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, StandardNormal};
use std::f64::consts::{SQRT_2, TAU};
use strum::{Display, EnumIter};

/// Correlation of a load's logarithm over a quarter of an hour.
const QUARTER_HOUR_CORRELATION: f64 = 0.97;

/// Minutes of a quarter of an hour.
const QUARTER_HOUR: f64 = 15.0;

/// Minutes of a day.
const DAY: f64 = 1440.0;

/// Part of the variance that follows the day's cycle.
const DAY_PART: f64 = 0.2;

/// Error of a measured load, as a part of it.
const MEASUREMENT_ERROR: f64 = 0.03;

/// Chance a minute that a flash begins.
const FLASH_CHANCE: f64 = 1.0 / 120.0;

/// Minutes that a flash lasts.
const FLASH_MINUTES: u32 = 20;

/// Experts that a flash makes hot.
const FLASH_EXPERTS: usize = 3;

/// Factor by which a flash raises a load.
const FLASH_FACTOR: f64 = 4.0;

/// How loads change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum DemandKind {
    /// They stay.
    Steady,
    /// They drift and follow a day's cycle.
    Drifting,
    /// They drift, and a few experts are hot for some minutes now and then.
    Flash,
}

/// A flash under way.
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
    /// Starts a demand whose loads spread by `sigma` in the logarithm.
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

    /// Passes a minute.
    pub fn advance_minute(&mut self) {
        if self.kind == DemandKind::Steady {
            return;
        }
        self.minute += 1.0;
        let keep = QUARTER_HOUR_CORRELATION.powf(1.0 / QUARTER_HOUR);
        let fresh = (1.0 - keep * keep).sqrt();
        for value in &mut self.drift {
            let noise: f64 = StandardNormal.sample(&mut self.rng);
            *value = *value * keep + noise * fresh;
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
        } else if self.rng.random_bool(FLASH_CHANCE) {
            let experts = self.drift.len();
            let mut hot = || self.rng.random_range(0..experts);
            self.flash = Some(Flash {
                experts: (0..FLASH_EXPERTS).map(|_| hot()).collect(),
                minutes_left: FLASH_MINUTES,
            });
        }
    }

    /// Returns the loads of this minute.
    #[must_use]
    pub fn loads(&self) -> Vec<f64> {
        let cycle = |phase: &f64| SQRT_2 * (TAU * self.minute / DAY + phase).sin();
        let log = |(drift, phase): (&f64, &f64)| {
            (1.0 - DAY_PART).sqrt() * drift + DAY_PART.sqrt() * cycle(phase)
        };
        let logs = self.drift.iter().zip(&self.phases).map(log);
        let mut loads: Vec<f64> = logs.map(|log| (self.sigma * log).exp()).collect();
        for hot in self.flash.iter().flat_map(|f| &f.experts) {
            loads[*hot] *= FLASH_FACTOR;
        }
        loads
    }

    /// Returns the loads of this minute as measured.
    pub fn measure(&mut self) -> Vec<f64> {
        let mut loads = self.loads();
        for load in &mut loads {
            let error: f64 = StandardNormal.sample(&mut self.rng);
            *load *= (MEASUREMENT_ERROR * error).exp();
        }
        loads
    }
}

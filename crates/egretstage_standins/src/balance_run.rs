//! Runs a planner against a seeded expert demand in virtual time.

use crate::expert_demand::{DemandKind, ExpertDemand};
use egretstage_balance::{
    BalanceTradeoff, FullReplan, GreedySwaps, IncrementalPlanner, LayerMap, LayerShape,
    LoadForecast, NeverMove, PlanContext, Planner, Sharing, replicate_and_pack, skew,
    with_added_replicas, without_overwritten_replicas,
};
use std::collections::VecDeque;
use std::time::Duration;

/// Size of one expert's weights in one layer, in bytes.
pub const EXPERT_BYTES: u64 = 42 << 20;

/// Skew above which a step counts as unbalanced.
pub const SKEW_BOUND: f64 = 1.25;

/// Size of a GiB in bytes.
const GIB_BYTES: f64 = 1_073_741_824.0;

/// Time step of the demand.
const MINUTE: Duration = Duration::from_mins(1);

/// Minutes before the first plan; the first map is packed for their mean loads.
const WARM_UP_MINUTES: usize = 15;

/// Time in which a deviation of a load decays by a factor of e.
const LOAD_RELAXATION: Duration = Duration::from_hours(8);

/// The planner of a run and how often it plans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Keeps the first map.
    Never,
    /// Plans from scratch at an interval.
    FullReplan {
        /// Interval between two plans, in minutes.
        every: usize,
    },
    /// Swaps experts every 15 minutes.
    GreedySwaps,
    /// Makes the moves that are worth their cost, every minute.
    Incremental {
        /// How much skew is accepted to move fewer bytes.
        tradeoff: BalanceTradeoff,
        /// The shares that the engine's map can express.
        sharing: Sharing,
    },
}

impl Policy {
    /// Full re-planning every 15 minutes, as in the trials.
    pub const FULL_REPLAN: Self = Self::FullReplan { every: 15 };

    /// The incremental planner with the preset for low skew.
    pub const LOW_SKEW: Self = Self::Incremental {
        tradeoff: BalanceTradeoff::LOW_SKEW,
        sharing: Sharing::Uneven,
    };

    /// The incremental planner with the preset for low cost.
    pub const LOW_COST: Self = Self::Incremental {
        tradeoff: BalanceTradeoff::LOW_COST,
        sharing: Sharing::Uneven,
    };

    /// The incremental planner that only levels shares on the first placement.
    pub const SHARES_ONLY: Self = Self::Incremental {
        tradeoff: BalanceTradeoff::SHARES_ONLY,
        sharing: Sharing::Uneven,
    };

    fn planner(self) -> Box<dyn Planner> {
        match self {
            Self::Never => Box::new(NeverMove),
            Self::FullReplan { .. } => Box::new(FullReplan),
            Self::GreedySwaps => Box::new(GreedySwaps),
            Self::Incremental { tradeoff, sharing } => {
                Box::new(IncrementalPlanner::new(tradeoff, sharing))
            }
        }
    }

    /// Returns the interval between two plans, in minutes.
    fn interval(self) -> usize {
        match self {
            Self::FullReplan { every } => every,
            Self::Never | Self::GreedySwaps => 15,
            Self::Incremental { .. } => 1,
        }
    }
}

/// Layer and demand of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Shape of the layer.
    pub shape: LayerShape,
    /// How the loads change over time.
    pub demand: DemandKind,
    /// Standard deviation of the logarithm of the loads.
    pub sigma: f64,
    /// Seed of the demand.
    pub seed: u64,
    /// Duration of the measurement, in minutes.
    pub minutes: usize,
}

/// Metrics of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalanceMetrics {
    /// Mean skew; the skew is the largest rank load divided by the mean one.
    pub mean_skew: f64,
    /// 95th percentile of the skew.
    pub p95_skew: f64,
    /// GiB moved per hour in one layer.
    pub gib_per_hour: f64,
    /// Share of the time with a skew above [`SKEW_BOUND`].
    pub above_bound: f64,
}

impl BalanceMetrics {
    #[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
    fn new(mut skews: Vec<f64>, moves: usize) -> Self {
        skews.sort_by(f64::total_cmp);
        let count = skews.len() as f64;
        let above = skews.iter().filter(|s| **s > SKEW_BOUND).count() as f64;
        let gib = moves as f64 * EXPERT_BYTES as f64 / GIB_BYTES;
        Self {
            mean_skew: skews.iter().sum::<f64>() / count,
            p95_skew: skews[(skews.len() * 95).div_ceil(100) - 1],
            gib_per_hour: gib * 60.0 / count,
            above_bound: above / count,
        }
    }
}

/// State of one run.
struct PolicyRun {
    policy: Policy,
    planner: Box<dyn Planner>,
    demand: ExpertDemand,
    forecast: LoadForecast,
    history: VecDeque<Vec<f64>>,
    map: LayerMap,
    moves: usize,
}

impl PolicyRun {
    /// Starts a run with the map packed for the mean loads of the warm-up.
    fn new(scenario: &Scenario, policy: Policy) -> Self {
        let Scenario { shape, sigma, .. } = *scenario;
        let mut run = Self {
            policy,
            planner: policy.planner(),
            demand: ExpertDemand::new(scenario.demand, shape.experts, sigma, scenario.seed),
            forecast: LoadForecast::new(LOAD_RELAXATION),
            history: VecDeque::with_capacity(WARM_UP_MINUTES),
            map: replicate_and_pack(shape, &vec![1.0; usize::from(shape.experts)]),
            moves: 0,
        };
        for _ in 0..WARM_UP_MINUTES {
            run.advance_minute();
        }
        run.map = replicate_and_pack(shape, &run.mean_loads());
        run
    }

    fn advance_minute(&mut self) {
        let measured = self.demand.measure();
        self.forecast.observe(MINUTE, &measured);
        if self.history.len() == self.policy.interval().max(WARM_UP_MINUTES) {
            self.history.pop_front();
        }
        self.history.push_back(measured);
        self.demand.advance_minute();
    }

    /// Returns loads proportional to the mean loads measured over the last
    /// interval.
    fn mean_loads(&self) -> Vec<f64> {
        let mut sums = vec![0.0; self.history[0].len()];
        let averaged_minutes = match self.policy {
            Policy::FullReplan { every } => every,
            _ => WARM_UP_MINUTES,
        };
        for loads in self.history.iter().rev().take(averaged_minutes) {
            for (sum, load) in sums.iter_mut().zip(loads) {
                *sum += load;
            }
        }
        sums
    }

    /// Plans and returns the map of the minute in which weights are moved.
    fn plan(&mut self) -> LayerMap {
        let incremental = matches!(self.policy, Policy::Incremental { .. });
        let (loads, horizon_loads) = if let Policy::Incremental { tradeoff, .. } = self.policy {
            (
                self.forecast.after(MINUTE),
                self.forecast.after(tradeoff.horizon() / 2),
            )
        } else {
            (self.mean_loads(), self.mean_loads())
        };
        let plan = self.planner.plan(&PlanContext {
            map: &self.map,
            loads: &loads,
            horizon_loads: &horizon_loads,
            expert_bytes: EXPERT_BYTES,
            budget_bytes: u64::MAX,
        });
        self.moves += plan.moves.len();
        if !incremental || plan.moves.is_empty() {
            self.map = plan.target;
            return self.map.clone();
        }
        let Policy::Incremental { sharing, .. } = self.policy else {
            return self.map.clone();
        };
        let map_during_moves =
            without_overwritten_replicas(&self.map, &plan.moves, &loads, sharing)
                .expect("a plan overwrites no expert's last replica");
        self.map = with_added_replicas(&map_during_moves, &plan.moves, &loads, sharing)
            .expect("a plan leaves the map valid");
        map_during_moves
    }
}

/// Runs a policy in a scenario.
///
/// Baselines use their new map immediately, as if moves took no time. The
/// copies of the incremental planner take a minute, in which both the
/// overwritten and the new replicas are missing.
#[must_use]
pub fn run_policy(scenario: &Scenario, policy: Policy) -> BalanceMetrics {
    let mut run = PolicyRun::new(scenario, policy);
    let mut skews = Vec::with_capacity(scenario.minutes);
    for minute in 0..scenario.minutes {
        let map = if minute % policy.interval() == 0 {
            run.plan()
        } else {
            run.map.clone()
        };
        skews.push(skew(&map.rank_loads(&run.demand.loads())));
        run.advance_minute();
    }
    BalanceMetrics::new(skews, run.moves)
}

/// Packs the map anew each minute with the true loads of that minute.
#[must_use]
pub fn run_with_known_loads(scenario: &Scenario) -> BalanceMetrics {
    let mut run = PolicyRun::new(scenario, Policy::Never);
    let mut skews = Vec::with_capacity(scenario.minutes);
    for _ in 0..scenario.minutes {
        let loads = run.demand.loads();
        let map = replicate_and_pack(scenario.shape, &loads);
        skews.push(skew(&map.rank_loads(&loads)));
        run.advance_minute();
    }
    BalanceMetrics::new(skews, 0)
}

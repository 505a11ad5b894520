//! Runs a planner against a seeded demand in virtual time.

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

/// Bytes of a GiB.
const GIB: f64 = 1_073_741_824.0;

/// One virtual minute, the step of the demand.
const MINUTE: Duration = Duration::from_mins(1);

/// Minutes before the first plan, whose mean loads give the first map.
const WARM_UP: usize = 15;

/// Time in which a deviation of a load fades by a factor of e.
const RELAXATION: Duration = Duration::from_hours(8);

/// What decides, and how often.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Keeps the first map.
    Never,
    /// Plans from scratch each so many minutes.
    FullReplan {
        /// Minutes between two plans.
        every: usize,
    },
    /// Swaps experts each quarter of an hour.
    GreedySwaps,
    /// Moves what pays, each minute.
    Incremental {
        /// The group's tradeoff.
        tradeoff: BalanceTradeoff,
        /// What the engine's map can express.
        sharing: Sharing,
    },
}

impl Policy {
    /// Full re-planning each quarter of an hour, as in the trials.
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

    /// Levelled shares on the first placement.
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

    fn interval(self) -> usize {
        match self {
            Self::FullReplan { every } => every,
            Self::Never | Self::GreedySwaps => 15,
            Self::Incremental { .. } => 1,
        }
    }
}

/// One case of a table.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Sizes of the layer.
    pub shape: LayerShape,
    /// How loads change.
    pub demand: DemandKind,
    /// Spread of the loads in the logarithm.
    pub sigma: f64,
    /// Seed of the demand.
    pub seed: u64,
    /// Minutes that are measured.
    pub minutes: usize,
}

/// What a run gave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalanceMetrics {
    /// Mean of largest over mean rank load.
    pub mean_skew: f64,
    /// 95th percentile of it.
    pub p95_skew: f64,
    /// GiB moved an hour, in one layer.
    pub gib_per_hour: f64,
    /// Part of the time above [`SKEW_BOUND`].
    pub above_bound: f64,
}

impl BalanceMetrics {
    #[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
    fn new(mut skews: Vec<f64>, moves: usize) -> Self {
        skews.sort_by(f64::total_cmp);
        let count = skews.len() as f64;
        let above = skews.iter().filter(|s| **s > SKEW_BOUND).count() as f64;
        let gib = moves as f64 * EXPERT_BYTES as f64 / GIB;
        Self {
            mean_skew: skews.iter().sum::<f64>() / count,
            p95_skew: skews[(skews.len() * 95).div_ceil(100) - 1],
            gib_per_hour: gib * 60.0 / count,
            above_bound: above / count,
        }
    }
}

/// The state of one run.
struct Run {
    policy: Policy,
    planner: Box<dyn Planner>,
    demand: ExpertDemand,
    forecast: LoadForecast,
    history: VecDeque<Vec<f64>>,
    map: LayerMap,
    moves: usize,
}

impl Run {
    /// Starts with the map packed for the loads of the first minutes.
    fn new(scenario: &Scenario, policy: Policy) -> Self {
        let Scenario { shape, sigma, .. } = *scenario;
        let mut run = Self {
            policy,
            planner: policy.planner(),
            demand: ExpertDemand::new(scenario.demand, shape.experts, sigma, scenario.seed),
            forecast: LoadForecast::new(RELAXATION),
            history: VecDeque::with_capacity(WARM_UP),
            map: replicate_and_pack(shape, &vec![1.0; usize::from(shape.experts)]),
            moves: 0,
        };
        for _ in 0..WARM_UP {
            run.pass_minute();
        }
        run.map = replicate_and_pack(shape, &run.mean_loads());
        run
    }

    fn pass_minute(&mut self) {
        let measured = self.demand.measure();
        self.forecast.observe(MINUTE, &measured);
        if self.history.len() == self.policy.interval().max(WARM_UP) {
            self.history.pop_front();
        }
        self.history.push_back(measured);
        self.demand.advance_minute();
    }

    /// Returns the mean of the loads measured over the last interval.
    fn mean_loads(&self) -> Vec<f64> {
        let mut sums = vec![0.0; self.history[0].len()];
        let last = match self.policy {
            Policy::FullReplan { every } => every,
            _ => WARM_UP,
        };
        for loads in self.history.iter().rev().take(last) {
            for (sum, load) in sums.iter_mut().zip(loads) {
                *sum += load;
            }
        }
        sums
    }

    /// Plans and returns the map for the minute in which weights move.
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
        let transit = without_overwritten_replicas(&self.map, &plan.moves, &loads, sharing)
            .expect("a plan overwrites no last replica");
        self.map = with_added_replicas(&transit, &plan.moves, &loads, sharing)
            .expect("a plan keeps the rules of the map");
        transit
    }
}

/// Runs a policy through a scenario.
///
/// Baselines get their new map at once, as if moves took no time. The
/// incremental planner's copies take a minute, in which the replicas that
/// they overwrite and the new ones are both missing.
#[must_use]
pub fn run_policy(scenario: &Scenario, policy: Policy) -> BalanceMetrics {
    let mut run = Run::new(scenario, policy);
    let mut skews = Vec::with_capacity(scenario.minutes);
    for minute in 0..scenario.minutes {
        let map = if minute % policy.interval() == 0 {
            run.plan()
        } else {
            run.map.clone()
        };
        skews.push(skew(&map.rank_loads(&run.demand.loads())));
        run.pass_minute();
    }
    BalanceMetrics::new(skews, run.moves)
}

/// Packs each minute with perfect knowledge of its loads.
#[must_use]
pub fn run_with_known_loads(scenario: &Scenario) -> BalanceMetrics {
    let mut run = Run::new(scenario, Policy::Never);
    let mut skews = Vec::with_capacity(scenario.minutes);
    for _ in 0..scenario.minutes {
        let loads = run.demand.loads();
        let map = replicate_and_pack(scenario.shape, &loads);
        skews.push(skew(&map.rank_loads(&loads)));
        run.pass_minute();
    }
    BalanceMetrics::new(skews, 0)
}

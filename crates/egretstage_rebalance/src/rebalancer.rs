//! All decisions about a group's experts.

use crate::{
    LayerLoads, OfferId, RebalanceAction, RebalanceDecision, RebalanceEffect, RebalanceEvent,
    RebalanceSettings,
};
use egretstage_balance::{
    ExecutorEffect, ExecutorEvent, ExpertMap, GroupPlan, IncrementalPlanner, LayerMap, LayerMove,
    LoadForecast, MapVersion, MoveExecutor, Plan, PlanContext, Planner, replicate_and_pack, skew,
};
use egretstage_runtime::Reducer;
use std::time::{Duration, Instant};

type Effects = Vec<RebalanceEffect>;

/// A map that waits for the decider's answer.
#[derive(Debug)]
struct Offered {
    offer: OfferId,
    map: ExpertMap,
    /// The executor's version; none for levelled shares.
    version: Option<MapVersion>,
}

/// The forecast loads of all layers.
struct Forecasts {
    /// Until the next plan.
    next: Vec<Vec<f64>>,
    /// Over the horizon of a move.
    horizon: Vec<Vec<f64>>,
}

/// Keeps the experts of one group evenly loaded.
#[derive(Debug)]
pub struct Rebalancer {
    settings: RebalanceSettings,
    planner: IncrementalPlanner,
    executor: MoveExecutor,
    forecasts: Vec<LoadForecast>,
    map: ExpertMap,
    offered: Option<Offered>,
    last_offer: OfferId,
    plan_at: Instant,
}

impl Rebalancer {
    /// Starts with the map in force.
    #[must_use]
    pub fn new(now: Instant, settings: RebalanceSettings, map: ExpertMap) -> Self {
        let forecast = LoadForecast::new(settings.relaxation);
        Self {
            planner: IncrementalPlanner::new(settings.trade, settings.sharing),
            executor: MoveExecutor::new(settings.executor, settings.sharing, MapVersion(0)),
            forecasts: vec![forecast; usize::from(settings.layers)],
            settings,
            map,
            offered: None,
            last_offer: OfferId(0),
            plan_at: now,
        }
    }

    /// Returns the map of a group whose loads nobody has measured.
    #[must_use]
    pub fn initial_map(settings: &RebalanceSettings) -> ExpertMap {
        let even = vec![1.0; usize::from(settings.shape.experts)];
        let layer = replicate_and_pack(settings.shape, &even);
        ExpertMap {
            layers: vec![layer; usize::from(settings.layers)],
        }
    }

    /// Returns the map in force.
    #[must_use]
    pub fn map(&self) -> &ExpertMap {
        &self.map
    }

    /// Tells whether a plan or an offer is under way.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.executor.is_busy() || self.offered.is_some()
    }

    fn measured(
        &mut self,
        now: Instant,
        interval: Duration,
        layers: &[LayerLoads],
        fx: &mut Effects,
    ) {
        let experts = usize::from(self.settings.shape.experts);
        let fits = layers.len() == self.forecasts.len()
            && layers.iter().all(|loads| loads.0.len() == experts);
        if !fits {
            return;
        }
        for (forecast, loads) in self.forecasts.iter_mut().zip(layers) {
            forecast.observe(interval, &loads.0);
        }
        let forecasts = self.forecasts();
        self.run_executor(now, ExecutorEvent::Demand(forecasts.next.clone()), fx);
        if self.plan_at <= now && !self.is_busy() {
            self.plan_at = now + self.settings.interval;
            self.plan(now, forecasts, fx);
        }
    }

    fn forecasts(&self) -> Forecasts {
        let after = |ahead: Duration| self.forecasts.iter().map(|f| f.after(ahead)).collect();
        Forecasts {
            next: after(self.settings.interval),
            horizon: after(self.settings.trade.horizon() / 2),
        }
    }

    /// Plans all layers and starts what pays.
    fn plan(&mut self, now: Instant, forecasts: Forecasts, fx: &mut Effects) {
        let mut plans = self.layer_plans(&forecasts);
        let target = ExpertMap {
            layers: plans.iter().map(|(_, plan)| plan.target.clone()).collect(),
        };
        plans.sort_by(|(_, a), (_, b)| b.gain_points.total_cmp(&a.gain_points));
        let moves: Vec<LayerMove> = plans
            .iter()
            .flat_map(|(layer, plan)| plan.moves.iter().map(|step| (*layer, *step)))
            .map(|(layer, step)| LayerMove { layer, step })
            .collect();
        let before = worst_skew(&self.map, &forecasts.next);
        let after = worst_skew(&target, &forecasts.next);
        let gain_points = (before - after) * 100.0;
        let step = if !moves.is_empty() {
            RebalanceAction::Move
        } else if gain_points >= self.settings.level_gain_points {
            RebalanceAction::Level
        } else {
            RebalanceAction::Keep
        };
        fx.push(RebalanceEffect::Log(RebalanceDecision {
            step,
            skew: before,
            skew_after: if step == RebalanceAction::Keep {
                before
            } else {
                after
            },
            moves: moves.len(),
            bytes: self.bytes_of(moves.len()),
        }));
        match step {
            RebalanceAction::Move => {
                let plan = GroupPlan {
                    map: self.map.clone(),
                    loads: forecasts.next,
                    moves,
                };
                self.run_executor(now, ExecutorEvent::Start(Box::new(plan)), fx);
            }
            RebalanceAction::Level => self.offer(target, None, fx),
            _ => {}
        }
    }

    fn layer_plans(&mut self, forecasts: &Forecasts) -> Vec<(u16, Plan)> {
        let loads = forecasts.next.iter().zip(&forecasts.horizon);
        let layers = self.map.layers.iter().zip(loads);
        let planner = &mut self.planner;
        let expert_bytes = self.settings.executor.expert_bytes;
        (0..)
            .zip(layers)
            .map(|(index, (map, (loads, horizon_loads)))| {
                let plan = planner.plan(&PlanContext {
                    map,
                    loads,
                    horizon_loads,
                    expert_bytes,
                    budget_bytes: u64::MAX,
                });
                (index, plan)
            })
            .collect()
    }

    fn bytes_of(&self, moves: usize) -> u64 {
        let moves = u64::try_from(moves).unwrap_or(u64::MAX);
        moves.saturating_mul(self.settings.executor.expert_bytes)
    }

    fn offer(&mut self, map: ExpertMap, version: Option<MapVersion>, fx: &mut Effects) {
        self.last_offer.0 += 1;
        let offer = self.last_offer;
        fx.push(RebalanceEffect::Offer {
            offer,
            map: Box::new(map.clone()),
        });
        self.offered = Some(Offered {
            offer,
            map,
            version,
        });
    }

    fn committed(&mut self, now: Instant, offer: OfferId, fx: &mut Effects) {
        let Some(offered) = self.offered.take_if(|offered| offered.offer == offer) else {
            return;
        };
        self.map = offered.map;
        if let Some(version) = offered.version {
            self.run_executor(now, ExecutorEvent::Committed(version), fx);
        }
    }

    fn refused(&mut self, now: Instant, offer: OfferId, fx: &mut Effects) {
        let Some(offered) = self.offered.take_if(|offered| offered.offer == offer) else {
            return;
        };
        if let Some(version) = offered.version {
            self.run_executor(now, ExecutorEvent::CommitRefused(version), fx);
        }
    }

    /// Passes an event to the executor and carries its effects on.
    fn run_executor(&mut self, now: Instant, event: ExecutorEvent, fx: &mut Effects) {
        let mut asked = Vec::new();
        self.executor.reduce(now, event, &mut asked);
        self.pass_on(asked, fx);
    }

    fn pass_on(&mut self, asked: Vec<ExecutorEffect>, fx: &mut Effects) {
        for effect in asked {
            match effect {
                ExecutorEffect::Commit { version, map } => self.offer(*map, Some(version), fx),
                ExecutorEffect::Transfer {
                    transfer,
                    target,
                    bytes,
                } => fx.push(RebalanceEffect::Transfer {
                    transfer,
                    target,
                    bytes,
                }),
                ExecutorEffect::Dropped(reason) => self.log(reason.into(), fx),
                ExecutorEffect::Finished => self.log(RebalanceAction::Finished, fx),
            }
        }
    }

    fn log(&self, step: RebalanceAction, fx: &mut Effects) {
        let now = worst_skew(&self.map, &self.forecasts().next);
        fx.push(RebalanceEffect::Log(RebalanceDecision {
            step,
            skew: now,
            skew_after: now,
            moves: 0,
            bytes: 0,
        }));
    }
}

/// Returns the largest skew of all layers.
fn worst_skew(map: &ExpertMap, loads: &[Vec<f64>]) -> f64 {
    let of_layer = |(map, loads): (&LayerMap, &Vec<f64>)| skew(&map.rank_loads(loads));
    map.layers
        .iter()
        .zip(loads)
        .map(of_layer)
        .fold(1.0, f64::max)
}

impl Reducer for Rebalancer {
    type Event = RebalanceEvent;
    type Effect = RebalanceEffect;

    fn reduce(&mut self, now: Instant, event: RebalanceEvent, fx: &mut Effects) {
        match event {
            RebalanceEvent::LoadsMeasured { interval, layers } => {
                self.measured(now, interval, &layers, fx);
            }
            RebalanceEvent::Committed(offer) => self.committed(now, offer, fx),
            RebalanceEvent::Refused(offer) => self.refused(now, offer, fx),
            RebalanceEvent::Transferred { transfer, result } => {
                let event = ExecutorEvent::Transferred { transfer, result };
                self.run_executor(now, event, fx);
            }
            RebalanceEvent::StepTime { p95, bound } => {
                self.run_executor(now, ExecutorEvent::StepTime { p95, bound }, fx);
            }
            RebalanceEvent::RankLost(rank) => {
                self.run_executor(now, ExecutorEvent::RankLost(rank), fx);
            }
        }
    }

    fn wake(&mut self, now: Instant, fx: &mut Effects) {
        let mut asked = Vec::new();
        self.executor.wake(now, &mut asked);
        self.pass_on(asked, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        self.executor.next_wake()
    }
}

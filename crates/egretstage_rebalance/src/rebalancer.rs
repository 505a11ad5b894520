//! Decides on the placement of a group's experts.

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

/// A map that was offered to the decider, which hasn't replied yet.
#[derive(Debug)]
struct PendingOffer {
    offer: OfferId,
    map: ExpertMap,
    /// The executor's version of the map; `None` if only shares were levelled.
    version: Option<MapVersion>,
}

/// Forecast expert loads, as one list per layer.
struct Forecasts {
    /// Loads at the time of the next plan.
    next_interval: Vec<Vec<f64>>,
    /// Loads halfway through the horizon over which a move has to pay off.
    move_horizon: Vec<Vec<f64>>,
}

/// Balances the load of the experts of one group.
#[derive(Debug)]
pub struct Rebalancer {
    settings: RebalanceSettings,
    planner: IncrementalPlanner,
    executor: MoveExecutor,
    forecasts: Vec<LoadForecast>,
    map: ExpertMap,
    pending_offer: Option<PendingOffer>,
    last_offer: OfferId,
    next_plan_at: Instant,
}

impl Rebalancer {
    /// Creates a rebalancer of a group whose active map is `map`.
    #[must_use]
    pub fn new(now: Instant, settings: RebalanceSettings, map: ExpertMap) -> Self {
        let forecast = LoadForecast::new(settings.relaxation);
        Self {
            planner: IncrementalPlanner::new(settings.tradeoff, settings.sharing),
            executor: MoveExecutor::new(settings.executor, settings.sharing, MapVersion(0)),
            forecasts: vec![forecast; usize::from(settings.layers)],
            settings,
            map,
            pending_offer: None,
            last_offer: OfferId(0),
            next_plan_at: now,
        }
    }

    /// Returns the map for a group without measured loads, balanced for even loads.
    #[must_use]
    pub fn initial_map(settings: &RebalanceSettings) -> ExpertMap {
        let even = vec![1.0; usize::from(settings.shape.experts)];
        let layer = replicate_and_pack(settings.shape, &even);
        ExpertMap {
            layers: vec![layer; usize::from(settings.layers)],
        }
    }

    /// Returns the active map.
    #[must_use]
    pub fn map(&self) -> &ExpertMap {
        &self.map
    }

    /// Returns whether a plan or an offer is in progress.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.executor.is_busy() || self.pending_offer.is_some()
    }

    /// Updates the forecasts and starts a plan if one is due.
    ///
    /// Loads with another number of layers or experts are ignored.
    fn handle_loads(
        &mut self,
        now: Instant,
        interval: Duration,
        layers: &[LayerLoads],
        fx: &mut Effects,
    ) {
        let experts = usize::from(self.settings.shape.experts);
        let has_expected_shape = layers.len() == self.forecasts.len()
            && layers.iter().all(|loads| loads.0.len() == experts);
        if !has_expected_shape {
            return;
        }
        for (forecast, loads) in self.forecasts.iter_mut().zip(layers) {
            forecast.observe(interval, &loads.0);
        }
        let forecasts = self.forecasts();
        self.run_executor(
            now,
            ExecutorEvent::Demand(forecasts.next_interval.clone()),
            fx,
        );
        if self.next_plan_at <= now && !self.is_busy() {
            self.next_plan_at = now + self.settings.interval;
            self.plan(now, forecasts, fx);
        }
    }

    fn forecasts(&self) -> Forecasts {
        let after = |ahead: Duration| self.forecasts.iter().map(|f| f.after(ahead)).collect();
        Forecasts {
            next_interval: after(self.settings.interval),
            move_horizon: after(self.settings.tradeoff.horizon() / 2),
        }
    }

    /// Plans all layers, and starts the moves or the change of shares if they are
    /// worth their cost; the moves of the layers with the highest gain come first.
    fn plan(&mut self, now: Instant, forecasts: Forecasts, fx: &mut Effects) {
        let mut plans = self.layer_plans(&forecasts);
        let target = ExpertMap {
            layers: plans.iter().map(|(_, plan)| plan.target.clone()).collect(),
        };
        plans.sort_by(|(_, a), (_, b)| b.gain_points.total_cmp(&a.gain_points));
        let moves: Vec<LayerMove> = plans
            .iter()
            .flat_map(|(layer, plan)| plan.moves.iter().map(|expert_move| (*layer, *expert_move)))
            .map(|(layer, expert_move)| LayerMove { layer, expert_move })
            .collect();
        let skew_before = worst_skew(&self.map, &forecasts.next_interval);
        let skew_after = worst_skew(&target, &forecasts.next_interval);
        let gain_points = (skew_before - skew_after) * 100.0;
        let step = if !moves.is_empty() {
            RebalanceAction::Move
        } else if gain_points >= self.settings.level_gain_points {
            RebalanceAction::Level
        } else {
            RebalanceAction::Keep
        };
        fx.push(RebalanceEffect::Log(RebalanceDecision {
            step,
            skew: skew_before,
            skew_after: if step == RebalanceAction::Keep {
                skew_before
            } else {
                skew_after
            },
            moves: moves.len(),
            bytes: self.transfer_bytes(moves.len()),
        }));
        match step {
            RebalanceAction::Move => {
                let plan = GroupPlan {
                    map: self.map.clone(),
                    loads: forecasts.next_interval,
                    moves,
                };
                self.run_executor(now, ExecutorEvent::Start(Box::new(plan)), fx);
            }
            RebalanceAction::Level => self.offer(target, None, fx),
            _ => {}
        }
    }

    fn layer_plans(&mut self, forecasts: &Forecasts) -> Vec<(u16, Plan)> {
        let loads = forecasts.next_interval.iter().zip(&forecasts.move_horizon);
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

    fn transfer_bytes(&self, moves: usize) -> u64 {
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
        self.pending_offer = Some(PendingOffer {
            offer,
            map,
            version,
        });
    }

    fn handle_commit(&mut self, now: Instant, offer: OfferId, fx: &mut Effects) {
        let Some(offered) = self.pending_offer.take_if(|offered| offered.offer == offer) else {
            return;
        };
        self.map = offered.map;
        if let Some(version) = offered.version {
            self.run_executor(now, ExecutorEvent::Committed(version), fx);
        }
    }

    fn handle_refusal(&mut self, now: Instant, offer: OfferId, fx: &mut Effects) {
        let Some(offered) = self.pending_offer.take_if(|offered| offered.offer == offer) else {
            return;
        };
        if let Some(version) = offered.version {
            self.run_executor(now, ExecutorEvent::CommitRefused(version), fx);
        }
    }

    /// Passes an event to the executor and forwards its effects.
    fn run_executor(&mut self, now: Instant, event: ExecutorEvent, fx: &mut Effects) {
        let mut executor_effects = Vec::new();
        self.executor.reduce(now, event, &mut executor_effects);
        self.forward_effects(executor_effects, fx);
    }

    fn forward_effects(&mut self, executor_effects: Vec<ExecutorEffect>, fx: &mut Effects) {
        for effect in executor_effects {
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
        let current_skew = worst_skew(&self.map, &self.forecasts().next_interval);
        fx.push(RebalanceEffect::Log(RebalanceDecision {
            step,
            skew: current_skew,
            skew_after: current_skew,
            moves: 0,
            bytes: 0,
        }));
    }
}

/// Returns the skew of the layer with the largest skew.
fn worst_skew(map: &ExpertMap, loads: &[Vec<f64>]) -> f64 {
    let layer_skew = |(map, loads): (&LayerMap, &Vec<f64>)| skew(&map.rank_loads(loads));
    map.layers
        .iter()
        .zip(loads)
        .map(layer_skew)
        .fold(1.0, f64::max)
}

impl Reducer for Rebalancer {
    type Event = RebalanceEvent;
    type Effect = RebalanceEffect;

    fn reduce(&mut self, now: Instant, event: RebalanceEvent, fx: &mut Effects) {
        match event {
            RebalanceEvent::LoadsMeasured { interval, layers } => {
                self.handle_loads(now, interval, &layers, fx);
            }
            RebalanceEvent::Committed(offer) => self.handle_commit(now, offer, fx),
            RebalanceEvent::Refused(offer) => self.handle_refusal(now, offer, fx),
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
        let mut executor_effects = Vec::new();
        self.executor.wake(now, &mut executor_effects);
        self.forward_effects(executor_effects, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        self.executor.next_wake()
    }
}

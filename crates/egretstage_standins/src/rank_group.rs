//! Stand-in for the engines of one model group, which run their steps together.
//!
//! It speaks the published protocol of an engine rank: `POST /rank` handles a
//! call and returns the state after it.

use crate::rank_engine::{ExecutedStep, MapSelection, RankEngine, RankEngineOptions, StepBarrier};
use crate::server::{Reply, StandInHandler, StandInRequest, serve};
use egretstage_wire::{EngineBoot, EngineOrder, Generation, VersionedMap};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Options of the engines of a group.
#[derive(Clone, Copy, Debug)]
pub struct RankGroupOptions {
    /// Number of ranks.
    pub ranks: u16,
    /// Time between two ticks, at which engines end and begin steps.
    pub tick: Duration,
    /// How the engines select the map of a step.
    pub map_selection: MapSelection,
    /// Whether they refuse joins and orders with an old fencing number.
    pub checks_fences: bool,
}

#[derive(Debug, Default)]
struct State {
    engines: Vec<RankEngine>,
    barrier: StepBarrier,
    executed: Vec<ExecutedStep>,
    expert_loads: Vec<Vec<f64>>,
}

/// Stand-in for the engines of one model group.
#[derive(Debug)]
pub struct RankGroupStandIn {
    options: RankGroupOptions,
    state: Mutex<State>,
}

/// HTTP handler of one engine.
struct EngineHandler {
    group: Arc<RankGroupStandIn>,
    engine: usize,
}

impl RankGroupStandIn {
    /// Starts a group without engines on the current runtime.
    #[must_use]
    pub fn start(options: RankGroupOptions) -> Arc<Self> {
        let group = Arc::new(Self {
            options,
            state: Mutex::default(),
        });
        let ticking_group = Arc::clone(&group);
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(ticking_group.options.tick);
            loop {
                ticks.tick().await;
                ticking_group.tick();
            }
        });
        group
    }

    /// Starts an engine for a rank; earlier engines of the rank stay alive.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no address is available.
    pub fn engine(self: &Arc<Self>, rank: u16) -> std::io::Result<SocketAddr> {
        let engine = {
            let mut state = self.lock();
            let options = RankEngineOptions {
                rank,
                ranks: self.options.ranks,
                map_selection: self.options.map_selection,
                checks_fences: self.options.checks_fences,
            };
            let boot = EngineBoot(state.engines.len() as u64 + 1);
            state.engines.push(RankEngine::new(options, boot));
            state.engines.len() - 1
        };
        let handler = Arc::new(EngineHandler {
            group: Arc::clone(self),
            engine,
        });
        serve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), handler)
    }

    /// Returns the steps that the ranks executed.
    #[must_use]
    pub fn executed_steps(&self) -> Vec<ExecutedStep> {
        self.lock().executed.clone()
    }

    /// Sets the loads that the engines report, by layer and expert.
    pub fn set_expert_loads(&self, layers: Vec<Vec<f64>>) {
        self.lock().expert_loads = layers;
    }

    /// Returns the map of the last step that the latest engine of a rank has
    /// begun.
    #[must_use]
    pub fn active_map(&self, rank: u16) -> Option<VersionedMap> {
        let state = self.lock();
        let mut engines = state.engines.iter().rev();
        engines.find(|engine| engine.rank() == rank)?.active_map()
    }

    /// Returns the number of steps that all ranks have executed.
    #[must_use]
    pub fn completed_steps(&self) -> usize {
        self.lock().executed.len() / usize::from(self.options.ranks)
    }

    /// Returns the generation that the latest engine of a rank has joined.
    #[must_use]
    pub fn generation(&self, rank: u16) -> Option<Generation> {
        let state = self.lock();
        let mut engines = state.engines.iter().rev();
        engines.find(|engine| engine.rank() == rank)?.generation()
    }

    /// Returns the orders that took effect on each engine ever started.
    #[must_use]
    pub fn orders(&self) -> Vec<Vec<EngineOrder>> {
        let state = self.lock();
        let engines = state.engines.iter();
        engines.map(|engine| engine.orders().to_vec()).collect()
    }

    fn tick(&self) {
        let mut state = self.lock();
        let State {
            engines,
            barrier,
            executed,
            ..
        } = &mut *state;
        for engine in engines {
            engine.tick(barrier, executed);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandInHandler for EngineHandler {
    async fn answer(&self, request: StandInRequest) -> Reply {
        if request.path == "/expert-loads" {
            let layers = &self.group.lock().expert_loads;
            return Reply::ok(&serde_json::json!({ "layers": layers }));
        }
        let engine_call = match serde_json::from_slice(&request.body) {
            Ok(engine_call) if request.path == "/rank" => engine_call,
            Ok(_) => return Reply::error(404, "no such path"),
            Err(e) => return Reply::error(400, &e.to_string()),
        };
        let mut state = self.group.lock();
        let State {
            engines,
            barrier,
            executed,
            ..
        } = &mut *state;
        Reply::ok(&engines[self.engine].handle_call(engine_call, barrier, executed))
    }
}

/// Checks that each rank ran each step once, and that all ranks ran it in the
/// same generation with the same map.
///
/// # Errors
///
/// Returns a text that names a step that broke this rule.
pub fn check_steps(executed: &[ExecutedStep]) -> Result<(), String> {
    let mut first: HashMap<u64, ExecutedStep> = HashMap::new();
    let mut executed_by_rank = std::collections::HashSet::new();
    for step in executed {
        let other = first.entry(step.step.0).or_insert(*step);
        if other.map != step.map || other.generation != step.generation {
            return Err(format!(
                "ranks ran a step with different maps or generations: {other:?} and {step:?}"
            ));
        }
        if !executed_by_rank.insert((step.step, step.rank)) {
            return Err(format!("a rank ran a step twice: {step:?}"));
        }
    }
    Ok(())
}

//! The stand-in for the engines of one model group, which step together.
//!
//! The published protocol of an engine rank: `POST /rank` with a call answers
//! with the state after it.

use crate::rank_engine::{ExecutedStep, MapSelection, RankEngine, RankEngineOptions, StepBarrier};
use crate::server::{Reply, StandInHandler, StandInRequest, serve};
use egretstage_wire::{EngineBoot, EngineOrder, Generation, VersionedMap};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Behaviour of the engines.
#[derive(Clone, Copy, Debug)]
pub struct RankGroupOptions {
    /// Number of ranks.
    pub ranks: u16,
    /// Time between two looks of an engine at its next step.
    pub tick: Duration,
    /// How the engines keep to what they were granted.
    pub map_selection: MapSelection,
    /// Whether they refuse calls with an old fencing number.
    pub checks_fences: bool,
}

#[derive(Debug, Default)]
struct State {
    engines: Vec<RankEngine>,
    barrier: StepBarrier,
    ran: Vec<ExecutedStep>,
    expert_loads: Vec<Vec<f64>>,
}

/// The engines of one model group.
#[derive(Debug)]
pub struct RankGroupStandIn {
    options: RankGroupOptions,
    state: Mutex<State>,
}

/// One engine behind HTTP.
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
        let stepping = Arc::clone(&group);
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(stepping.options.tick);
            loop {
                ticks.tick().await;
                stepping.tick();
            }
        });
        group
    }

    /// Starts an engine for a rank; earlier ones of the rank stay alive.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no address can be had.
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

    /// Returns the steps that the ranks really ran.
    #[must_use]
    pub fn executed_steps(&self) -> Vec<ExecutedStep> {
        self.lock().ran.clone()
    }

    /// Sets the load of each expert of each layer that the engines report.
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

    /// Returns how many steps have run on all ranks.
    #[must_use]
    pub fn completed_steps(&self) -> usize {
        self.lock().ran.len() / usize::from(self.options.ranks)
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
            ran,
            ..
        } = &mut *state;
        for engine in engines {
            engine.tick(barrier, ran);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandInHandler for EngineHandler {
    async fn answer(&self, call: StandInRequest) -> Reply {
        if call.path == "/expert-loads" {
            let layers = &self.group.lock().expert_loads;
            return Reply::ok(&serde_json::json!({ "layers": layers }));
        }
        let engine_call = match serde_json::from_slice(&call.body) {
            Ok(engine_call) if call.path == "/rank" => engine_call,
            Ok(_) => return Reply::error(404, "no such path"),
            Err(e) => return Reply::error(400, &e.to_string()),
        };
        let mut state = self.group.lock();
        let State {
            engines,
            barrier,
            ran,
            ..
        } = &mut *state;
        Reply::ok(&engines[self.engine].handle_call(engine_call, barrier, ran))
    }
}

/// Tells which step broke the rule that all ranks run it once, together, with
/// one map.
///
/// # Errors
///
/// Returns a text that names the step.
pub fn check_steps(ran: &[ExecutedStep]) -> Result<(), String> {
    let mut first: HashMap<u64, ExecutedStep> = HashMap::new();
    let mut seen = std::collections::HashSet::new();
    for step in ran {
        let other = first.entry(step.step.0).or_insert(*step);
        if other.map != step.map || other.generation != step.generation {
            return Err(format!("one step, two maps: {other:?} and {step:?}"));
        }
        if !seen.insert((step.step, step.rank)) {
            return Err(format!("a rank ran a step twice: {step:?}"));
        }
    }
    Ok(())
}

//! Guards against a group that stops because its decider receives no progress
//! reports.
//!
//! Load: the decider's instance was frozen and replaced. It resumes with its
//! claim still current, while the new instance beside it has attached as the
//! rank. Effect: no attached engine is local to the decider, which would see no
//! progress and stop granting steps. Policy: one rank reports its progress over a
//! link too.

use egretstage_group::{
    Decider, DeciderLimits, EngineCall, Output, Peer, PeerLink, PeriodicMaps, RankGate,
};
use egretstage_standins::rank_engine::{MapSelection, RankEngine, RankEngineOptions, StepBarrier};
use egretstage_wire::{EngineBoot, Fence, RankIndex};
use std::time::{Duration, Instant};

const RANKS: u16 = 2;
const HORIZON_STEPS: u64 = 25;
const HEARTBEAT: Duration = Duration::from_millis(100);
const MAP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of steps that the engines try to run between two heartbeats.
const ENGINE_TICKS_PER_HEARTBEAT: usize = 10;

/// A rank that is connected to the decider only over a link.
struct RemoteRank {
    gate: RankGate,
    engine: RankEngine,
}

impl RemoteRank {
    fn new(rank: u16) -> Self {
        let options = RankEngineOptions {
            rank,
            ranks: RANKS,
            map_selection: MapSelection::Granted,
            checks_fences: false,
        };
        Self {
            gate: RankGate::new(RankIndex(rank), Duration::from_secs(1)),
            engine: RankEngine::new(options, EngineBoot(u64::from(rank) + 1)),
        }
    }
}

/// A decider without a local rank, with remote ranks and their engines.
struct Simulation {
    now: Instant,
    decider: Decider,
    ranks: Vec<RemoteRank>,
    barrier: StepBarrier,
    step_count: usize,
}

impl Simulation {
    fn start() -> Self {
        let now = Instant::now();
        let limits = DeciderLimits {
            ranks: RANKS,
            horizon_steps: HORIZON_STEPS,
            heartbeat: HEARTBEAT,
        };
        let source = Box::new(PeriodicMaps::new(MAP_INTERVAL));
        let mut out = Vec::new();
        let decider = Decider::new(now, Fence(1), limits, source, None, &mut out);
        let mut simulation = Self {
            now,
            decider,
            ranks: (0..RANKS).map(RemoteRank::new).collect(),
            barrier: StepBarrier::default(),
            step_count: 0,
        };
        simulation.apply_outputs(out, 0);
        for rank in 0..simulation.ranks.len() {
            let mut out = Vec::new();
            let peer = Some(link(rank));
            simulation.ranks[rank].gate.set_decider(now, peer, &mut out);
            simulation.apply_outputs(out, rank);
        }
        simulation
    }

    /// Carries out the outputs of the decider or of the gate of rank `from`.
    fn apply_outputs(&mut self, outputs: Vec<Output>, from: usize) {
        for output in outputs {
            let mut next = Vec::new();
            let mut rank = from;
            match output {
                Output::ToRank(Peer::Link(PeerLink(to)), frame) => {
                    rank = usize::try_from(to).expect("a rank");
                    let gate = &mut self.ranks[rank].gate;
                    gate.handle_frame(self.now, link(rank), frame, &mut next);
                }
                Output::ToDecider(_, frame) => {
                    let peer = link(from);
                    assert!(self.decider.handle_frame(self.now, peer, frame, &mut next));
                }
                Output::CallEngine(call) => self.call_engine(rank, call, &mut next),
                Output::ToRank(Peer::Local, _) | Output::Log(_) => {}
            }
            self.apply_outputs(next, rank);
        }
    }

    fn call_engine(&mut self, rank: usize, call: EngineCall, next: &mut Vec<Output>) {
        let mut executed = Vec::new();
        let RemoteRank { gate, engine } = &mut self.ranks[rank];
        let reply = engine.handle_call(call, &self.barrier, &mut executed);
        self.step_count += executed.len();
        gate.handle_call_result(self.now, Ok(reply), next);
    }

    fn run_heartbeat(&mut self) {
        self.now += HEARTBEAT;
        let mut out = Vec::new();
        self.decider.wake(self.now, &mut out);
        self.apply_outputs(out, 0);
        let mut executed = Vec::new();
        for _ in 0..ENGINE_TICKS_PER_HEARTBEAT {
            for rank in &mut self.ranks {
                rank.engine.tick(&mut self.barrier, &mut executed);
            }
        }
        self.step_count += executed.len();
    }
}

fn link(rank: usize) -> Peer {
    Peer::Link(PeerLink(rank as u64))
}

#[test]
fn grants_continue_when_no_attached_engine_is_local() {
    let mut simulation = Simulation::start();
    for _ in 0..50 {
        simulation.run_heartbeat();
    }
    let max_steps_without_progress =
        2 * usize::try_from(HORIZON_STEPS).expect("small") * usize::from(RANKS);
    assert!(
        simulation.step_count > 4 * max_steps_without_progress,
        "the group stopped after {} steps of its ranks",
        simulation.step_count
    );
}

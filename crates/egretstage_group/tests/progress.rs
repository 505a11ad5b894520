//! A decider whose own engine has no place in the group still hears of steps.
//!
//! Load pattern: the decider's instance was frozen and replaced; it wakes with
//! its claim standing, while the new instance beside it has taken the rank.

use egretstage_group::{
    Decider, DeciderLimits, EngineCall, Output, Peer, PeerLink, PeriodicMaps, RankGate,
};
use egretstage_standins::rank_engine::{Barrier, Discipline, RankEngine, RankEngineOptions};
use egretstage_wire::{EngineBoot, Fence, RankIndex};
use std::time::{Duration, Instant};

const RANKS: u16 = 2;
const HORIZON: u64 = 25;
const HEARTBEAT: Duration = Duration::from_millis(100);
const MAP_INTERVAL: Duration = Duration::from_millis(500);

/// Steps that the engines try to run between two heartbeats.
const TICKS: usize = 10;

/// A rank that reaches the decider over a link alone.
struct RemoteRank {
    gate: RankGate,
    engine: RankEngine,
}

impl RemoteRank {
    fn new(rank: u16) -> Self {
        let options = RankEngineOptions {
            rank,
            ranks: RANKS,
            discipline: Discipline::Granted,
            checks_fences: false,
        };
        Self {
            gate: RankGate::new(RankIndex(rank), Duration::from_secs(1)),
            engine: RankEngine::new(options, EngineBoot(u64::from(rank) + 1)),
        }
    }
}

struct World {
    now: Instant,
    decider: Decider,
    ranks: Vec<RemoteRank>,
    barrier: Barrier,
    steps: usize,
}

impl World {
    fn start() -> Self {
        let now = Instant::now();
        let limits = DeciderLimits {
            ranks: RANKS,
            horizon_steps: HORIZON,
            heartbeat: HEARTBEAT,
        };
        let source = Box::new(PeriodicMaps::new(MAP_INTERVAL));
        let mut out = Vec::new();
        let decider = Decider::new(now, Fence(1), limits, source, None, &mut out);
        let mut world = Self {
            now,
            decider,
            ranks: (0..RANKS).map(RemoteRank::new).collect(),
            barrier: Barrier::default(),
            steps: 0,
        };
        world.route(out, 0);
        for rank in 0..world.ranks.len() {
            let mut out = Vec::new();
            let peer = Some(link(rank));
            world.ranks[rank].gate.set_decider(now, peer, &mut out);
            world.route(out, rank);
        }
        world
    }

    /// Carries out what the decider, or the gate of a rank, asked for.
    fn route(&mut self, outputs: Vec<Output>, from: usize) {
        for output in outputs {
            let mut next = Vec::new();
            let mut rank = from;
            match output {
                Output::ToRank(Peer::Link(PeerLink(to)), frame) => {
                    rank = usize::try_from(to).expect("a rank");
                    let gate = &mut self.ranks[rank].gate;
                    gate.frame(self.now, link(rank), frame, &mut next);
                }
                Output::ToDecider(_, frame) => {
                    let peer = link(from);
                    assert!(self.decider.frame(self.now, peer, frame, &mut next));
                }
                Output::CallEngine(call) => self.call(rank, call, &mut next),
                Output::ToRank(Peer::Local, _) | Output::Log(_) => {}
            }
            self.route(next, rank);
        }
    }

    fn call(&mut self, rank: usize, call: EngineCall, next: &mut Vec<Output>) {
        let mut ran = Vec::new();
        let RemoteRank { gate, engine } = &mut self.ranks[rank];
        let reply = engine.call(call, &self.barrier, &mut ran);
        self.steps += ran.len();
        gate.engine_done(self.now, Ok(reply), next);
    }

    fn heartbeat(&mut self) {
        self.now += HEARTBEAT;
        let mut out = Vec::new();
        self.decider.wake(self.now, &mut out);
        self.route(out, 0);
        let mut ran = Vec::new();
        for _ in 0..TICKS {
            for rank in &mut self.ranks {
                rank.engine.tick(&mut self.barrier, &mut ran);
            }
        }
        self.steps += ran.len();
    }
}

fn link(rank: usize) -> Peer {
    Peer::Link(PeerLink(rank as u64))
}

#[test]
fn steps_are_granted_on_when_no_seated_engine_is_local() {
    let mut world = World::start();
    for _ in 0..50 {
        world.heartbeat();
    }
    let most_without_progress = 2 * usize::try_from(HORIZON).expect("small") * usize::from(RANKS);
    assert!(
        world.steps > 4 * most_without_progress,
        "the group stopped after {} steps of its ranks",
        world.steps
    );
}

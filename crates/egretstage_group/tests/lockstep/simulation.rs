//! Simulation of one group in virtual time: members, engines, links and the log.

use crate::faults::Fault;
use crate::limits::{Limits, Metrics};
use egretstage_group::prelude::*;
use egretstage_runtime::Reducer;
use egretstage_standins::rank_engine::{
    ExecutedStep, MapSelection, RankEngine, RankEngineOptions, StepBarrier,
};
use egretstage_standins::rank_group::check_steps;
use egretstage_wire::EngineBoot;
use egretstage_wire::{Incarnation, InstanceId, RankIndex};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two ticks of an engine.
pub(crate) const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Port of node 0; each further node has the next one.
pub(crate) const FIRST_PORT: u16 = 1_000;
/// Shortest delay of a message or call.
pub(crate) const MIN_DELAY: Duration = Duration::from_micros(200);
/// Silence after which a dial fails or the links of a frozen node end.
pub(crate) const LINK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an engine call without a reply ends.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time from the kill of a member to its restart.
pub(crate) const RESTART_DELAY: Duration = Duration::from_millis(400);

/// An event of the queue.
#[derive(Debug)]
pub(crate) enum Event {
    /// Wakes a run of the member of a node.
    Wake(usize, u64),
    /// Delivers an event to a run of the member of a node.
    Member(usize, u64, MemberEvent),
    /// Lets an engine try to run its next step.
    EngineTick(usize),
    /// Delivers a call to an engine, from a run of the member of a node; the flag
    /// says whether the reply is delivered.
    EngineCall(usize, usize, u64, EngineCall, bool),
    /// Ends the freeze of a node.
    Thaw(usize),
    /// Ends an outage of the log.
    LogUp,
    /// Restarts the member of a node.
    Restart(usize),
    Fault(Fault),
}

/// A node with the member of one rank.
pub(crate) struct Node {
    pub(crate) member: Option<GroupMember>,
    /// Number of starts of the member; events for earlier runs are dropped.
    pub(crate) run_id: u64,
    pub(crate) frozen_until: Instant,
    pub(crate) wake_at: Option<Instant>,
}

/// Faults of the network.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    /// Longest delay of a message, in addition to [`MIN_DELAY`].
    pub(crate) max_delay: Duration,
    /// Share of messages that are lost.
    pub(crate) loss_percent: u32,
    /// Share of messages that arrive twice.
    pub(crate) duplicate_percent: u32,
}

pub(crate) fn to_u16(number: usize) -> u16 {
    u16::try_from(number).expect("few ranks")
}

/// One simulated group with its engines, its links and its log.
pub(crate) struct Simulation {
    pub(crate) ranks: usize,
    pub(crate) limits: Limits,
    pub(crate) metrics: Metrics,
    pub(crate) now: Instant,
    /// Number of events scheduled, which orders those of the same time.
    pub(crate) sequence: u64,
    pub(crate) events: BTreeMap<(Instant, u64), Event>,
    pub(crate) nodes: Vec<Node>,
    /// All engines ever started; `engine_of` has the current one of each rank.
    pub(crate) engines: Vec<RankEngine>,
    /// Time until which each engine is frozen.
    pub(crate) engine_frozen: Vec<Instant>,
    pub(crate) engine_of: Vec<usize>,
    pub(crate) barrier: StepBarrier,
    pub(crate) executed_steps: Vec<ExecutedStep>,
    /// The open links, with the nodes that dialed and accepted them.
    pub(crate) links: HashMap<PeerLink, (usize, usize)>,
    pub(crate) next_link: u64,
    pub(crate) log: Vec<ClaimRecord>,
    pub(crate) log_down: bool,
    /// Kind and remaining number of frames after which their sender is killed.
    pub(crate) kill_trigger: Option<(&'static str, u32)>,
    pub(crate) network: Network,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) map_selection: MapSelection,
    pub(crate) checks_fences: bool,
    pub(crate) last_boot: u64,
    /// Number of map switches that deciders have scheduled.
    pub(crate) switches: usize,
}

impl Simulation {
    pub(crate) fn new(
        ranks: usize,
        network: Network,
        seed: u64,
        engine_kind: (MapSelection, bool),
    ) -> Self {
        Self::with_limits(ranks, network, seed, engine_kind, Limits::default())
    }

    pub(crate) fn with_limits(
        ranks: usize,
        network: Network,
        seed: u64,
        engine_kind: (MapSelection, bool),
        limits: Limits,
    ) -> Self {
        let now = Instant::now();
        let mut simulation = Self {
            ranks,
            limits,
            metrics: Metrics::default(),
            now,
            sequence: 0,
            events: BTreeMap::new(),
            nodes: Vec::new(),
            engines: Vec::new(),
            engine_frozen: Vec::new(),
            engine_of: Vec::new(),
            barrier: StepBarrier::default(),
            executed_steps: Vec::new(),
            links: HashMap::new(),
            next_link: 0,
            log: Vec::new(),
            log_down: false,
            kill_trigger: None,
            network,
            rng: ChaCha8Rng::seed_from_u64(seed),
            map_selection: engine_kind.0,
            checks_fences: engine_kind.1,
            last_boot: 0,
            switches: 0,
        };
        for rank in 0..ranks {
            simulation.nodes.push(Node {
                member: None,
                run_id: 0,
                frozen_until: now,
                wake_at: None,
            });
            simulation.engine_of.push(0);
            simulation.start_engine(rank, ranks);
            simulation.start_member(rank);
        }
        simulation
    }

    pub(crate) fn schedule_faults(&mut self, faults: &[(u64, Fault)]) {
        for (ms, fault) in faults {
            self.schedule(Duration::from_millis(*ms), Event::Fault(*fault));
        }
    }

    /// Ends the faults of the network.
    pub(crate) fn end_network_faults(&mut self) {
        self.kill_trigger = None;
        self.network = Network {
            max_delay: Duration::from_millis(2),
            loss_percent: 0,
            duplicate_percent: 0,
        };
    }

    /// Handles all events of the next `duration`.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the highest step that a rank has run.
    pub(crate) fn steps(&self) -> u64 {
        self.executed_steps
            .iter()
            .map(|executed| executed.step.0)
            .max()
            .unwrap_or(0)
    }

    /// Checks that no rank runs a step twice, that all ranks use the same map in
    /// every step, and that the fencing numbers of an engine's orders never
    /// decrease.
    pub(crate) fn check_invariants(&self) -> Result<(), String> {
        check_steps(&self.executed_steps)?;
        for engine in &self.engines {
            let fences = engine.order_fences();
            if !fences.is_sorted() {
                return Err(format!("fencing numbers of orders decrease: {fences:?}"));
            }
        }
        Ok(())
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    /// Returns true with a probability of `percent`.
    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub(crate) fn random_delay(&mut self) -> Duration {
        MIN_DELAY
            + self
                .rng
                .random_range(Duration::ZERO..=self.network.max_delay)
    }

    /// Starts a new engine for a rank.
    pub(crate) fn start_engine(&mut self, rank: usize, ranks: usize) {
        self.last_boot += 1;
        let options = RankEngineOptions {
            rank: to_u16(rank),
            ranks: to_u16(ranks),
            map_selection: self.map_selection,
            checks_fences: self.checks_fences,
        };
        let engine = RankEngine::new(options, EngineBoot(self.last_boot));
        self.engine_of[rank] = self.engines.len();
        self.engines.push(engine);
        self.engine_frozen.push(self.now);
        self.schedule(STEP_INTERVAL, Event::EngineTick(self.engines.len() - 1));
    }

    /// Starts a new run of the member of a node.
    pub(crate) fn start_member(&mut self, node: usize) {
        self.nodes[node].run_id += 1;
        let run_id = self.nodes[node].run_id;
        let settings = MemberSettings {
            instance: InstanceId::try_from(format!("r{node}").as_str()).expect("a name"),
            incarnation: Incarnation(node as u64 * 1_000 + run_id),
            address: SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + to_u16(node))),
            rank: RankIndex(to_u16(node)),
            claims: self.limits.claims,
            decider: DeciderLimits {
                ranks: to_u16(self.ranks),
                horizon_steps: self.limits.horizon_steps,
                heartbeat: self.limits.heartbeat,
            },
            loads_on_takeover: vec!["draft-1".into()],
        };
        let interval = self.limits.map_interval;
        let source = move || Box::new(PeriodicMaps::new(interval)) as Box<dyn MapSource>;
        self.nodes[node].member = Some(GroupMember::new(self.now, settings, Box::new(source)));
        self.schedule(Duration::ZERO, Event::Wake(node, run_id));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(node, run_id) if self.is_frozen(node) => {
                self.defer(node, Event::Wake(node, run_id));
            }
            Event::Wake(node, run_id) => self.run_member(node, run_id, None),
            Event::Member(node, run_id, event) if self.is_frozen(node) => {
                self.defer(node, Event::Member(node, run_id, event));
            }
            Event::Member(_, _, MemberEvent::Frame { link, .. })
                if !self.links.contains_key(&link) => {}
            Event::Member(node, run_id, event) => self.run_member(node, run_id, Some(event)),
            Event::EngineTick(engine) => {
                if self.engine_frozen[engine] <= self.now {
                    self.engines[engine].tick(&mut self.barrier, &mut self.executed_steps);
                }
                self.schedule(STEP_INTERVAL, Event::EngineTick(engine));
            }
            Event::EngineCall(engine, node, run_id, call, deliver_reply) => {
                if self.engine_frozen[engine] > self.now {
                    let wait = self.engine_frozen[engine] - self.now;
                    self.schedule(wait, Event::EngineCall(engine, node, run_id, call, false));
                    let no_reply = MemberEvent::EngineCallEnded(Err(NoEngineReply));
                    if deliver_reply {
                        self.schedule(CALL_TIMEOUT, Event::Member(node, run_id, no_reply));
                    }
                    return;
                }
                let reply =
                    self.engines[engine].handle_call(call, &self.barrier, &mut self.executed_steps);
                let delay = self.random_delay();
                if deliver_reply {
                    self.schedule(
                        delay,
                        Event::Member(node, run_id, MemberEvent::EngineCallEnded(Ok(reply))),
                    );
                }
            }
            Event::Thaw(node) => self.nodes[node].frozen_until = self.now,
            Event::LogUp => self.log_down = false,
            Event::Restart(node) if self.nodes[node].member.is_none() => self.start_member(node),
            Event::Restart(_) => {}
            Event::Fault(fault) => self.inject_fault(fault),
        }
    }

    pub(crate) fn is_frozen(&self, node: usize) -> bool {
        self.nodes[node].frozen_until > self.now
    }

    /// Schedules an event for the time when a frozen node thaws.
    fn defer(&mut self, node: usize, event: Event) {
        let wait = self.nodes[node].frozen_until - self.now;
        self.schedule(wait, event);
    }

    /// Passes an event, or a wake-up, to a run of a member and applies its effects.
    fn run_member(&mut self, node: usize, run_id: u64, event: Option<MemberEvent>) {
        let mut fx = Vec::new();
        let (now, target) = (self.now, &mut self.nodes[node]);
        let Some(member) = target.member.as_mut().filter(|_| target.run_id == run_id) else {
            return;
        };
        match event {
            Some(event) => member.reduce(now, event, &mut fx),
            None => member.wake(now, &mut fx),
        }
        let next = member.next_wake();
        if next != target.wake_at || next.is_some_and(|at| at <= now) {
            target.wake_at = next;
            let after = next.map_or(STEP_INTERVAL, |at| at.saturating_duration_since(now));
            self.schedule(
                after.max(Duration::from_millis(1)),
                Event::Wake(node, run_id),
            );
        }
        for effect in fx {
            if !self.apply_effect(node, run_id, effect) {
                return;
            }
        }
    }

    /// Applies an effect and returns whether the target is still alive.
    fn apply_effect(&mut self, node: usize, run_id: u64, effect: MemberEffect) -> bool {
        match effect {
            MemberEffect::Send { link, frame } => return self.send(node, link, &frame),
            MemberEffect::Close(link) => self.end_link(link),
            MemberEffect::Dial(address) => self.dial(node, run_id, address),
            MemberEffect::ReadClaims(from) => {
                self.metrics.reads += 1;
                self.read_claims(node, run_id, from);
            }
            MemberEffect::AppendClaim(record) => {
                self.metrics.appends += 1;
                if !self.log_down && !self.chance(self.network.loss_percent) {
                    self.log.push(record);
                }
                let delay = self.random_delay();
                self.schedule(delay, Event::Member(node, run_id, MemberEvent::AppendEnded));
            }
            MemberEffect::CallEngine(call) => {
                let (engine, delay) = (self.engine_of[node], self.random_delay());
                if self.chance(self.network.loss_percent) {
                    let no_reply = MemberEvent::EngineCallEnded(Err(NoEngineReply));
                    self.schedule(CALL_TIMEOUT, Event::Member(node, run_id, no_reply));
                    if self.chance(50) {
                        self.schedule(delay, Event::EngineCall(engine, node, run_id, call, false));
                    }
                } else {
                    self.schedule(delay, Event::EngineCall(engine, node, run_id, call, true));
                }
            }
            MemberEffect::Log(decision) => {
                self.switches += usize::from(matches!(decision, GroupDecision::Switch { .. }));
            }
        }
        true
    }

    /// Reads the claims for a member, starting at offset `from`.
    fn read_claims(&mut self, node: usize, run_id: u64, from: u64) {
        let event = if self.log_down || self.chance(self.network.loss_percent) {
            MemberEvent::ClaimsReadFailed
        } else {
            let skip = usize::try_from(from).expect("a short log") - 1;
            let records = self.log.iter().enumerate().skip(skip);
            MemberEvent::ClaimsRead {
                first: 1,
                entries: records
                    .map(|(i, record)| ClaimEntry {
                        offset: i as u64 + 1,
                        record: Some(record.clone()),
                    })
                    .collect(),
            }
        };
        let delay = self.random_delay();
        self.schedule(delay, Event::Member(node, run_id, event));
    }
}

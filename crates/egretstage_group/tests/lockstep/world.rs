//! Members, engines, links and the log of one group in virtual time.

use crate::faults::Fault;
use crate::limits::{Limits, Sent};
use egretstage_group::prelude::*;
use egretstage_runtime::Reducer;
use egretstage_standins::rank_engine::{
    Barrier, Discipline, RanStep, RankEngine, RankEngineOptions,
};
use egretstage_standins::rank_group::check_steps;
use egretstage_wire::EngineBoot;
use egretstage_wire::{Incarnation, InstanceId, RankIndex};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub(crate) const STEP: Duration = Duration::from_millis(20);
pub(crate) const FIRST_PORT: u16 = 1_000;
pub(crate) const FASTEST: Duration = Duration::from_micros(200);
pub(crate) const LINK_SILENCE: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
pub(crate) const RESTART: Duration = Duration::from_millis(400);

#[derive(Debug)]
pub(crate) enum Event {
    Wake(usize, u64),
    Member(usize, u64, MemberEvent),
    EngineTick(usize),
    EngineCall(usize, usize, u64, EngineCall, bool),
    Thaw(usize),
    LogUp,
    Restart(usize),
    Fault(Fault),
}

pub(crate) struct Node {
    pub(crate) member: Option<GroupMember>,
    pub(crate) life: u64,
    pub(crate) frozen_until: Instant,
    pub(crate) wake_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    /// Longest delay of a message.
    pub(crate) delay: Duration,
    /// Share of messages that are lost, in percent.
    pub(crate) loss: u32,
    /// Share of messages that arrive twice, in percent.
    pub(crate) repeats: u32,
}

pub(crate) fn index(n: usize) -> u16 {
    u16::try_from(n).expect("few ranks")
}

pub(crate) struct World {
    pub(crate) ranks: usize,
    pub(crate) limits: Limits,
    pub(crate) sent: Sent,
    pub(crate) now: Instant,
    pub(crate) sequence: u64,
    pub(crate) events: BTreeMap<(Instant, u64), Event>,
    pub(crate) nodes: Vec<Node>,
    /// All engines ever started; a rank's present one is in `engine_of`.
    pub(crate) engines: Vec<RankEngine>,
    pub(crate) engine_frozen: Vec<Instant>,
    pub(crate) engine_of: Vec<usize>,
    pub(crate) barrier: Barrier,
    pub(crate) ran: Vec<RanStep>,
    pub(crate) links: HashMap<PeerLink, (usize, usize)>,
    pub(crate) next_link: u64,
    pub(crate) log: Vec<ClaimRecord>,
    pub(crate) log_down: bool,
    pub(crate) armed: Option<(&'static str, u32)>,
    pub(crate) network: Network,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) discipline: Discipline,
    pub(crate) checks_fences: bool,
    pub(crate) boots: u64,
    pub(crate) switches: usize,
}

impl World {
    pub(crate) fn new(ranks: usize, network: Network, seed: u64, kind: (Discipline, bool)) -> Self {
        Self::with_limits(ranks, network, seed, kind, Limits::default())
    }

    pub(crate) fn with_limits(
        ranks: usize,
        network: Network,
        seed: u64,
        kind: (Discipline, bool),
        limits: Limits,
    ) -> Self {
        let now = Instant::now();
        let mut world = Self {
            ranks,
            limits,
            sent: Sent::default(),
            now,
            sequence: 0,
            events: BTreeMap::new(),
            nodes: Vec::new(),
            engines: Vec::new(),
            engine_frozen: Vec::new(),
            engine_of: Vec::new(),
            barrier: Barrier::default(),
            ran: Vec::new(),
            links: HashMap::new(),
            next_link: 0,
            log: Vec::new(),
            log_down: false,
            armed: None,
            network,
            rng: ChaCha8Rng::seed_from_u64(seed),
            discipline: kind.0,
            checks_fences: kind.1,
            boots: 0,
            switches: 0,
        };
        for rank in 0..ranks {
            world.nodes.push(Node {
                member: None,
                life: 0,
                frozen_until: now,
                wake_at: None,
            });
            world.engine_of.push(0);
            world.start_engine(rank, ranks);
            world.start(rank);
        }
        world
    }

    pub(crate) fn script(&mut self, faults: &[(u64, Fault)]) {
        for (ms, fault) in faults {
            self.at(Duration::from_millis(*ms), Event::Fault(*fault));
        }
    }

    /// Ends all faults of the network.
    pub(crate) fn calm(&mut self) {
        self.armed = None;
        self.network = Network {
            delay: Duration::from_millis(2),
            loss: 0,
            repeats: 0,
        };
    }

    pub(crate) fn run(&mut self, by: Duration) {
        let end = self.now + by;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns how many steps all ranks have run.
    pub(crate) fn steps(&self) -> u64 {
        self.ran.iter().map(|ran| ran.step.0).max().unwrap_or(0)
    }

    /// Checks what must always hold.
    pub(crate) fn check(&self) -> Result<(), String> {
        check_steps(&self.ran)?;
        for engine in &self.engines {
            let fences = engine.order_fences();
            if !fences.is_sorted() {
                return Err(format!("orders {fences:?}"));
            }
        }
        Ok(())
    }

    pub(crate) fn at(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub(crate) fn delay(&mut self) -> Duration {
        FASTEST + self.rng.random_range(Duration::ZERO..=self.network.delay)
    }

    pub(crate) fn start_engine(&mut self, rank: usize, ranks: usize) {
        self.boots += 1;
        let options = RankEngineOptions {
            rank: index(rank),
            ranks: index(ranks),
            discipline: self.discipline,
            checks_fences: self.checks_fences,
        };
        let engine = RankEngine::new(options, EngineBoot(self.boots));
        self.engine_of[rank] = self.engines.len();
        self.engines.push(engine);
        self.engine_frozen.push(self.now);
        self.at(STEP, Event::EngineTick(self.engines.len() - 1));
    }

    pub(crate) fn start(&mut self, n: usize) {
        self.nodes[n].life += 1;
        let life = self.nodes[n].life;
        let settings = MemberSettings {
            instance: InstanceId::try_from(format!("r{n}").as_str()).expect("a name"),
            incarnation: Incarnation(n as u64 * 1_000 + life),
            address: SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index(n))),
            rank: RankIndex(index(n)),
            claims: self.limits.claims,
            decider: DeciderLimits {
                ranks: index(self.ranks),
                horizon_steps: self.limits.horizon_steps,
                heartbeat: self.limits.heartbeat,
            },
            loads_on_takeover: vec!["draft-1".into()],
        };
        let interval = self.limits.map_interval;
        let source = move || Box::new(PeriodicMaps::new(interval)) as Box<dyn MapSource>;
        self.nodes[n].member = Some(GroupMember::new(self.now, settings, Box::new(source)));
        self.at(Duration::ZERO, Event::Wake(n, life));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(n, life) if self.is_frozen(n) => self.defer(n, Event::Wake(n, life)),
            Event::Wake(n, life) => self.step(n, life, None),
            Event::Member(n, life, event) if self.is_frozen(n) => {
                self.defer(n, Event::Member(n, life, event));
            }
            Event::Member(_, _, MemberEvent::Frame { link, .. })
                if !self.links.contains_key(&link) => {}
            Event::Member(n, life, event) => self.step(n, life, Some(event)),
            Event::EngineTick(e) => {
                if self.engine_frozen[e] <= self.now {
                    self.engines[e].tick(&mut self.barrier, &mut self.ran);
                }
                self.at(STEP, Event::EngineTick(e));
            }
            Event::EngineCall(e, n, life, call, answers) => {
                if self.engine_frozen[e] > self.now {
                    let wait = self.engine_frozen[e] - self.now;
                    self.at(wait, Event::EngineCall(e, n, life, call, false));
                    let silent = MemberEvent::EngineCallEnded(Err(NoEngineReply));
                    if answers {
                        self.at(CALL_TIMEOUT, Event::Member(n, life, silent));
                    }
                    return;
                }
                let reply = self.engines[e].call(call, &self.barrier, &mut self.ran);
                let delay = self.delay();
                if answers {
                    self.at(
                        delay,
                        Event::Member(n, life, MemberEvent::EngineCallEnded(Ok(reply))),
                    );
                }
            }
            Event::Thaw(n) => self.nodes[n].frozen_until = self.now,
            Event::LogUp => self.log_down = false,
            Event::Restart(n) if self.nodes[n].member.is_none() => self.start(n),
            Event::Restart(_) => {}
            Event::Fault(fault) => self.fault(fault),
        }
    }

    pub(crate) fn is_frozen(&self, n: usize) -> bool {
        self.nodes[n].frozen_until > self.now
    }

    fn defer(&mut self, n: usize, event: Event) {
        let wait = self.nodes[n].frozen_until - self.now;
        self.at(wait, event);
    }

    fn step(&mut self, n: usize, life: u64, event: Option<MemberEvent>) {
        let mut fx = Vec::new();
        let (now, node) = (self.now, &mut self.nodes[n]);
        let Some(member) = node.member.as_mut().filter(|_| node.life == life) else {
            return;
        };
        match event {
            Some(event) => member.reduce(now, event, &mut fx),
            None => member.wake(now, &mut fx),
        }
        let next = member.next_wake();
        if next != node.wake_at || next.is_some_and(|at| at <= now) {
            node.wake_at = next;
            let after = next.map_or(STEP, |at| at.saturating_duration_since(now));
            self.at(after.max(Duration::from_millis(1)), Event::Wake(n, life));
        }
        for effect in fx {
            if !self.carry_out(n, life, effect) {
                return;
            }
        }
    }

    /// Returns whether the node is still alive.
    fn carry_out(&mut self, n: usize, life: u64, effect: MemberEffect) -> bool {
        match effect {
            MemberEffect::Send { link, frame } => return self.send(n, link, &frame),
            MemberEffect::Close(link) => self.end_link(link),
            MemberEffect::Dial(address) => self.dial(n, life, address),
            MemberEffect::ReadClaims(from) => {
                self.sent.reads += 1;
                self.read(n, life, from);
            }
            MemberEffect::AppendClaim(record) => {
                self.sent.appends += 1;
                if !self.log_down && !self.chance(self.network.loss) {
                    self.log.push(record);
                }
                let delay = self.delay();
                self.at(delay, Event::Member(n, life, MemberEvent::AppendEnded));
            }
            MemberEffect::CallEngine(call) => {
                let (e, delay) = (self.engine_of[n], self.delay());
                if self.chance(self.network.loss) {
                    let silent = MemberEvent::EngineCallEnded(Err(NoEngineReply));
                    self.at(CALL_TIMEOUT, Event::Member(n, life, silent));
                    if self.chance(50) {
                        self.at(delay, Event::EngineCall(e, n, life, call, false));
                    }
                } else {
                    self.at(delay, Event::EngineCall(e, n, life, call, true));
                }
            }
            MemberEffect::Log(entry) => {
                self.switches += usize::from(matches!(entry, GroupDecision::Switch { .. }));
            }
        }
        true
    }

    fn read(&mut self, n: usize, life: u64, from: u64) {
        let event = if self.log_down || self.chance(self.network.loss) {
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
        let delay = self.delay();
        self.at(delay, Event::Member(n, life, event));
    }
}

//! Simulates companions, entries and a log in virtual time.

mod node;

use egretstage_once::{KeyDigest, KeyOwnerLimits, OwnerSet, OwnersAction, OwnersRecord};
use egretstage_wire::{Epoch, Incarnation, InstanceId, Member};
use node::{Node, Reply};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const NODE_COUNT: usize = 3;
const ENTRY_COUNT: usize = 2;
const KEY_COUNT: u64 = 6;

/// Longest virtual time of one step.
const MAX_STEP_DURATION: Duration = Duration::from_millis(40);

/// Longest delivery time of a message.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(120);

/// Longest time for which a node can't read the log or an entry ignores new
/// owners.
const MAX_OUTAGE: Duration = Duration::from_secs(6);

/// Longest time for which a node is suspended.
const MAX_SUSPENSION: Duration = Duration::from_millis(900);

/// Limits of all owners; short, so that keys expire within a simulation.
pub(crate) const LIMITS: KeyOwnerLimits = KeyOwnerLimits {
    window: Duration::from_secs(2),
    longest_budget: Duration::from_millis(500),
    lease: Duration::from_millis(300),
    max_keys: 64,
    refresh_interval: Duration::from_secs(5),
};

/// The protection mechanisms that are enabled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mechanisms {
    /// Without it, calls may run while the log can't be read.
    pub(crate) lease: bool,
    /// Without it, window and longest budget are zero, so that an embargo lasts
    /// one lease.
    pub(crate) embargo: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            lease: true,
            embargo: true,
        }
    }
}

/// A call with a key that an entry sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Call {
    pub(crate) id: usize,
    pub(crate) key: u64,
    pub(crate) epoch: Epoch,
    pub(crate) recall: bool,
    pub(crate) deadline: Instant,
}

/// A run that an upstream started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamRun {
    pub(crate) key: u64,
    pub(crate) call: usize,
    pub(crate) start: Instant,
    pub(crate) end: Instant,
}

/// The outcome that a caller received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The call got the answer of the run with this index.
    Completed(usize),
    NotRun,
    Unknown,
}

/// Number of calls by outcome.
#[derive(Debug, Default)]
pub(crate) struct OutcomeCounts {
    pub(crate) completed: usize,
    pub(crate) not_run: usize,
    pub(crate) unknown: usize,
    /// Completed calls that got the answer of another call's run.
    pub(crate) joined: usize,
}

/// A message in transit.
enum Message {
    Start {
        node: usize,
        member: Member,
        call: Call,
    },
    Answer {
        call: usize,
        reply: Reply,
    },
    ReadRequest {
        node: usize,
        member: Member,
        requested_at: Instant,
        from: u64,
    },
    ReadAnswer {
        node: usize,
        member: Member,
        requested_at: Instant,
        records: Vec<(u64, OwnersRecord)>,
    },
    AppendRequest {
        node: Option<usize>,
        record: OwnersRecord,
    },
    AppendAnswer {
        node: usize,
        member: Member,
        appended: bool,
    },
    OwnersUpdate {
        entry: usize,
        owners: OwnerSet,
    },
}

/// Companions, entries and a log, and the messages between them.
pub(crate) struct Simulation {
    rng: ChaCha8Rng,
    now: Instant,
    mechanisms: Mechanisms,
    log: Vec<OwnersRecord>,
    log_available: bool,
    /// Until when reads by each node don't reach the log.
    isolated_until: [Instant; NODE_COUNT],
    /// Until when each entry ignores new owners.
    stale_until: [Instant; ENTRY_COUNT],
    nodes: Vec<Node>,
    /// The owners that each entry knows.
    views: Vec<OwnerSet>,
    /// Calls with their entry and outcome.
    calls: Vec<(Call, usize, Option<Outcome>)>,
    upstream_runs: Vec<UpstreamRun>,
    /// Messages in transit, by delivery time and sequence number.
    messages: BTreeMap<(Instant, u64), Message>,
    sequence: u64,
}

impl Simulation {
    /// Runs a simulation with random events and faults for some steps.
    pub(crate) fn run(seed: u64, steps: usize, mechanisms: Mechanisms) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Instant::now();
        let nodes = (0..NODE_COUNT).map(|i| Node::new(member(i, rng.random()), mechanisms));
        let mut simulation = Self {
            nodes: nodes.collect(),
            rng,
            now,
            mechanisms,
            log: Vec::new(),
            log_available: true,
            isolated_until: [now; NODE_COUNT],
            stale_until: [now; ENTRY_COUNT],
            views: vec![OwnerSet::default(); ENTRY_COUNT],
            calls: Vec::new(),
            upstream_runs: Vec::new(),
            messages: BTreeMap::new(),
            sequence: 0,
        };
        for _ in 0..steps {
            simulation.step();
        }
        simulation
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(Duration::ZERO..MAX_STEP_DURATION);
        while let Some(first) = self
            .messages
            .first_entry()
            .filter(|first| first.key().0 <= self.now)
        {
            let message = first.remove();
            self.deliver(message);
        }
        for node in 0..NODE_COUNT {
            self.tick(node);
        }
        match self.rng.random_range(0..100) {
            0..50 => self.send_new_call(),
            50..53 => {
                let until = self.now + self.rng.random_range(Duration::ZERO..MAX_SUSPENSION);
                let node = self.rng.random_range(0..NODE_COUNT);
                self.nodes[node].suspended_until = until;
            }
            53..54 => self.restart(),
            54..55 => self.remove_random_member(),
            55..56 => {
                let node = self.rng.random_range(0..NODE_COUNT);
                self.nodes[node].owner.leave();
            }
            56..57 => self.log_available = !self.log_available,
            57..60 => self.log_available = true,
            60..61 => {
                let node = self.rng.random_range(0..NODE_COUNT);
                self.isolated_until[node] = self.outage_end();
            }
            61..62 => {
                let entry = self.rng.random_range(0..ENTRY_COUNT);
                self.stale_until[entry] = self.outage_end();
            }
            62..63 => self.partition(),
            _ => {}
        }
    }

    /// Isolates a node from the log, lets entry 0 ignore new owners, and has entry 1
    /// remove the node from the owners.
    fn partition(&mut self) {
        let until = self.outage_end();
        let node = self.rng.random_range(0..NODE_COUNT);
        self.isolated_until[node] = until;
        self.stale_until[0] = until;
        let member = self.nodes[node].member.clone();
        self.send_removal(1, member);
    }

    /// Returns a random end of an outage that starts now.
    fn outage_end(&mut self) -> Instant {
        self.now + self.rng.random_range(Duration::ZERO..MAX_OUTAGE)
    }

    /// Returns a random delivery time of a message that is sent now.
    fn delivery_time(&mut self) -> Instant {
        self.now + self.rng.random_range(Duration::ZERO..MAX_MESSAGE_DELAY)
    }

    fn send(&mut self, message: Message) {
        self.sequence += 1;
        let at = (self.delivery_time(), self.sequence);
        self.messages.insert(at, message);
    }

    fn send_new_call(&mut self) {
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let id = self.calls.len();
        let call = Call {
            id,
            key: self.rng.random_range(0..KEY_COUNT),
            epoch: self.views[entry].epoch(),
            recall: false,
            deadline: self.now + LIMITS.longest_budget,
        };
        self.calls.push((call, entry, None));
        match self.owner_of(entry, call.key) {
            Some(node) => self.send_start(node, call),
            None => self.end_call(id, Outcome::NotRun),
        }
    }

    fn owner_of(&self, entry: usize, key: u64) -> Option<usize> {
        let owner = self.views[entry].owner(digest(key))?;
        self.nodes
            .iter()
            .position(|node| node.member.instance == owner.instance)
    }

    /// Sends a call to a node; the message may be lost or duplicated.
    fn send_start(&mut self, node: usize, call: Call) {
        let copies = match self.rng.random_range(0..20) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let member = self.nodes[node].member.clone();
            self.send(Message::Start { node, member, call });
        }
    }

    /// Ends a call with an outcome unless it has ended.
    fn end_call(&mut self, call: usize, outcome: Outcome) {
        self.calls[call].2.get_or_insert(outcome);
    }

    /// Delivers a message; one for a suspended node waits until it resumes.
    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Start { node, .. } | Message::ReadAnswer { node, .. }
                if self.nodes[node].suspended_until > now =>
            {
                let at = (self.nodes[node].suspended_until, self.sequence);
                self.sequence += 1;
                self.messages.insert(at, message);
            }
            Message::Start { node, member, call } => {
                if self.nodes[node].member == member {
                    self.nodes[node].start(now, call);
                }
            }
            Message::Answer { call, reply } => self.answered(call, reply),
            Message::ReadRequest {
                node,
                member,
                requested_at,
                from,
            } if self.log_available && self.isolated_until[node] <= now => {
                let records = self
                    .log
                    .iter()
                    .enumerate()
                    .map(|(i, r)| (i as u64 + 1, r.clone()));
                let records = records.filter(|(offset, _)| *offset >= from).collect();
                self.send(Message::ReadAnswer {
                    node,
                    member,
                    requested_at,
                    records,
                });
            }
            Message::ReadRequest { .. } => {}
            Message::ReadAnswer {
                node,
                member,
                requested_at,
                records,
            } => {
                if self.nodes[node].member == member {
                    self.nodes[node].read_answered(now, requested_at, &records);
                }
            }
            Message::AppendRequest { node, record } => self.append(node, record),
            Message::AppendAnswer {
                node,
                member,
                appended,
            } => {
                if self.nodes[node].member == member {
                    self.nodes[node].owner.append_answered(now, appended);
                }
            }
            Message::OwnersUpdate { entry, owners } => {
                let is_stale = self.stale_until[entry] > now;
                if !is_stale && owners.epoch() > self.views[entry].epoch() {
                    self.views[entry] = owners;
                }
            }
        }
    }

    /// Appends a record to the log; the answer may be lost.
    fn append(&mut self, node: Option<usize>, record: OwnersRecord) {
        let member = record.member.clone();
        let appended = self.log_available;
        if appended {
            self.log.push(record);
        }
        let lost = self.rng.random_range(0..5) == 0;
        if let Some(node) = node.filter(|_| !lost) {
            self.send(Message::AppendAnswer {
                node,
                member,
                appended,
            });
        }
    }

    fn answered(&mut self, call: usize, reply: Reply) {
        let (sent, _, outcome) = self.calls[call];
        if outcome.is_some() {
            return;
        }
        match reply {
            Reply::Outcome(Outcome::NotRun) if sent.recall => self.end_call(call, Outcome::Unknown),
            Reply::Outcome(outcome) => self.end_call(call, outcome),
            Reply::AskFormerOwner(instance) => {
                let former = self
                    .nodes
                    .iter()
                    .position(|n| n.member.instance == instance);
                self.calls[call].0.recall = true;
                let recall_call = self.calls[call].0;
                match former {
                    Some(node) => self.send_start(node, recall_call),
                    None => self.end_call(call, Outcome::Unknown),
                }
            }
        }
    }

    /// Lets a node work, read the log and send its messages.
    fn tick(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.suspended_until > now {
            return;
        }
        let answer_lost = self.rng.random_range(0..10) == 0;
        let run_time = self
            .rng
            .random_range(Duration::ZERO..Duration::from_millis(300));
        node.work(now, &mut self.upstream_runs, run_time, answer_lost);
        let answers = std::mem::take(&mut node.answers);
        let member = node.member.clone();
        if node.take_due_read(now) {
            let from = node.owner.next_offset();
            let member = member.clone();
            self.send(Message::ReadRequest {
                node: index,
                member,
                requested_at: now,
                from,
            });
        }
        for (call, reply) in answers {
            self.send(Message::Answer { call, reply });
        }
        if let Some(record) = self.nodes[index].owner.next_append(now) {
            self.send(Message::AppendRequest {
                node: Some(index),
                record,
            });
        }
        if let Some(owners) = self.nodes[index].owner.owners().cloned() {
            let entry = self.rng.random_range(0..ENTRY_COUNT);
            self.send(Message::OwnersUpdate { entry, owners });
        }
    }

    /// Restarts a random node, which loses its state.
    fn restart(&mut self) {
        let index = self.rng.random_range(0..NODE_COUNT);
        let member = member(index, self.rng.random());
        self.nodes[index] = Node::new(member, self.mechanisms);
    }

    /// Has an entry remove a member, whether it has failed or not.
    fn remove_random_member(&mut self) {
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let view = &self.views[entry];
        let count = view.members().count();
        if count == 0 {
            return;
        }
        let member = view.members().nth(self.rng.random_range(0..count)).cloned();
        self.send_removal(entry, member.expect("the index is below the count"));
    }

    fn send_removal(&mut self, entry: usize, member: Member) {
        let record = OwnersRecord {
            id: format!("entry-{entry}-{}", self.sequence).into(),
            member,
            base: self.views[entry].epoch(),
            settled: Epoch(0),
            action: OwnersAction::Remove,
        };
        self.send(Message::AppendRequest { node: None, record });
    }

    /// Returns the violations of the invariants.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (i, first) in self.upstream_runs.iter().enumerate() {
            for second in self
                .upstream_runs
                .iter()
                .skip(i + 1)
                .filter(|r| r.key == first.key)
            {
                if second.start < first.end + LIMITS.window {
                    violations.push(format!(
                        "key ran twice within its window: {first:?} {second:?}"
                    ));
                }
            }
        }
        for (call, _, outcome) in &self.calls {
            match outcome {
                Some(Outcome::Completed(run)) if self.upstream_runs[*run].key != call.key => {
                    violations.push(format!("call got the answer of another key: {call:?}"));
                }
                Some(Outcome::NotRun)
                    if self.upstream_runs.iter().any(|run| run.call == call.id) =>
                {
                    violations.push(format!(
                        "caller received not run, but the upstream ran it: {call:?}"
                    ));
                }
                _ => {}
            }
        }
        violations
    }

    pub(crate) fn outcome_counts(&self) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        for (call, _, outcome) in &self.calls {
            match outcome {
                Some(Outcome::Completed(run)) => {
                    counts.completed += 1;
                    counts.joined += usize::from(self.upstream_runs[*run].call != call.id);
                }
                Some(Outcome::NotRun) => counts.not_run += 1,
                Some(Outcome::Unknown) => counts.unknown += 1,
                None => {}
            }
        }
        counts
    }
}

pub(crate) fn digest(key: u64) -> KeyDigest {
    KeyDigest(key.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn member(index: usize, incarnation: u64) -> Member {
    let instance = InstanceId::try_from(format!("ledger-{index}").as_str()).expect("a name");
    Member {
        instance,
        incarnation: Incarnation(incarnation),
    }
}

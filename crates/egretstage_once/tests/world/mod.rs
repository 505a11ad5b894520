//! A small world of owners, entries and a log, in virtual time.

mod node;

use egretstage_once::{KeyDigest, KeyOwnerLimits, OwnerSet, OwnersAction, OwnersRecord};
use egretstage_wire::{Epoch, Incarnation, InstanceId, Member};
use node::{Node, Verdict};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const NODES: usize = 3;
const ENTRIES: usize = 2;
const KEYS: u64 = 6;
const MAX_STEP: Duration = Duration::from_millis(40);
const MAX_DELAY: Duration = Duration::from_millis(120);
const MAX_OUTAGE: Duration = Duration::from_secs(6);
const MAX_PAUSE: Duration = Duration::from_millis(900);

pub(crate) const LIMITS: KeyOwnerLimits = KeyOwnerLimits {
    window: Duration::from_secs(2),
    longest_budget: Duration::from_millis(500),
    lease: Duration::from_millis(300),
    max_keys: 64,
    refresh_interval: Duration::from_secs(5),
};

/// Which mechanisms are on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mechanisms {
    pub(crate) lease: bool,
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

/// A caller's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ask {
    pub(crate) id: usize,
    pub(crate) key: u64,
    pub(crate) epoch: Epoch,
    pub(crate) recall: bool,
    pub(crate) deadline: Instant,
}

/// A run that the upstream really ran.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ran {
    pub(crate) key: u64,
    pub(crate) ask: usize,
    pub(crate) start: Instant,
    pub(crate) end: Instant,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    Completed(usize),
    NotRun,
    Unknown,
}

#[derive(Debug, Default)]
pub(crate) struct ToldCounts {
    pub(crate) completed: usize,
    pub(crate) not_run: usize,
    pub(crate) unknown: usize,
    pub(crate) joined: usize,
}

enum Message {
    Start {
        node: usize,
        of: Member,
        ask: Ask,
    },
    Answer {
        ask: usize,
        verdict: Verdict,
    },
    ReadAtLog {
        node: usize,
        of: Member,
        asked: Instant,
        from: u64,
    },
    ReadAnswer {
        node: usize,
        of: Member,
        asked: Instant,
        records: Vec<(u64, OwnersRecord)>,
    },
    AppendAtLog {
        node: Option<usize>,
        record: OwnersRecord,
    },
    AppendAnswer {
        node: usize,
        of: Member,
        appended: bool,
    },
    View {
        entry: usize,
        owners: OwnerSet,
    },
}

/// Owners, entries and a log.
pub(crate) struct World {
    rng: ChaCha8Rng,
    now: Instant,
    mechanisms: Mechanisms,
    log: Vec<OwnersRecord>,
    log_up: bool,
    /// Nodes that the log doesn't hear.
    cut_off: [Instant; NODES],
    /// Entries that don't hear of new owners.
    stale: [Instant; ENTRIES],
    nodes: Vec<Node>,
    views: Vec<OwnerSet>,
    asks: Vec<(Ask, usize, Option<Told>)>,
    ran: Vec<Ran>,
    net: BTreeMap<(Instant, u64), Message>,
    sent: u64,
}

impl World {
    pub(crate) fn run(seed: u64, steps: usize, mechanisms: Mechanisms) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Instant::now();
        let nodes = (0..NODES).map(|i| Node::new(member(i, rng.random()), mechanisms));
        let mut world = Self {
            nodes: nodes.collect(),
            rng,
            now,
            mechanisms,
            log: Vec::new(),
            log_up: true,
            cut_off: [now; NODES],
            stale: [now; ENTRIES],
            views: vec![OwnerSet::default(); ENTRIES],
            asks: Vec::new(),
            ran: Vec::new(),
            net: BTreeMap::new(),
            sent: 0,
        };
        for _ in 0..steps {
            world.step();
        }
        world
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(Duration::ZERO..MAX_STEP);
        while let Some(first) = self
            .net
            .first_entry()
            .filter(|first| first.key().0 <= self.now)
        {
            let message = first.remove();
            self.deliver(message);
        }
        for node in 0..NODES {
            self.tick(node);
        }
        match self.rng.random_range(0..100) {
            0..50 => self.ask(),
            50..53 => {
                let until = self.now + self.rng.random_range(Duration::ZERO..MAX_PAUSE);
                let node = self.rng.random_range(0..NODES);
                self.nodes[node].paused_until = until;
            }
            53..54 => self.restart(),
            54..55 => self.suspect(),
            55..56 => {
                let node = self.rng.random_range(0..NODES);
                self.nodes[node].owner.leave();
            }
            56..57 => self.log_up = !self.log_up,
            57..60 => self.log_up = true,
            60..61 => {
                let node = self.rng.random_range(0..NODES);
                self.cut_off[node] = self.outage();
            }
            61..62 => {
                let entry = self.rng.random_range(0..ENTRIES);
                self.stale[entry] = self.outage();
            }
            62..63 => self.partition(),
            _ => {}
        }
    }

    /// Parts a member and an entry from the rest, which removes the member.
    fn partition(&mut self) {
        let until = self.outage();
        let node = self.rng.random_range(0..NODES);
        self.cut_off[node] = until;
        self.stale[0] = until;
        let member = self.nodes[node].member.clone();
        self.remove(1, member);
    }

    fn outage(&mut self) -> Instant {
        self.now + self.rng.random_range(Duration::ZERO..MAX_OUTAGE)
    }

    fn delay(&mut self) -> Instant {
        self.now + self.rng.random_range(Duration::ZERO..MAX_DELAY)
    }

    fn send(&mut self, message: Message) {
        self.sent += 1;
        let at = (self.delay(), self.sent);
        self.net.insert(at, message);
    }

    fn ask(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        let id = self.asks.len();
        let ask = Ask {
            id,
            key: self.rng.random_range(0..KEYS),
            epoch: self.views[entry].epoch(),
            recall: false,
            deadline: self.now + LIMITS.longest_budget,
        };
        self.asks.push((ask, entry, None));
        match self.owner_of(entry, ask.key) {
            Some(node) => self.send_start(node, ask),
            None => self.tell(id, Told::NotRun),
        }
    }

    fn owner_of(&self, entry: usize, key: u64) -> Option<usize> {
        let owner = self.views[entry].owner(digest(key))?;
        self.nodes
            .iter()
            .position(|node| node.member.instance == owner.instance)
    }

    fn send_start(&mut self, node: usize, ask: Ask) {
        let copies = match self.rng.random_range(0..20) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let of = self.nodes[node].member.clone();
            self.send(Message::Start { node, of, ask });
        }
    }

    fn tell(&mut self, ask: usize, told: Told) {
        self.asks[ask].2.get_or_insert(told);
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Start { node, .. } | Message::ReadAnswer { node, .. }
                if self.nodes[node].paused_until > now =>
            {
                let at = (self.nodes[node].paused_until, self.sent);
                self.sent += 1;
                self.net.insert(at, message);
            }
            Message::Start { node, of, ask } => {
                if self.nodes[node].member == of {
                    self.nodes[node].start(now, ask);
                }
            }
            Message::Answer { ask, verdict } => self.answered(ask, verdict),
            Message::ReadAtLog {
                node,
                of,
                asked,
                from,
            } if self.log_up && self.cut_off[node] <= now => {
                let records = self
                    .log
                    .iter()
                    .enumerate()
                    .map(|(i, r)| (i as u64 + 1, r.clone()));
                let records = records.filter(|(offset, _)| *offset >= from).collect();
                self.send(Message::ReadAnswer {
                    node,
                    of,
                    asked,
                    records,
                });
            }
            Message::ReadAtLog { .. } => {}
            Message::ReadAnswer {
                node,
                of,
                asked,
                records,
            } => {
                if self.nodes[node].member == of {
                    self.nodes[node].read(now, asked, &records);
                }
            }
            Message::AppendAtLog { node, record } => self.append(node, record),
            Message::AppendAnswer { node, of, appended } => {
                if self.nodes[node].member == of {
                    self.nodes[node].owner.append_answered(now, appended);
                }
            }
            Message::View { entry, owners } => {
                let stale = self.stale[entry] > now;
                if !stale && owners.epoch() > self.views[entry].epoch() {
                    self.views[entry] = owners;
                }
            }
        }
    }

    fn append(&mut self, node: Option<usize>, record: OwnersRecord) {
        let of = record.member.clone();
        let appended = self.log_up;
        if appended {
            self.log.push(record);
        }
        let lost = self.rng.random_range(0..5) == 0;
        if let Some(node) = node.filter(|_| !lost) {
            self.send(Message::AppendAnswer { node, of, appended });
        }
    }

    fn answered(&mut self, ask: usize, verdict: Verdict) {
        let (sent, _, told) = self.asks[ask];
        if told.is_some() {
            return;
        }
        match verdict {
            Verdict::Told(Told::NotRun) if sent.recall => self.tell(ask, Told::Unknown),
            Verdict::Told(told) => self.tell(ask, told),
            Verdict::AskFormerOwner(instance) => {
                let former = self
                    .nodes
                    .iter()
                    .position(|n| n.member.instance == instance);
                self.asks[ask].0.recall = true;
                let again = self.asks[ask].0;
                match former {
                    Some(node) => self.send_start(node, again),
                    None => self.tell(ask, Told::Unknown),
                }
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.paused_until > now {
            return;
        }
        let loses_answer = self.rng.random_range(0..10) == 0;
        let work = self
            .rng
            .random_range(Duration::ZERO..Duration::from_millis(300));
        node.work(now, &mut self.ran, work, loses_answer);
        let answers = std::mem::take(&mut node.answers);
        let of = node.member.clone();
        if node.wants_read(now) {
            let from = node.owner.next_offset();
            let of = of.clone();
            self.send(Message::ReadAtLog {
                node: index,
                of,
                asked: now,
                from,
            });
        }
        for (ask, verdict) in answers {
            self.send(Message::Answer { ask, verdict });
        }
        if let Some(record) = self.nodes[index].owner.next_append(now) {
            self.send(Message::AppendAtLog {
                node: Some(index),
                record,
            });
        }
        if let Some(owners) = self.nodes[index].owner.owners().cloned() {
            let entry = self.rng.random_range(0..ENTRIES);
            self.send(Message::View { entry, owners });
        }
    }

    fn restart(&mut self) {
        let index = self.rng.random_range(0..NODES);
        let member = member(index, self.rng.random());
        self.nodes[index] = Node::new(member, self.mechanisms);
    }

    /// Removes a member, dead or not.
    fn suspect(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        let view = &self.views[entry];
        let count = view.members().count();
        if count == 0 {
            return;
        }
        let member = view.members().nth(self.rng.random_range(0..count)).cloned();
        self.remove(entry, member.expect("the index is below the count"));
    }

    fn remove(&mut self, entry: usize, member: Member) {
        let record = OwnersRecord {
            id: format!("entry-{entry}-{}", self.sent).into(),
            member,
            base: self.views[entry].epoch(),
            settled: Epoch(0),
            action: OwnersAction::Remove,
        };
        self.send(Message::AppendAtLog { node: None, record });
    }

    /// Lists what broke an invariant.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (i, first) in self.ran.iter().enumerate() {
            for second in self.ran.iter().skip(i + 1).filter(|r| r.key == first.key) {
                if second.start < first.end + LIMITS.window {
                    found.push(format!("ran twice: {first:?} {second:?}"));
                }
            }
        }
        for (ask, _, told) in &self.asks {
            match told {
                Some(Told::Completed(run)) if self.ran[*run].key != ask.key => {
                    found.push(format!("another key's answer: {ask:?}"));
                }
                Some(Told::NotRun) if self.ran.iter().any(|ran| ran.ask == ask.id) => {
                    found.push(format!("told not run, but ran: {ask:?}"));
                }
                _ => {}
            }
        }
        found
    }

    pub(crate) fn told_counts(&self) -> ToldCounts {
        let mut counts = ToldCounts::default();
        for (ask, _, told) in &self.asks {
            match told {
                Some(Told::Completed(run)) => {
                    counts.completed += 1;
                    counts.joined += usize::from(self.ran[*run].ask != ask.id);
                }
                Some(Told::NotRun) => counts.not_run += 1,
                Some(Told::Unknown) => counts.unknown += 1,
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

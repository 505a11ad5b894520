//! An in-memory log and a simulated network of relays in virtual time.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod memory_log;

pub(crate) use memory_log::{Faults, MemoryLog, publish_large};

use egretstage_config::{CONFIGURATION_STREAM, Offset};
use egretstage_link::LinkId;
use egretstage_observe::ConfigurationStatus;
use egretstage_platform::AppendLog;
use egretstage_relay::prelude::*;
use egretstage_relay::{ANNOUNCE_INTERVAL, newest_checkpoint, publish_checkpoint};
use egretstage_runtime::VirtualLoop;
use egretstage_wire::{Frame, encode};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Bytes of a WebSocket frame's header, without the mask.
const FRAME_HEADER_BYTES: u64 = 4;

/// A relay in virtual time.
pub(crate) struct Node {
    pub(crate) relay: VirtualLoop<RelayReducer>,
    /// Whether the node holds a complete configuration.
    pub(crate) ready: bool,
    /// Offsets of the configurations that became active, in order.
    pub(crate) offsets: Vec<Offset>,
    pub(crate) status: Option<ConfigurationStatus>,
    /// Whether the node's reads of the log fail.
    pub(crate) log_reads_fail: bool,
    reading_from: Option<Offset>,
}

/// A network of relays in virtual time; messages arrive without delay.
pub(crate) struct Network {
    pub(crate) log: MemoryLog,
    pub(crate) nodes: Vec<Node>,
    pub(crate) checkpoint_interval: Duration,
    /// Bytes sent, by sender and receiver.
    pub(crate) bytes: BTreeMap<(usize, usize), u64>,
    links: HashMap<(usize, LinkId), (usize, LinkId)>,
    start: Instant,
    elapsed: Duration,
    next_link: u64,
}

/// Virtual time of one step.
pub(crate) const STEP: Duration = Duration::from_millis(10);

impl Network {
    pub(crate) fn new() -> Self {
        Self {
            log: MemoryLog::default(),
            nodes: Vec::new(),
            checkpoint_interval: Duration::from_hours(1),
            bytes: BTreeMap::new(),
            links: HashMap::new(),
            start: Instant::now(),
            elapsed: Duration::ZERO,
            next_link: 0,
        }
    }

    /// Adds a node; an entry reads the log, a companion doesn't.
    pub(crate) fn add(&mut self, reads_log: bool) -> usize {
        let now = self.start + self.elapsed;
        let options = RelayOptions {
            reads_log,
            checkpoint_interval: self.checkpoint_interval,
            seed: self.nodes.len() as u64,
        };
        self.nodes.push(Node {
            relay: VirtualLoop::starting_at(now, RelayReducer::new(now, options)),
            ready: false,
            offsets: Vec::new(),
            status: None,
            log_reads_fail: false,
            reading_from: None,
        });
        self.nodes.len() - 1
    }

    /// Links two nodes.
    pub(crate) fn link(&mut self, a: usize, b: usize) {
        let (key_a, key_b) = (LinkId(self.next_link), LinkId(self.next_link + 1));
        self.next_link += 2;
        self.links.insert((a, key_a), (b, key_b));
        self.links.insert((b, key_b), (a, key_a));
        for (node, key) in [(a, key_a), (b, key_b)] {
            let effects = self.nodes[node].relay.event(RelayEvent::LinkUp(key));
            self.execute(node, effects);
        }
    }

    /// Advances the network by a span of virtual time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.elapsed + time;
        while self.elapsed < end {
            self.elapsed += STEP;
            for node in 0..self.nodes.len() {
                let effects = self.nodes[node].relay.advance(STEP);
                self.execute(node, effects);
                self.answer_waiting_read(node);
            }
        }
    }

    /// Returns the offset of a node's last active configuration.
    pub(crate) fn held(&self, node: usize) -> Offset {
        self.nodes[node].offsets.last().copied().unwrap_or_default()
    }

    /// Answers the read that a node waits for, once there are records; a node that
    /// isn't ready is answered at once.
    fn answer_waiting_read(&mut self, node: usize) {
        let Some(from) = self.nodes[node].reading_from else {
            return;
        };
        let event = match self.log.read(CONFIGURATION_STREAM, from.0, Duration::ZERO) {
            Ok(page) if page.records.is_empty() && page.first <= from.0 => {
                if self.nodes[node].ready && !self.nodes[node].log_reads_fail {
                    return;
                }
                RelayEvent::Page(page)
            }
            Ok(page) => RelayEvent::Page(page),
            Err(_) => RelayEvent::LogReadFailed,
        };
        let event = if self.nodes[node].log_reads_fail {
            RelayEvent::LogReadFailed
        } else {
            event
        };
        self.nodes[node].reading_from = None;
        let effects = self.nodes[node].relay.event(event);
        self.execute(node, effects);
    }

    fn execute(&mut self, node: usize, effects: Vec<RelayEffect>) {
        for effect in effects {
            match effect {
                RelayEffect::ReadLog { from } => self.nodes[node].reading_from = Some(from),
                RelayEffect::ReadCheckpoint => {
                    let event = match newest_checkpoint(&self.log) {
                        Ok(found) => RelayEvent::Checkpoint(found.map(|found| {
                            let info = found.info();
                            (found.delta, info)
                        })),
                        Err(_) => RelayEvent::LogReadFailed,
                    };
                    let effects = self.nodes[node].relay.event(event);
                    self.execute(node, effects);
                }
                RelayEffect::WriteCheckpoint(chunks) => {
                    let info =
                        match publish_checkpoint(&self.log, &chunks, self.checkpoint_interval) {
                            Ok(
                                egretstage_relay::PublishOutcome::Written(info)
                                | egretstage_relay::PublishOutcome::AlreadyWritten(info),
                            ) => Some(info),
                            _ => None,
                        };
                    let event = RelayEvent::CheckpointWritten(info);
                    let effects = self.nodes[node].relay.event(event);
                    self.execute(node, effects);
                }
                RelayEffect::Send { link, frame } => self.send(node, link, frame),
                RelayEffect::Notify(ConfigurationUpdate::Configured { offset, .. }) => {
                    self.nodes[node].ready = true;
                    self.nodes[node].offsets.push(offset);
                }
                RelayEffect::Notify(ConfigurationUpdate::Incomplete) => {
                    self.nodes[node].ready = false;
                }
                RelayEffect::Status(status) => self.nodes[node].status = Some(*status),
                RelayEffect::Log(_) => {}
            }
        }
    }

    fn send(&mut self, node: usize, link: LinkId, frame: egretstage_wire::ConfigurationFrame) {
        let Some((peer, key)) = self.links.get(&(node, link)).copied() else {
            return;
        };
        let message = Frame::Configuration(frame);
        let size = encode(&message).unwrap().len() as u64 + FRAME_HEADER_BYTES;
        *self.bytes.entry((node, peer)).or_default() += size;
        let Frame::Configuration(frame) = message else {
            return;
        };
        let event = RelayEvent::Frame { link: key, frame };
        let effects = self.nodes[peer].relay.event(event);
        self.execute(peer, effects);
    }

    /// Returns the bytes that a node sent and received.
    pub(crate) fn bytes_of(&self, node: usize) -> u64 {
        let own = self
            .bytes
            .iter()
            .filter(|((a, b), _)| *a == node || *b == node);
        own.map(|(_, bytes)| bytes).sum()
    }
}

/// Time after which all announcements have been sent.
pub(crate) const ANNOUNCE_SETTLE_TIME: Duration = ANNOUNCE_INTERVAL.saturating_mul(5);

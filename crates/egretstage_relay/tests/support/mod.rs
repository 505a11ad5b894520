//! A log in memory and a network of relays in virtual time.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod memory_log;

pub(crate) use memory_log::{Faults, MemoryLog, publish_large};

use egretstage_config::{CONFIGURATION_STREAM, Offset};
use egretstage_link::LinkKey;
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
    pub(crate) ready: bool,
    pub(crate) offsets: Vec<Offset>,
    pub(crate) status: Option<ConfigurationStatus>,
    /// Whether the node's reads of the log fail.
    pub(crate) cut_off: bool,
    reading_from: Option<Offset>,
}

/// A network of relays in virtual time; messages take one step.
pub(crate) struct Network {
    pub(crate) log: MemoryLog,
    pub(crate) nodes: Vec<Node>,
    pub(crate) interval: Duration,
    /// Bytes by sender and receiver.
    pub(crate) bytes: BTreeMap<(usize, usize), u64>,
    links: HashMap<(usize, LinkKey), (usize, LinkKey)>,
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
            interval: Duration::from_hours(1),
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
            checkpoint_interval: self.interval,
            seed: self.nodes.len() as u64,
        };
        self.nodes.push(Node {
            relay: VirtualLoop::starting_at(now, RelayReducer::new(now, options)),
            ready: false,
            offsets: Vec::new(),
            status: None,
            cut_off: false,
            reading_from: None,
        });
        self.nodes.len() - 1
    }

    pub(crate) fn link(&mut self, a: usize, b: usize) {
        let (key_a, key_b) = (LinkKey(self.next_link), LinkKey(self.next_link + 1));
        self.next_link += 2;
        self.links.insert((a, key_a), (b, key_b));
        self.links.insert((b, key_b), (a, key_a));
        for (node, key) in [(a, key_a), (b, key_b)] {
            let effects = self.nodes[node].relay.event(RelayEvent::LinkUp(key));
            self.carry_out(node, effects);
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.elapsed + time;
        while self.elapsed < end {
            self.elapsed += STEP;
            for node in 0..self.nodes.len() {
                let effects = self.nodes[node].relay.advance(STEP);
                self.carry_out(node, effects);
                self.poll(node);
            }
        }
    }

    pub(crate) fn held(&self, node: usize) -> Offset {
        self.nodes[node].offsets.last().copied().unwrap_or_default()
    }

    /// Answers a waiting read once there is something to read.
    fn poll(&mut self, node: usize) {
        let Some(from) = self.nodes[node].reading_from else {
            return;
        };
        let event = match self.log.read(CONFIGURATION_STREAM, from.0, Duration::ZERO) {
            Ok(page) if page.records.is_empty() && page.first <= from.0 => {
                if self.nodes[node].ready && !self.nodes[node].cut_off {
                    return;
                }
                RelayEvent::Page(page)
            }
            Ok(page) => RelayEvent::Page(page),
            Err(_) => RelayEvent::LogReadFailed,
        };
        let event = if self.nodes[node].cut_off {
            RelayEvent::LogReadFailed
        } else {
            event
        };
        self.nodes[node].reading_from = None;
        let effects = self.nodes[node].relay.event(event);
        self.carry_out(node, effects);
    }

    fn carry_out(&mut self, node: usize, effects: Vec<RelayEffect>) {
        for effect in effects {
            match effect {
                RelayEffect::ReadLog { from } => self.nodes[node].reading_from = Some(from),
                RelayEffect::ReadCheckpoint => {
                    let event = match newest_checkpoint(&self.log) {
                        Ok(found) => RelayEvent::Checkpoint(found.map(|found| {
                            let news = found.info();
                            (found.delta, news)
                        })),
                        Err(_) => RelayEvent::LogReadFailed,
                    };
                    let effects = self.nodes[node].relay.event(event);
                    self.carry_out(node, effects);
                }
                RelayEffect::WriteCheckpoint(chunks) => {
                    let news = match publish_checkpoint(&self.log, &chunks, self.interval) {
                        Ok(
                            egretstage_relay::PublishOutcome::Written(news)
                            | egretstage_relay::PublishOutcome::AlreadyWritten(news),
                        ) => Some(news),
                        _ => None,
                    };
                    let event = RelayEvent::CheckpointWritten(news);
                    let effects = self.nodes[node].relay.event(event);
                    self.carry_out(node, effects);
                }
                RelayEffect::Send { link, frame } => self.send(node, link, frame),
                RelayEffect::Notify(ConfigurationUpdate::Configured { offset, .. }) => {
                    self.nodes[node].ready = true;
                    self.nodes[node].offsets.push(offset);
                }
                RelayEffect::Notify(ConfigurationUpdate::Incomplete) => {
                    self.nodes[node].ready = false
                }
                RelayEffect::Status(status) => self.nodes[node].status = Some(*status),
                RelayEffect::Log(_) => {}
            }
        }
    }

    fn send(&mut self, node: usize, link: LinkKey, frame: egretstage_wire::ConfigurationFrame) {
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
        self.carry_out(peer, effects);
    }

    /// Bytes that a node sent and received.
    pub(crate) fn bytes_of(&self, node: usize) -> u64 {
        let own = self
            .bytes
            .iter()
            .filter(|((a, b), _)| *a == node || *b == node);
        own.map(|(_, bytes)| bytes).sum()
    }
}

/// Time for all announcements to settle.
pub(crate) const SETTLE: Duration = ANNOUNCE_INTERVAL.saturating_mul(5);

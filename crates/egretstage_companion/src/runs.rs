//! The calls that a companion holds.

use crate::RunKey;
use compact_str::CompactString;
use egretstage_link::LinkKey;
use egretstage_wire::{CallStart, StreamId};
use slotmap::SlotMap;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Instant;

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// It waits for a slot.
    Waiting,
    /// It was handed to the upstream.
    Running,
}

/// A call from its start frame to its terminal frame.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) link: LinkKey,
    pub(crate) start: Box<CallStart>,
    pub(crate) deadline: Instant,
    pub(crate) state: RunState,
    /// Chunks that the entry lets in.
    pub(crate) credit: u32,
    /// Bytes that wait for credit.
    pub(crate) unsent: VecDeque<Vec<u8>>,
    /// Length of the body that was sent.
    pub(crate) sent_bytes: u64,
    /// Whether the upstream's answer is whole.
    pub(crate) whole: bool,
}

impl Run {
    pub(crate) fn stream(&self) -> StreamId {
        self.start.stream
    }

    pub(crate) fn key(&self) -> Option<&CompactString> {
        self.start.key.as_ref()
    }
}

/// Order in which waiting calls start: priority, then arrival.
type QueueKey = (Reverse<u8>, u64, RunKey);

/// All calls of a companion.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    arena: SlotMap<RunKey, Run>,
    by_stream: HashMap<StreamId, RunKey>,
    queue: BTreeSet<QueueKey>,
    queue_keys: HashMap<RunKey, QueueKey>,
    deadlines: BTreeSet<(Instant, RunKey)>,
    arrivals: u64,
    running: usize,
}

impl Runs {
    pub(crate) fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    pub(crate) fn running(&self) -> usize {
        self.running
    }

    pub(crate) fn waiting(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn get(&self, key: RunKey) -> Option<&Run> {
        self.arena.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: RunKey) -> Option<&mut Run> {
        self.arena.get_mut(key)
    }

    pub(crate) fn of_stream(&self, stream: StreamId) -> Option<RunKey> {
        self.by_stream.get(&stream).copied()
    }

    /// Adds a call to the queue.
    pub(crate) fn enqueue(&mut self, run: Run) -> RunKey {
        let (stream, deadline) = (run.stream(), run.deadline);
        let priority = run.start.priority;
        let key = self.arena.insert(run);
        self.by_stream.insert(stream, key);
        self.deadlines.insert((deadline, key));
        let queue_key = (Reverse(priority), self.arrivals, key);
        self.arrivals += 1;
        self.queue.insert(queue_key);
        self.queue_keys.insert(key, queue_key);
        key
    }

    /// Takes the next waiting call if fewer than `slots` run.
    pub(crate) fn start_next(&mut self, slots: u32) -> Option<RunKey> {
        if self.running >= slots as usize {
            return None;
        }
        let (_, _, key) = self.queue.pop_first()?;
        self.queue_keys.remove(&key);
        self.running += 1;
        self.arena[key].state = RunState::Running;
        Some(key)
    }

    pub(crate) fn remove(&mut self, key: RunKey) -> Option<Run> {
        let run = self.arena.remove(key)?;
        self.by_stream.remove(&run.stream());
        self.deadlines.remove(&(run.deadline, key));
        match self.queue_keys.remove(&key) {
            Some(queue_key) => {
                self.queue.remove(&queue_key);
            }
            None => self.running -= 1,
        }
        Some(run)
    }

    /// Returns the calls that came over a link.
    pub(crate) fn on_link(&self, link: LinkKey) -> Vec<RunKey> {
        self.arena
            .iter()
            .filter(|(_, run)| run.link == link)
            .map(|(key, _)| key)
            .collect()
    }

    pub(crate) fn expired(&self, now: Instant) -> Option<RunKey> {
        self.deadlines
            .first()
            .filter(|(deadline, _)| *deadline <= now)
            .map(|(_, key)| *key)
    }

    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the prompt bytes of all waiting calls.
    pub(crate) fn waiting_body_bytes(&self) -> u64 {
        let waiting = self.queue.iter().map(|(_, _, key)| &self.arena[*key]);
        waiting.map(|run| run.start.body.len() as u64).sum()
    }
}

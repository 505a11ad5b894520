//! The calls that a companion holds.

use crate::RunKey;
use compact_str::CompactString;
use egretstage_link::LinkKey;
use egretstage_routing::{FairQueue, Flow};
use egretstage_wire::{CallStart, OrganisationName, StreamId};
use slotmap::SlotMap;
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
    /// Time after which the call, if it still waits, can't finish in time.
    pub(crate) latest_start: Instant,
    /// Expected time in a slot, in microseconds.
    pub(crate) cost: u64,
    /// Time at which it was handed to the upstream.
    pub(crate) started: Option<Instant>,
    /// Time of the last bytes of its answer.
    pub(crate) last_bytes: Option<Instant>,
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

    /// Returns the flow whose share the call takes.
    pub(crate) fn flow(&self) -> Flow<OrganisationName> {
        flow(&self.start)
    }

    /// Returns when the call is given up.
    fn expiry(&self) -> Instant {
        match self.state {
            RunState::Waiting => self.latest_start,
            RunState::Running => self.deadline,
        }
    }
}

/// Returns the flow whose share a call takes.
pub(crate) fn flow(start: &CallStart) -> Flow<OrganisationName> {
    Flow {
        id: start.organisation.clone(),
        weight_milli: start.work.weight_milli,
    }
}

/// All calls of a companion.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    arena: SlotMap<RunKey, Run>,
    by_stream: HashMap<StreamId, RunKey>,
    queue: FairQueue<OrganisationName, RunKey>,
    deadlines: BTreeSet<(Instant, RunKey)>,
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
        let (stream, expiry) = (run.stream(), run.expiry());
        let (flow, cost, priority) = (run.flow(), run.cost, run.start.priority);
        let key = self.arena.insert(run);
        self.by_stream.insert(stream, key);
        self.deadlines.insert((expiry, key));
        self.queue.push(flow, key, cost, priority);
        key
    }

    /// Takes the next waiting call if fewer than `slots` run.
    pub(crate) fn start_next(&mut self, now: Instant, slots: u32) -> Option<RunKey> {
        if self.running >= slots as usize {
            return None;
        }
        let key = self.queue.pop()?;
        self.running += 1;
        let run = &mut self.arena[key];
        self.deadlines.remove(&(run.expiry(), key));
        run.state = RunState::Running;
        run.started = Some(now);
        self.deadlines.insert((run.expiry(), key));
        Some(key)
    }

    pub(crate) fn remove(&mut self, key: RunKey) -> Option<Run> {
        let run = self.arena.remove(key)?;
        self.by_stream.remove(&run.stream());
        self.deadlines.remove(&(run.expiry(), key));
        if !self.queue.remove(key) {
            self.running -= 1;
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

    /// Returns the queue of waiting calls.
    pub(crate) fn queue(&self) -> &FairQueue<OrganisationName, RunKey> {
        &self.queue
    }
}

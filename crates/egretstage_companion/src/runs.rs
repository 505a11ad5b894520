//! The calls that a companion holds.

use crate::RunKey;
use crate::answer::HeldAnswer;
use crate::reader::Reader;
use crate::timers::{Timer, Timers};
use compact_str::CompactString;
use egretstage_link::LinkKey;
use egretstage_once::KeyId;
use egretstage_routing::{FairQueue, Flow};
use egretstage_wire::{CallStart, OrganisationName, Outcome, StreamId};
use slotmap::SlotMap;
use smallvec::{SmallVec, smallvec};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Chunks that a reader may lag behind others of a run that is over its bound.
const MAX_LAG_CHUNKS: u64 = 64;

/// How far a call has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// It waits for a slot.
    Waiting,
    /// It was handed to the upstream.
    Running,
    /// The upstream is done with it.
    Ended(Outcome),
}

/// A call from its start frame until its answer is no longer held.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) start: Box<CallStart>,
    pub(crate) deadline: Instant,
    /// The link that the call came over.
    pub(crate) link: LinkKey,
    /// Time after which the call, if it still waits, can't finish in time.
    pub(crate) latest_start: Instant,
    /// Expected time in a slot, in microseconds.
    pub(crate) cost: u64,
    /// Time at which it was handed to the upstream.
    pub(crate) started: Option<Instant>,
    /// Time of the last bytes of its answer.
    pub(crate) last_bytes: Option<Instant>,
    pub(crate) state: RunState,
    pub(crate) answer: HeldAnswer,
    pub(crate) readers: SmallVec<[Reader; 1]>,
    /// The remembered key that the run belongs to.
    pub(crate) key: Option<KeyId>,
    /// Most bytes that are held for readers to come.
    pub(crate) max_answer_bytes: usize,
    /// When a run that outlives its readers is given up.
    pub(crate) limit: Option<Instant>,
}

impl Run {
    /// Holds a call whose expected time in a slot is `cost` microseconds.
    pub(crate) fn new(
        now: Instant,
        start: Box<CallStart>,
        link: LinkKey,
        deadline: Instant,
        cost: u64,
    ) -> Self {
        let reader = Reader::new(start.stream, link, deadline, start.credit);
        let latest_start = deadline.checked_sub(Duration::from_micros(cost));
        Self {
            limit: (!start.repeatable).then_some(deadline),
            start,
            deadline,
            link,
            latest_start: latest_start.unwrap_or(now).max(now),
            cost,
            started: None,
            last_bytes: None,
            state: RunState::Waiting,
            answer: HeldAnswer::default(),
            readers: smallvec![reader],
            key: None,
            max_answer_bytes: 0,
        }
    }

    pub(crate) fn key(&self) -> Option<&CompactString> {
        self.start.key.as_ref()
    }

    /// Returns the flow whose share the call takes.
    pub(crate) fn flow(&self) -> Flow<OrganisationName> {
        flow(&self.start)
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.state, RunState::Ended(_))
    }

    pub(crate) fn reader_mut(&mut self, stream: StreamId) -> Option<&mut Reader> {
        self.readers.iter_mut().find(|r| r.stream == stream)
    }

    /// Tells whether the whole answer is held for readers to come.
    fn is_held_whole(&self) -> bool {
        self.key.is_some() && self.answer.held_bytes() <= self.max_answer_bytes
    }

    /// Drops the chunks that no reader needs and returns how many more the
    /// upstream may send.
    pub(crate) fn trim(&mut self) -> u32 {
        if self.is_held_whole() && self.answer.first() == 0 {
            let stored = self.answer.next();
            return self.answer.grant(stored);
        }
        let stored = self.answer.next();
        let fastest = self.readers.iter().map(Reader::next).max();
        let slowest = self.readers.iter().map(Reader::acknowledged).min();
        let consumed = fastest.unwrap_or(stored);
        let mut needed = slowest.unwrap_or(stored);
        if self.readers.len() > 1 {
            needed = needed.max(consumed.saturating_sub(MAX_LAG_CHUNKS));
        }
        self.answer.drop_before(needed);
        self.answer.grant(consumed)
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
    timers: Timers,
    running: usize,
}

impl Runs {
    /// Tells whether every call has ended and every reader knows it.
    pub(crate) fn is_empty(&self) -> bool {
        let done = |run: &Run| run.has_ended() && run.readers.iter().all(|r| r.ended);
        self.arena.values().all(done)
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
        let (flow, cost, priority) = (run.flow(), run.cost, run.start.priority);
        let latest_start = run.latest_start;
        let (stream, deadline, limit) = (run.start.stream, run.deadline, run.limit);
        let key = self.arena.insert(run);
        self.by_stream.insert(stream, key);
        self.timers.arm(deadline, Timer::Deadline(stream));
        if let Some(limit) = limit {
            self.timers.arm(limit, Timer::Limit(key));
        }
        self.timers.arm(latest_start, Timer::LatestStart(key));
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
        run.state = RunState::Running;
        run.started = Some(now);
        self.timers
            .disarm(run.latest_start, Timer::LatestStart(key));
        Some(key)
    }

    /// Ends a call: its slot is free, its answer stays.
    pub(crate) fn end(&mut self, key: RunKey, outcome: Outcome) {
        self.leave_slot(key);
        if let Some(run) = self.arena.get_mut(key) {
            run.state = RunState::Ended(outcome);
        }
    }

    fn leave_slot(&mut self, key: RunKey) {
        let Some(run) = self.arena.get(key).filter(|run| !run.has_ended()) else {
            return;
        };
        if let Some(limit) = run.limit {
            self.timers.disarm(limit, Timer::Limit(key));
        }
        self.timers
            .disarm(run.latest_start, Timer::LatestStart(key));
        if !self.queue.remove(key) {
            self.running -= 1;
        }
    }

    /// Moves the instant at which a call that lasts too long is given up.
    pub(crate) fn set_limit(&mut self, key: RunKey, limit: Instant) {
        if let Some(run) = self.arena.get_mut(key) {
            if let Some(old) = run.limit.replace(limit) {
                self.timers.disarm(old, Timer::Limit(key));
            }
            self.timers.arm(limit, Timer::Limit(key));
        }
    }

    /// Adds a reader to a call that is known.
    pub(crate) fn add_reader(&mut self, key: RunKey, reader: Reader) {
        let Some(run) = self.arena.get_mut(key) else {
            return;
        };
        self.by_stream.insert(reader.stream, key);
        self.timers
            .arm(reader.deadline, Timer::Deadline(reader.stream));
        run.readers.push(reader);
    }

    /// Removes a reader and returns its call.
    pub(crate) fn remove_reader(&mut self, stream: StreamId) -> Option<RunKey> {
        let key = self.by_stream.remove(&stream)?;
        let run = self.arena.get_mut(key)?;
        let index = run.readers.iter().position(|r| r.stream == stream)?;
        let reader = run.readers.remove(index);
        self.timers.forget_reader(&reader);
        Some(key)
    }

    /// Sets when a reader is given up; none for never.
    pub(crate) fn set_grace(&mut self, stream: StreamId, grace: Option<Instant>) {
        let Some(key) = self.of_stream(stream) else {
            return;
        };
        let reader = self
            .arena
            .get_mut(key)
            .and_then(|run| run.reader_mut(stream));
        let Some(reader) = reader else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut reader.grace, grace) {
            self.timers.disarm(old, Timer::Grace(stream));
        }
        if let Some(grace) = grace {
            self.timers.arm(grace, Timer::Grace(stream));
        }
    }

    /// Removes a call with its readers.
    pub(crate) fn remove(&mut self, key: RunKey) -> Option<Run> {
        self.leave_slot(key);
        let run = self.arena.remove(key)?;
        for reader in &run.readers {
            self.by_stream.remove(&reader.stream);
            self.timers.forget_reader(reader);
        }
        Some(run)
    }

    /// Returns the streams of a link.
    pub(crate) fn on_link(&self, link: LinkKey) -> Vec<StreamId> {
        let readers = self.arena.values().flat_map(|run| &run.readers);
        readers
            .filter(|reader| reader.link == Some(link))
            .map(|reader| reader.stream)
            .collect()
    }

    /// Takes a timer that is due.
    pub(crate) fn take_timer(&mut self, now: Instant) -> Option<Timer> {
        self.timers.take(now)
    }

    /// Returns when the next timer is due.
    pub(crate) fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns the queue of waiting calls.
    pub(crate) fn queue(&self) -> &FairQueue<OrganisationName, RunKey> {
        &self.queue
    }
}

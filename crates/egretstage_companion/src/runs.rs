//! The calls that a companion handles.

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

/// Number of chunks that a reader may lag behind the fastest one, unless the
/// full answer is kept.
const MAX_LAG_CHUNKS: u64 = 64;

/// State of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// Waits for a slot.
    Waiting,
    /// Was sent to the upstream.
    Running,
    /// Has ended, whether or not it was sent to the upstream.
    Ended(Outcome),
}

/// A call, from its start frame until its answer is no longer kept.
///
/// Later calls with the same idempotency key don't run again: they join as further
/// readers of the answer.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) start: Box<CallStart>,
    pub(crate) deadline: Instant,
    /// The link on which the call arrived.
    pub(crate) link: LinkKey,
    /// Instant after which a waiting call can't finish by its deadline.
    pub(crate) latest_start: Instant,
    /// Expected cost: the time that the call occupies a slot, in microseconds.
    pub(crate) cost_us: u64,
    /// When the call was taken from the queue to be sent to the upstream.
    pub(crate) started_at: Option<Instant>,
    /// When the last bytes of the answer arrived.
    pub(crate) last_bytes_at: Option<Instant>,
    pub(crate) state: RunState,
    pub(crate) answer: HeldAnswer,
    pub(crate) readers: SmallVec<[Reader; 1]>,
    /// The remembered idempotency key of the call.
    pub(crate) key_id: Option<KeyId>,
    /// Maximum size of an answer that is kept for later readers, in bytes.
    pub(crate) max_answer_bytes: usize,
    /// When the call is aborted, even without readers; none for a repeatable call,
    /// which is cancelled when its last reader is removed.
    pub(crate) abort_at: Option<Instant>,
}

impl Run {
    /// Creates a waiting call with one reader.
    pub(crate) fn new(
        now: Instant,
        start: Box<CallStart>,
        link: LinkKey,
        deadline: Instant,
        cost_us: u64,
    ) -> Self {
        let reader = Reader::new(start.stream, link, deadline, start.credit);
        let latest_start = deadline.checked_sub(Duration::from_micros(cost_us));
        Self {
            abort_at: (!start.repeatable).then_some(deadline),
            start,
            deadline,
            link,
            latest_start: latest_start.unwrap_or(now).max(now),
            cost_us,
            started_at: None,
            last_bytes_at: None,
            state: RunState::Waiting,
            answer: HeldAnswer::default(),
            readers: smallvec![reader],
            key_id: None,
            max_answer_bytes: 0,
        }
    }

    pub(crate) fn idempotency_key(&self) -> Option<&CompactString> {
        self.start.key.as_ref()
    }

    /// Returns the fair-queueing flow that the call belongs to.
    pub(crate) fn flow(&self) -> Flow<OrganisationName> {
        flow(&self.start)
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.state, RunState::Ended(_))
    }

    pub(crate) fn reader_mut(&mut self, stream: StreamId) -> Option<&mut Reader> {
        self.readers.iter_mut().find(|r| r.stream == stream)
    }

    /// Returns whether the full answer is kept for later readers.
    fn keeps_full_answer(&self) -> bool {
        self.key_id.is_some() && self.answer.held_bytes() <= self.max_answer_bytes
    }

    /// Drops the chunks that no reader needs and returns how many more chunks the
    /// upstream may send.
    ///
    /// While the full answer is kept, the upstream needn't wait for readers.
    pub(crate) fn trim(&mut self) -> u32 {
        if self.keeps_full_answer() && self.answer.first_chunk() == 0 {
            let stored_end = self.answer.next_chunk();
            return self.answer.grant_up_to(stored_end);
        }
        let stored_end = self.answer.next_chunk();
        let fastest = self.readers.iter().map(Reader::next_chunk).max();
        let slowest = self.readers.iter().map(Reader::first_unread_chunk).min();
        let consumed_end = fastest.unwrap_or(stored_end);
        let mut needed_start = slowest.unwrap_or(stored_end);
        if self.readers.len() > 1 {
            needed_start = needed_start.max(consumed_end.saturating_sub(MAX_LAG_CHUNKS));
        }
        self.answer.drop_before(needed_start);
        self.answer.grant_up_to(consumed_end)
    }
}

/// Returns the fair-queueing flow that a call belongs to.
pub(crate) fn flow(start: &CallStart) -> Flow<OrganisationName> {
    Flow {
        id: start.organisation.clone(),
        weight_milli: start.work.weight_milli,
    }
}

/// All calls of a companion, with their queue and timeouts.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    arena: SlotMap<RunKey, Run>,
    by_stream: HashMap<StreamId, RunKey>,
    queue: FairQueue<OrganisationName, RunKey>,
    timers: Timers,
    running: usize,
}

impl Runs {
    /// Returns whether all calls have ended and all readers were sent their
    /// terminal frame.
    pub(crate) fn all_delivered(&self) -> bool {
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

    pub(crate) fn find_by_stream(&self, stream: StreamId) -> Option<RunKey> {
        self.by_stream.get(&stream).copied()
    }

    /// Adds a call to the queue.
    pub(crate) fn enqueue(&mut self, run: Run) -> RunKey {
        let (flow, cost_us, priority) = (run.flow(), run.cost_us, run.start.priority);
        let latest_start = run.latest_start;
        let (stream, deadline, abort_at) = (run.start.stream, run.deadline, run.abort_at);
        let key = self.arena.insert(run);
        self.by_stream.insert(stream, key);
        self.timers.arm(deadline, Timer::Deadline(stream));
        if let Some(abort_at) = abort_at {
            self.timers.arm(abort_at, Timer::Abort(key));
        }
        self.timers.arm(latest_start, Timer::LatestStart(key));
        self.queue.push(flow, key, cost_us, priority);
        key
    }

    /// Takes the next call from the queue if fewer than `slots` calls run.
    pub(crate) fn start_next(&mut self, now: Instant, slots: u32) -> Option<RunKey> {
        if self.running >= slots as usize {
            return None;
        }
        let key = self.queue.pop()?;
        self.running += 1;
        let run = &mut self.arena[key];
        run.state = RunState::Running;
        run.started_at = Some(now);
        self.timers
            .disarm(run.latest_start, Timer::LatestStart(key));
        Some(key)
    }

    /// Ends a call and frees its slot; its answer is kept.
    pub(crate) fn end(&mut self, key: RunKey, outcome: Outcome) {
        self.release_slot(key);
        if let Some(run) = self.arena.get_mut(key) {
            run.state = RunState::Ended(outcome);
        }
    }

    /// Frees the slot or the queue position of a call that hasn't ended, and
    /// removes the timers of the call itself.
    fn release_slot(&mut self, key: RunKey) {
        let Some(run) = self.arena.get(key).filter(|run| !run.has_ended()) else {
            return;
        };
        if let Some(abort_at) = run.abort_at {
            self.timers.disarm(abort_at, Timer::Abort(key));
        }
        self.timers
            .disarm(run.latest_start, Timer::LatestStart(key));
        if !self.queue.remove(key) {
            self.running -= 1;
        }
    }

    /// Sets when a call is aborted.
    pub(crate) fn set_abort_at(&mut self, key: RunKey, abort_at: Instant) {
        if let Some(run) = self.arena.get_mut(key) {
            if let Some(old) = run.abort_at.replace(abort_at) {
                self.timers.disarm(old, Timer::Abort(key));
            }
            self.timers.arm(abort_at, Timer::Abort(key));
        }
    }

    /// Adds a reader to an existing call.
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
        self.timers.disarm_reader(&reader);
        Some(key)
    }

    /// Sets when a reader is removed; none for never.
    pub(crate) fn set_grace_end(&mut self, stream: StreamId, grace_end: Option<Instant>) {
        let Some(key) = self.find_by_stream(stream) else {
            return;
        };
        let reader = self
            .arena
            .get_mut(key)
            .and_then(|run| run.reader_mut(stream));
        let Some(reader) = reader else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut reader.grace_end, grace_end) {
            self.timers.disarm(old, Timer::GraceEnd(stream));
        }
        if let Some(grace_end) = grace_end {
            self.timers.arm(grace_end, Timer::GraceEnd(stream));
        }
    }

    /// Removes a call and its readers.
    pub(crate) fn remove(&mut self, key: RunKey) -> Option<Run> {
        self.release_slot(key);
        let run = self.arena.remove(key)?;
        for reader in &run.readers {
            self.by_stream.remove(&reader.stream);
            self.timers.disarm_reader(reader);
        }
        Some(run)
    }

    /// Returns the streams of all readers on a link.
    pub(crate) fn streams_on_link(&self, link: LinkKey) -> Vec<StreamId> {
        let readers = self.arena.values().flat_map(|run| &run.readers);
        readers
            .filter(|reader| reader.link == Some(link))
            .map(|reader| reader.stream)
            .collect()
    }

    /// Removes and returns the earliest timer if it is due.
    pub(crate) fn pop_due_timer(&mut self, now: Instant) -> Option<Timer> {
        self.timers.pop_due(now)
    }

    /// Returns when the next timer is due.
    pub(crate) fn next_timer_due(&self) -> Option<Instant> {
        self.timers.next_due()
    }

    /// Returns the queue of waiting calls.
    pub(crate) fn queue(&self) -> &FairQueue<OrganisationName, RunKey> {
        &self.queue
    }
}

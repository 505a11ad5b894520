//! Event queue of a run.

use super::call::CallId;
use egretstage_routing::BlockHash;
use egretstage_wire::{LoadReport, NotRunReason};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// One attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) call: CallId,
    /// Number of the attempt, counted from 1.
    pub(crate) number: u32,
}

/// Event of a run.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A new request arrives at an entry.
    Arrival,
    /// A caller retries its request.
    CallerRetry(CallId),
    /// A call reaches an upstream.
    CallDelivered { attempt: Attempt, upstream: usize },
    /// A call that still waits can no longer finish before its deadline.
    QueueTimeout { attempt: Attempt, upstream: usize },
    /// An upstream has generated the first token.
    FirstToken { attempt: Attempt, upstream: usize },
    /// An upstream has generated the last token.
    Finished { attempt: Attempt, upstream: usize },
    /// A cancellation reaches the upstream.
    Cancelled { attempt: Attempt, upstream: usize },
    /// An entry receives a refusal.
    RefusalReceived {
        attempt: Attempt,
        reason: NotRunReason,
        retry_after: Duration,
    },
    /// An entry receives the first token.
    FirstTokenReceived(Attempt),
    /// An entry receives the last token.
    AnswerReceived(Attempt),
    /// The deadline of a call has passed.
    DeadlinePassed(CallId),
    /// An upstream sends its load report.
    ReportDue(usize),
    /// An entry receives a load report.
    ReportReceived {
        entry: usize,
        upstream: usize,
        load: LoadReport,
    },
    /// All entries receive the cache events of an upstream.
    CacheEventsReceived {
        upstream: usize,
        stored: Vec<BlockHash>,
        evicted: Vec<BlockHash>,
    },
    /// A fault of the scenario, by index, takes effect.
    Fault(usize),
    /// The links to an upstream are closed.
    LinksDown(usize),
    /// The links to an upstream are open again.
    LinksUp(usize),
}

/// An event, ordered by time and then by the order of scheduling.
struct QueuedEvent(Reverse<(Instant, u64)>, Event);

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}

/// Events in order of time; those of the same time in order of scheduling.
#[derive(Default)]
pub(crate) struct EventQueue {
    events: BinaryHeap<QueuedEvent>,
    sequence: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events
            .push(QueuedEvent(Reverse((at, self.sequence)), event));
    }

    pub(crate) fn next(&mut self) -> Option<(Instant, Event)> {
        let QueuedEvent(Reverse((at, _)), event) = self.events.pop()?;
        Some((at, event))
    }
}

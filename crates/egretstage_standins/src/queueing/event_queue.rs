//! What happens next in a run.

use super::call::CallId;
use egretstage_routing::BlockHash;
use egretstage_wire::{LoadReport, NotRunReason};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// A call and which of its attempts is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) call: CallId,
    pub(crate) number: u32,
}

/// What happens.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A new request comes.
    Arrival,
    /// A caller asks again.
    AskAgain(CallId),
    /// A call reaches a upstream.
    Delivered { attempt: Attempt, upstream: usize },
    /// A waiting call can no longer finish in time.
    GivenUp { attempt: Attempt, upstream: usize },
    /// A upstream has made the first token.
    FirstToken { attempt: Attempt, upstream: usize },
    /// A upstream has made the last token.
    Finished { attempt: Attempt, upstream: usize },
    /// A cancelled call reaches its upstream.
    Cancelled { attempt: Attempt, upstream: usize },
    /// An entry hears of a refusal.
    Refused {
        attempt: Attempt,
        reason: NotRunReason,
        retry_after: Duration,
    },
    /// An entry hears of the first token.
    FirstHeard(Attempt),
    /// An entry hears of the last token.
    FinishHeard(Attempt),
    /// A call's deadline is past.
    Expired(CallId),
    /// A upstream reports.
    ReportDue(usize),
    /// An entry gets a report.
    Reported {
        entry: usize,
        upstream: usize,
        load: LoadReport,
    },
    /// Entries hear what a cache has stored and dropped.
    CacheHeard {
        upstream: usize,
        stored: Vec<BlockHash>,
        evicted: Vec<BlockHash>,
    },
    /// A fault of the scenario.
    Fault(usize),
    /// The links to a upstream end.
    LinksDown(usize),
    /// The links to a upstream are open.
    LinksUp(usize),
}

struct Entry(Reverse<(Instant, u64)>, Event);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}

/// Events in the order of their time.
#[derive(Default)]
pub(crate) struct EventQueue {
    events: BinaryHeap<Entry>,
    sequence: u64,
}

impl EventQueue {
    pub(crate) fn add(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Entry(Reverse((at, self.sequence)), event));
    }

    pub(crate) fn next(&mut self) -> Option<(Instant, Event)> {
        let Entry(Reverse((at, _)), event) = self.events.pop()?;
        Some((at, event))
    }
}

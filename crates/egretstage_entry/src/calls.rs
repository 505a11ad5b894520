//! The calls that an entry is serving.

use crate::runners::RunnerKey;
use crate::{CallKey, CallRequest, RefusalKind};
use egretstage_link::LinkKey;
use egretstage_routing::SentWork;
use egretstage_wire::{NotRunReason, OrganisationName, ServiceName, StreamId, UnknownReason};
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

/// Where a call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Sent {
    pub(crate) runner: RunnerKey,
    pub(crate) link: LinkKey,
    pub(crate) stream: StreamId,
    pub(crate) work: SentWork,
}

/// A call from its arrival to its last answer part.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) req: Box<CallRequest>,
    pub(crate) organisation: OrganisationName,
    pub(crate) service: ServiceName,
    pub(crate) repeatable: bool,
    pub(crate) deadline: Instant,
    pub(crate) sent: Option<Sent>,
    pub(crate) attempts: u32,
    /// Why an earlier attempt may have run, if it may.
    pub(crate) doubt: Option<UnknownReason>,
    pub(crate) head_passed: bool,
    /// Whether the answer is a stream of events.
    pub(crate) streamed: bool,
    /// Events of the answer that have arrived.
    pub(crate) events: u32,
    pub(crate) received_bytes: u64,
}

impl Call {
    /// Returns what to say of a call that is given up: an earlier attempt may
    /// have run.
    pub(crate) fn refusal(&self, reason: NotRunReason) -> RefusalKind {
        self.doubt
            .map_or(RefusalKind::NotRun(reason), RefusalKind::Unknown)
    }
}

/// All calls of an entry, with their deadlines in order.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    by_key: HashMap<CallKey, Call>,
    by_stream: HashMap<StreamId, CallKey>,
    deadlines: BTreeSet<(Instant, CallKey)>,
}

impl Calls {
    pub(crate) fn insert(&mut self, key: CallKey, call: Call) {
        self.deadlines.insert((call.deadline, key));
        self.by_key.insert(key, call);
    }

    pub(crate) fn get(&self, key: CallKey) -> Option<&Call> {
        self.by_key.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: CallKey) -> Option<&mut Call> {
        self.by_key.get_mut(&key)
    }

    pub(crate) fn of_stream(&self, stream: StreamId) -> Option<CallKey> {
        self.by_stream.get(&stream).copied()
    }

    /// Notes where a call was sent; an earlier attempt is forgotten.
    pub(crate) fn set_sent(&mut self, key: CallKey, sent: Option<Sent>) {
        let Some(call) = self.by_key.get_mut(&key) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut call.sent, sent) {
            self.by_stream.remove(&old.stream);
        }
        if let Some(new) = sent {
            self.by_stream.insert(new.stream, key);
        }
    }

    pub(crate) fn remove(&mut self, key: CallKey) -> Option<Call> {
        let call = self.by_key.remove(&key)?;
        self.deadlines.remove(&(call.deadline, key));
        if let Some(sent) = call.sent {
            self.by_stream.remove(&sent.stream);
        }
        Some(call)
    }

    /// Returns the calls that run on a link, in the order of their arrival.
    pub(crate) fn on_link(&self, link: LinkKey) -> Vec<CallKey> {
        let on_link = |call: &Call| call.sent.is_some_and(|sent| sent.link == link);
        let mut keys: Vec<_> = self
            .by_key
            .iter()
            .filter(|(_, call)| on_link(call))
            .map(|(key, _)| *key)
            .collect();
        keys.sort_unstable();
        keys
    }

    /// Returns a call whose deadline has passed.
    pub(crate) fn expired(&self, now: Instant) -> Option<CallKey> {
        self.deadlines
            .first()
            .filter(|(deadline, _)| *deadline <= now)
            .map(|(_, key)| *key)
    }

    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }
}

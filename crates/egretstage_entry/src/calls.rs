//! The calls that an entry is serving.

use crate::runners::RunnerKey;
use crate::{CallKey, CallRequest, RefusalKind};
use egretstage_link::LinkKey;
use egretstage_once::KeyDigest;
use egretstage_routing::InFlightCall;
use egretstage_wire::{
    Incarnation, KeyClaim, NotRunReason, OrganisationName, ServiceName, StreamId, UnknownReason,
};
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

/// Where a call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Sent {
    pub(crate) runner: RunnerKey,
    pub(crate) link: LinkKey,
    pub(crate) stream: StreamId,
    pub(crate) work: InFlightCall,
    pub(crate) incarnation: Incarnation,
}

/// What a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wait {
    /// The owner of its key.
    Owner,
    /// The link that its answer was coming over.
    Link,
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
    pub(crate) received_chunks: u32,
    pub(crate) read_chunks: u32,
    /// The key's digest, for a call that has one and may not be repeated.
    pub(crate) digest: Option<KeyDigest>,
    /// What was claimed of the key when the call was last sent.
    pub(crate) claim: Option<KeyClaim>,
    /// When the search for the key's owner is given up.
    pub(crate) search_until: Option<Instant>,
    wait: Option<(Instant, Wait)>,
}

impl Call {
    /// Prepares a call that was not sent yet.
    pub(crate) fn new(
        req: Box<CallRequest>,
        organisation: OrganisationName,
        service: ServiceName,
        repeatable: bool,
        deadline: Instant,
    ) -> Self {
        let key = req.key.as_deref().filter(|_| !repeatable);
        Self {
            digest: key.map(|key| KeyDigest::new(&organisation, &service, key)),
            req,
            organisation,
            service,
            repeatable,
            deadline,
            sent: None,
            attempts: 0,
            head_passed: false,
            streamed: false,
            events: 0,
            received_bytes: 0,
            received_chunks: 0,
            read_chunks: 0,
            claim: None,
            doubt: None,
            search_until: None,
            wait: None,
        }
    }

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
    waits: BTreeSet<(Instant, CallKey)>,
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
        if let Some((at, _)) = call.wait {
            self.waits.remove(&(at, key));
        }
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

    /// Sets what a call waits for and how long.
    pub(crate) fn set_wait(&mut self, key: CallKey, wait: Option<(Instant, Wait)>) {
        let Some(call) = self.by_key.get_mut(&key) else {
            return;
        };
        if let Some((at, _)) = std::mem::replace(&mut call.wait, wait) {
            self.waits.remove(&(at, key));
        }
        if let Some((at, _)) = wait {
            self.waits.insert((at, key));
        }
    }

    /// Takes a call that has waited long enough.
    pub(crate) fn take_wait(&mut self, now: Instant) -> Option<(CallKey, Wait)> {
        let (_, key) = *self.waits.first().filter(|(at, _)| *at <= now)?;
        let (_, wait) = self.by_key.get(&key)?.wait?;
        self.set_wait(key, None);
        Some((key, wait))
    }

    /// Returns when the next call has waited long enough.
    pub(crate) fn next_wait(&self) -> Option<Instant> {
        self.waits.first().map(|(at, _)| *at)
    }

    /// Returns the calls that wait for a companion's link, in the order of
    /// their arrival.
    pub(crate) fn awaiting_link(&self, runner: RunnerKey) -> Vec<CallKey> {
        let waits = |call: &Call| {
            matches!(call.wait, Some((_, Wait::Link)))
                && call.sent.is_some_and(|sent| sent.runner == runner)
        };
        let mut keys: Vec<_> = self.waits.iter().map(|(_, key)| *key).collect();
        keys.retain(|key| self.by_key.get(key).is_some_and(waits));
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

//! The calls in progress at an entry.

use crate::upstreams::UpstreamKey;
use crate::{CallKey, CallRequest, RefusalKind};
use egretstage_link::LinkId;
use egretstage_once::KeyDigest;
use egretstage_routing::InFlightCall;
use egretstage_wire::{
    Incarnation, KeyClaim, NotRunReason, OrganisationName, ServiceName, StreamId, UnknownReason,
};
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

/// The current attempt of a call: the upstream that it was sent to, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentCall {
    pub(crate) upstream: UpstreamKey,
    pub(crate) link: LinkId,
    pub(crate) stream: StreamId,
    pub(crate) in_flight: InFlightCall,
    pub(crate) incarnation: Incarnation,
}

/// What a waiting call needs to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitReason {
    /// A reachable owner of its idempotency key.
    Owner,
    /// A new link to the companion that sends its answer.
    Link,
}

/// A call, from its arrival to the last part of its answer.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) req: Box<CallRequest>,
    pub(crate) organisation: OrganisationName,
    pub(crate) service: ServiceName,
    pub(crate) repeatable: bool,
    pub(crate) deadline: Instant,
    pub(crate) sent: Option<SentCall>,
    pub(crate) attempts: u32,
    /// Why it isn't known whether an earlier attempt ran, `None` if it is known.
    pub(crate) unknown_reason: Option<UnknownReason>,
    pub(crate) head_forwarded: bool,
    /// Whether the answer is a stream of server-sent events.
    pub(crate) is_event_stream: bool,
    /// Number of events of the answer received.
    pub(crate) received_events: u32,
    pub(crate) received_bytes: u64,
    pub(crate) received_chunks: u32,
    pub(crate) read_chunks: u32,
    /// Digest of the idempotency key, for a call that has one and isn't
    /// repeatable.
    pub(crate) key_digest: Option<KeyDigest>,
    /// The claim on the key that the last attempt carried.
    pub(crate) claim: Option<KeyClaim>,
    /// End of the search for the owner of the key.
    pub(crate) owner_search_until: Option<Instant>,
    wait: Option<(Instant, WaitReason)>,
}

impl Call {
    /// Creates a call that wasn't sent yet.
    pub(crate) fn new(
        req: Box<CallRequest>,
        organisation: OrganisationName,
        service: ServiceName,
        repeatable: bool,
        deadline: Instant,
    ) -> Self {
        let key = req.key.as_deref().filter(|_| !repeatable);
        Self {
            key_digest: key.map(|key| KeyDigest::new(&organisation, &service, key)),
            req,
            organisation,
            service,
            repeatable,
            deadline,
            sent: None,
            attempts: 0,
            head_forwarded: false,
            is_event_stream: false,
            received_events: 0,
            received_bytes: 0,
            received_chunks: 0,
            read_chunks: 0,
            claim: None,
            unknown_reason: None,
            owner_search_until: None,
            wait: None,
        }
    }

    /// Returns the refusal for a call that isn't sent again: `Unknown` if an
    /// earlier attempt may have run, else `NotRun`.
    pub(crate) fn refusal_kind(&self, reason: NotRunReason) -> RefusalKind {
        self.unknown_reason
            .map_or(RefusalKind::NotRun(reason), RefusalKind::Unknown)
    }
}

/// All calls of an entry, indexed by stream, deadline and end of wait.
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

    pub(crate) fn find_by_stream(&self, stream: StreamId) -> Option<CallKey> {
        self.by_stream.get(&stream).copied()
    }

    /// Replaces the current attempt of a call.
    pub(crate) fn set_sent(&mut self, key: CallKey, sent: Option<SentCall>) {
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

    /// Returns the calls sent on a link, in order of arrival.
    pub(crate) fn keys_on_link(&self, link: LinkId) -> Vec<CallKey> {
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

    /// Sets what a call waits for, and the end of that wait.
    pub(crate) fn set_wait(&mut self, key: CallKey, wait: Option<(Instant, WaitReason)>) {
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

    /// Takes a call whose wait has ended.
    pub(crate) fn take_elapsed_wait(&mut self, now: Instant) -> Option<(CallKey, WaitReason)> {
        let (_, key) = *self.waits.first().filter(|(at, _)| *at <= now)?;
        let (_, wait) = self.by_key.get(&key)?.wait?;
        self.set_wait(key, None);
        Some((key, wait))
    }

    /// Returns when the next wait ends.
    pub(crate) fn next_wait_end(&self) -> Option<Instant> {
        self.waits.first().map(|(at, _)| *at)
    }

    /// Returns the calls that wait for a link to an upstream's companion, in
    /// order of arrival.
    pub(crate) fn keys_awaiting_link(&self, upstream: UpstreamKey) -> Vec<CallKey> {
        let awaits_upstream = |call: &Call| {
            matches!(call.wait, Some((_, WaitReason::Link)))
                && call.sent.is_some_and(|sent| sent.upstream == upstream)
        };
        let mut keys: Vec<_> = self.waits.iter().map(|(_, key)| *key).collect();
        keys.retain(|key| self.by_key.get(key).is_some_and(awaits_upstream));
        keys.sort_unstable();
        keys
    }

    /// Returns the call with the earliest deadline, if that has passed.
    pub(crate) fn next_expired(&self, now: Instant) -> Option<CallKey> {
        self.deadlines
            .first()
            .filter(|(deadline, _)| *deadline <= now)
            .map(|(_, key)| *key)
    }

    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }
}

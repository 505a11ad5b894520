//! Decides whether calls with an idempotency key may run.

use crate::changes::ChangeQueue;
use crate::table::{KeyEntry, KeyTable};
use crate::{
    CallFingerprint, KeyDigest, KeyHistory, KeyId, KeyName, KeyOwnerLimits, OwnerSet, OwnersRecord,
    OwnershipFold,
};
use egretstage_wire::{InstanceId, KeyClaim, Member};
use std::time::{Duration, Instant};

/// A call that has an idempotency key and must not run twice.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// The idempotency key with its organisation.
    pub name: KeyName,
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Digest of the request.
    pub fingerprint: CallFingerprint,
    /// The ownership that the entry assumed when it sent the call.
    pub claim: KeyClaim,
}

/// Whether a call may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission<T> {
    /// The key is new: the call may be queued.
    New,
    /// The key is remembered: the answer of its run is this call's answer too.
    Join(T),
    /// The call must not run here.
    Refused(KeyRefusal),
}

/// Why a call with a key must not run here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// This companion doesn't own the key in the claimed epoch, is leaving,
    /// waits for a former owner to list its keys, or was asked only for the
    /// answer of a key that it doesn't remember.
    NotOwner,
    /// The owner has no lease: it hasn't read to the end of the log recently.
    Unconfirmed,
    /// The key was already used for another request.
    Reused,
    /// The owner remembers the largest number of keys that is allowed.
    Full,
    /// This former owner may have run the key and may still hold the answer.
    AskFormerOwner(InstanceId),
    /// A former owner whose runs are unknown may have run the key.
    Embargo {
        /// Time from which the key is considered not run.
        until: Instant,
    },
}

/// Decides which calls with a key one companion may run.
///
/// `T` identifies a run of the companion.
#[derive(Debug)]
pub struct KeyOwner<T> {
    member: Member,
    limits: KeyOwnerLimits,
    fold: OwnershipFold,
    keys: KeyTable<T>,
    changes: ChangeQueue,
    /// Request time of the latest read that reached the end of the log.
    lease_start: Option<Instant>,
    leaving: bool,
}

impl<T: Copy> KeyOwner<T> {
    /// Creates an owner that hasn't read the log yet.
    #[must_use]
    pub fn new(member: Member, limits: KeyOwnerLimits) -> Self {
        Self {
            changes: ChangeQueue::new(member.clone()),
            member,
            limits,
            fold: OwnershipFold::default(),
            keys: KeyTable::default(),
            lease_start: None,
            leaving: false,
        }
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &KeyOwnerLimits {
        &self.limits
    }

    /// Returns the offset that is read next.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.fold.next_offset()
    }

    /// Returns the owners of the current epoch.
    #[must_use]
    pub fn owners(&self) -> Option<&OwnerSet> {
        self.fold.owners()
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Sets the oldest offset that the log still holds.
    pub fn set_log_start(&mut self, now: Instant, first: u64) {
        self.fold.set_log_start(now, first);
    }

    /// Folds the record at an offset; `record` is none if the offset holds no
    /// owners record.
    pub fn apply(&mut self, now: Instant, offset: u64, record: Option<&OwnersRecord>) {
        match record {
            Some(record) => {
                self.fold.apply(now, offset, record);
            }
            None => self.fold.skip(offset),
        }
    }

    /// Renews the lease after a read reached the end of the log.
    ///
    /// The lease counts from `requested_at`, when the read was requested:
    /// later changes may be missing from the read.
    pub fn renew_lease(&mut self, requested_at: Instant) {
        self.lease_start = self.lease_start.max(Some(requested_at));
    }

    /// Returns whether the owner holds its lease, so that its view of the owners
    /// is recent enough to start runs.
    #[must_use]
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    fn lease_end(&self) -> Option<Instant> {
        self.lease_start
            .map(|requested_at| requested_at + self.limits.lease)
    }

    fn owns(&self, key: KeyDigest) -> bool {
        let owner = self.fold.owners().and_then(|owners| owners.owner(key));
        owner == Some(&self.member)
    }

    /// Decides whether a call may run.
    #[must_use]
    pub fn admit(&self, now: Instant, call: &KeyedCall) -> Admission<T> {
        if let Some(entry) = self.keys.find(&call.name) {
            return if entry.fingerprint == call.fingerprint {
                Admission::Join(entry.run)
            } else {
                Admission::Refused(KeyRefusal::Reused)
            };
        }
        match self.refusal(now, call) {
            Some(refusal) => Admission::Refused(refusal),
            None => Admission::New,
        }
    }

    /// Returns why a call with a new key must not run, if it must not.
    fn refusal(&self, now: Instant, call: &KeyedCall) -> Option<KeyRefusal> {
        let claim = &call.claim;
        let is_owner = claim.epoch == self.fold.epoch() && self.owns(call.digest);
        if claim.recall || self.leaving || !is_owner {
            return Some(KeyRefusal::NotOwner);
        }
        if !claim.run_without_log && !self.holds_lease(now) {
            return Some(KeyRefusal::Unconfirmed);
        }
        let embargo = self.limits.embargo();
        match self.fold.history(now, call.digest, &self.member, embargo) {
            KeyHistory::Clear if self.keys.len() >= self.limits.max_keys => Some(KeyRefusal::Full),
            KeyHistory::Clear => None,
            KeyHistory::FormerOwner(instance) => Some(KeyRefusal::AskFormerOwner(instance)),
            KeyHistory::Embargo { until } => Some(KeyRefusal::Embargo { until }),
            KeyHistory::AwaitsHandover => Some(KeyRefusal::NotOwner),
        }
    }

    /// Remembers the key of an admitted call with its run.
    pub fn insert(&mut self, call: KeyedCall, run: T) -> KeyId {
        let mut entry = KeyEntry::new(call.name, call.digest, call.fingerprint, run);
        entry.run_without_log = call.claim.run_without_log;
        self.keys.insert(entry)
    }

    /// Returns until when a queued call may be sent to the upstream; none if it
    /// must not be sent, as ownership may have changed while the call waited.
    ///
    /// A key that was handed over may start until its deadline: its new owner
    /// assumes that it ran.
    #[must_use]
    pub fn may_start_until(&self, now: Instant, id: KeyId, deadline: Instant) -> Option<Instant> {
        let entry = self.keys.get(id)?;
        if entry.listed {
            return Some(deadline);
        }
        if !self.owns(entry.digest) {
            return None;
        }
        let until = if entry.run_without_log {
            deadline
        } else {
            deadline.min(self.lease_end()?)
        };
        (now < until).then_some(until)
    }

    /// Forgets a key whose call certainly hasn't run.
    pub fn forget_not_run(&mut self, id: KeyId) {
        self.keys.remove(id);
    }

    /// Handles the end of a run; its key is remembered for the window from now
    /// on.
    pub fn run_ended(&mut self, now: Instant, id: KeyId) {
        self.keys.expire_at(id, now + self.limits.window);
    }

    /// Forgets the keys and epochs that have expired and returns the runs of
    /// these keys.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.fold.prune(now, self.limits.embargo());
        self.keys.take_expired(now)
    }

    /// Returns when [`expire`](Self::expire) or
    /// [`next_append`](Self::next_append) is next due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let expiry = self.keys.next_expiry();
        [expiry, self.changes.next_attempt()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Starts to leave the owners; new keys are refused from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether this owner is leaving and no longer among the owners on
    /// the log.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let owners = self.fold.owners();
        self.leaving && !owners.is_some_and(|owners| owners.contains(&self.member))
    }

    /// Returns the record to append now, if one is due.
    pub fn next_append(&mut self, now: Instant) -> Option<OwnersRecord> {
        self.lease_start?;
        let refresh_limit = self.refresh_limit();
        self.changes.next_record(
            now,
            &self.fold,
            &mut self.keys,
            crate::changes::AppendInputs {
                leaving: self.leaving,
                refresh_interval: self.limits.refresh_interval,
                refresh_limit,
            },
        )
    }

    /// Returns how long to wait for a refresh record before the owner set is
    /// assumed empty.
    fn refresh_limit(&self) -> Duration {
        self.limits.embargo().max(self.limits.refresh_interval * 2)
    }

    /// Handles the response to an append; `appended` says whether it succeeded.
    pub fn append_answered(&mut self, now: Instant, appended: bool) {
        self.changes.append_answered(now, appended);
    }
}

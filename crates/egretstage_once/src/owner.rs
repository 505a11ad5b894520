//! The decisions of a key owner.

use crate::changes::Changes;
use crate::table::{KeyEntry, KeyTable};
use crate::{
    CallFingerprint, KeyDigest, KeyHistory, KeyId, KeyName, KeyOwnerLimits, OwnerSet, OwnersRecord,
    OwnershipFold,
};
use egretstage_wire::{InstanceId, KeyClaim, Member};
use std::time::{Duration, Instant};

/// A call that has a key and may not be repeated.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// The key.
    pub name: KeyName,
    /// The key's digest.
    pub digest: KeyDigest,
    /// Digest of the request.
    pub fingerprint: CallFingerprint,
    /// What the entry claims.
    pub claim: KeyClaim,
}

/// Whether a call may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission<T> {
    /// The key is new: the call may be queued.
    New,
    /// The key is known: its run answers this call too.
    Join(T),
    /// The call doesn't run here.
    Refused(KeyRefusal),
}

/// Why a call with a key doesn't run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The receiver doesn't own the key in the claimed epoch.
    NotOwner,
    /// The owner can't confirm its ownership on the log.
    Unconfirmed,
    /// The key was used before for another request.
    Reused,
    /// The owner remembers as many keys as it may.
    Full,
    /// A former owner may have run the key and may remember the answer.
    AskFormerOwner(InstanceId),
    /// A former owner, which is gone, may have run the key.
    FormerOwner {
        /// When the key counts as not run.
        until: Instant,
    },
}

/// Decides on the calls with keys of one companion.
///
/// `T` names a run in the companion's arena.
#[derive(Debug)]
pub struct KeyOwner<T> {
    member: Member,
    limits: KeyOwnerLimits,
    fold: OwnershipFold,
    keys: KeyTable<T>,
    changes: Changes,
    /// When the last read that reached the end of the log was asked for.
    confirmed: Option<Instant>,
    leaving: bool,
}

impl<T: Copy> KeyOwner<T> {
    /// Starts an owner that has read nothing of the log.
    #[must_use]
    pub fn new(member: Member, limits: KeyOwnerLimits) -> Self {
        Self {
            changes: Changes::new(member.clone()),
            member,
            limits,
            fold: OwnershipFold::default(),
            keys: KeyTable::default(),
            confirmed: None,
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

    /// Returns the owners of the present epoch.
    #[must_use]
    pub fn owners(&self) -> Option<&OwnerSet> {
        self.fold.owners()
    }

    /// Returns how many keys are remembered.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Notes the oldest offset that the log still holds.
    pub fn set_log_start(&mut self, now: Instant, first: u64) {
        self.fold.set_log_start(now, first);
    }

    /// Folds a record, none for one of another kind.
    pub fn apply(&mut self, now: Instant, offset: u64, record: Option<&OwnersRecord>) {
        match record {
            Some(record) => {
                self.fold.apply(now, offset, record);
            }
            None => self.fold.skip(offset),
        }
    }

    /// Notes that a read that was asked for at `asked` reached the end of the
    /// log.
    pub fn renew_lease(&mut self, asked: Instant) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Tells whether the ownership was confirmed within the lease.
    #[must_use]
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    fn lease_end(&self) -> Option<Instant> {
        self.confirmed.map(|asked| asked + self.limits.lease)
    }

    fn owns(&self, key: KeyDigest) -> bool {
        let owner = self.fold.owners().and_then(|owners| owners.owner(key));
        owner == Some(&self.member)
    }

    /// Decides on a call.
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
            KeyHistory::Embargo { until } => Some(KeyRefusal::FormerOwner { until }),
            KeyHistory::AwaitsHandover => Some(KeyRefusal::NotOwner),
        }
    }

    /// Remembers an admitted call with its run.
    pub fn insert(&mut self, call: KeyedCall, run: T) -> KeyId {
        let mut entry = KeyEntry::new(call.name, call.digest, call.fingerprint, run);
        entry.run_without_log = call.claim.run_without_log;
        self.keys.insert(entry)
    }

    /// Tells until when a queued call may be handed to the upstream; none for
    /// never. Ownership may have changed while the call waited.
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

    /// Forgets a key whose call was proved not to have run.
    pub fn forget_not_run(&mut self, id: KeyId) {
        self.keys.remove(id);
    }

    /// Notes the end of a run; the key is remembered for the window from now.
    pub fn run_ended(&mut self, now: Instant, id: KeyId) {
        self.keys.forget_at(id, now + self.limits.window);
    }

    /// Forgets what is older than the window and returns the forgotten runs.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.fold.prune(now, self.limits.embargo());
        self.keys.take_forgotten(now)
    }

    /// Returns when [`expire`](Self::expire) or
    /// [`next_append`](Self::next_append) next has work.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let forget = self.keys.next_forget();
        [forget, self.changes.next_attempt()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Starts to leave: no new key is taken from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Tells whether the leave stands on the log.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let owners = self.fold.owners();
        self.leaving && !owners.is_some_and(|owners| owners.contains(&self.member))
    }

    /// Returns the record that shall be appended now, if any.
    pub fn next_append(&mut self, now: Instant) -> Option<OwnersRecord> {
        self.confirmed?;
        let refresh_limit = self.refresh_limit();
        self.changes.next(
            now,
            &self.fold,
            &mut self.keys,
            crate::changes::Wishes {
                leaving: self.leaving,
                refresh_interval: self.limits.refresh_interval,
                refresh_limit,
            },
        )
    }

    fn refresh_limit(&self) -> Duration {
        self.limits.embargo().max(self.limits.refresh_interval * 2)
    }

    /// Notes the answer to an append.
    pub fn append_answered(&mut self, now: Instant, appended: bool) {
        self.changes.answered(now, appended);
    }
}

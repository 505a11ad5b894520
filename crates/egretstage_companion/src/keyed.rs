//! Calls that have a key and may not be repeated.

use crate::{CompanionEffect, RunKey};
use egretstage_once::{
    Admission, CallFingerprint, FingerprintParts, KeyDigest, KeyId, KeyName, KeyOwner, KeyRefusal,
    KeyedCall, OnceLimits,
};
use egretstage_platform::LogPage;
use egretstage_wire::{
    CallStart, Epoch, Frame, KeyClaim, Member, NotRunReason, Outcome, ServiceName, UnknownReason,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Longest wait for the leave to stand on the log.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time to come back at when the ownership is in doubt.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a companion owns keys.
#[derive(Clone, Debug)]
pub struct KeyOptions {
    /// The service.
    pub service: ServiceName,
    /// This start of the companion.
    pub member: Member,
    /// Limits of the owner.
    pub limits: OnceLimits,
    /// Largest answer that is held for callers who ask again, in bytes.
    pub max_answer_bytes: usize,
    /// Most bytes of all answers that are held.
    pub max_held_bytes: usize,
}

/// The keys of a companion with the answers that are held for them.
#[derive(Debug)]
pub(crate) struct Keyed {
    options: KeyOptions,
    owner: KeyOwner<RunKey>,
    held: VecDeque<(RunKey, usize)>,
    held_bytes: usize,
    published: Epoch,
    leave_by: Option<Instant>,
    leave_timed_out: bool,
}

impl Keyed {
    pub(crate) fn new(options: KeyOptions) -> Self {
        Self {
            owner: KeyOwner::new(options.member.clone(), options.limits),
            options,
            held: VecDeque::new(),
            held_bytes: 0,
            published: Epoch(0),
            leave_by: None,
            leave_timed_out: false,
        }
    }

    pub(crate) fn max_answer_bytes(&self) -> usize {
        self.options.max_answer_bytes
    }

    /// Describes a call to the owner.
    pub(crate) fn call(&self, start: &CallStart, claim: KeyClaim) -> KeyedCall {
        let key = start.key.clone().unwrap_or_default();
        let parts = FingerprintParts {
            method: &start.method,
            path: &start.path,
            body: &start.body,
        };
        KeyedCall {
            digest: KeyDigest::new(&start.organisation, &self.options.service, &key),
            fingerprint: CallFingerprint::from(parts),
            name: KeyName {
                organisation: start.organisation.clone(),
                key,
            },
            claim,
        }
    }

    pub(crate) fn admit(&self, now: Instant, call: &KeyedCall) -> Admission<RunKey> {
        self.owner.admit(now, call)
    }

    /// Remembers an admitted call; returns when its run is given up.
    pub(crate) fn insert(
        &mut self,
        now: Instant,
        call: KeyedCall,
        run: RunKey,
    ) -> (KeyId, Instant) {
        let id = self.owner.insert(call, run);
        (id, now + self.options.limits.longest_budget)
    }

    pub(crate) fn may_start_until(&self, now: Instant, id: KeyId, by: Instant) -> Option<Instant> {
        self.owner.may_start_until(now, id, by)
    }

    pub(crate) fn not_run(&mut self, id: KeyId) {
        self.owner.not_run(id);
    }

    /// Notes the end of a run; returns runs whose answers are dropped to stay
    /// within the bound.
    pub(crate) fn ended(
        &mut self,
        now: Instant,
        id: KeyId,
        run: RunKey,
        bytes: usize,
    ) -> Vec<RunKey> {
        self.owner.ended(now, id);
        self.held.push_back((run, bytes));
        self.held_bytes += bytes;
        let mut dropped = Vec::new();
        while self.held_bytes > self.options.max_held_bytes {
            let Some((run, bytes)) = self.held.pop_front() else {
                break;
            };
            self.held_bytes -= bytes;
            dropped.push(run);
        }
        dropped
    }

    /// Forgets what is older than the window and returns the forgotten runs.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<RunKey> {
        if self.leave_by.is_some_and(|by| by <= now) {
            self.leave_by = None;
            self.leave_timed_out = true;
        }
        let forgotten = self.owner.expire(now);
        for run in &forgotten {
            if let Some(index) = self.held.iter().position(|(held, _)| held == run) {
                let bytes = self.held.remove(index).map_or(0, |(_, bytes)| bytes);
                self.held_bytes -= bytes;
            }
        }
        forgotten
    }

    /// Folds a page of the owners stream that was requested at `requested_at`.
    pub(crate) fn read(&mut self, now: Instant, requested_at: Instant, page: &LogPage) {
        self.owner.note_first(now, page.first);
        for record in &page.records {
            let parsed = serde_json::from_value(record.data.clone()).ok();
            self.owner.apply(now, record.offset, parsed.as_ref());
        }
        if self.owner.next_offset() == page.next {
            self.owner.confirm(requested_at);
        }
    }

    pub(crate) fn append_answered(&mut self, now: Instant, appended: bool) {
        self.owner.append_answered(now, appended);
    }

    /// Returns the frame that tells entries of the owners.
    pub(crate) fn owners_frame(&self) -> Option<Frame> {
        let owners = self.owner.owners()?;
        Some(Frame::Owners(owners.to_view(self.options.service.clone())))
    }

    /// Returns the owners frame if the epoch has changed since the last call.
    pub(crate) fn changed_owners(&mut self) -> Option<Frame> {
        let epoch = self.owner.owners()?.epoch();
        if std::mem::replace(&mut self.published, epoch) == epoch {
            return None;
        }
        self.owners_frame()
    }

    pub(crate) fn next_append(&mut self, now: Instant) -> Option<CompanionEffect> {
        let record = self.owner.next_append(now)?;
        Some(CompanionEffect::Append(Box::new(record)))
    }

    pub(crate) fn leave(&mut self, now: Instant) {
        self.owner.leave();
        self.leave_by = Some(now + LEAVE_TIMEOUT);
    }

    /// Tells whether the leave stands on the log or has taken too long.
    pub(crate) fn may_exit(&self) -> bool {
        self.owner.has_left() || self.leave_timed_out
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        [self.owner.next_wake(), self.leave_by]
            .into_iter()
            .flatten()
            .min()
    }
}

/// Returns what the entry is told of a refused call; none when it shall ask a
/// former owner.
pub(crate) fn outcome_of(refusal: &KeyRefusal, leaving: bool) -> Option<Outcome> {
    let millis = u64::try_from(RETRY_AFTER.as_millis()).ok();
    let not_run = |reason, retry_after_ms| Outcome::NotRun {
        reason,
        retry_after_ms,
    };
    Some(match refusal {
        KeyRefusal::NotOwner if leaving => not_run(NotRunReason::Leaving, None),
        KeyRefusal::NotOwner => not_run(NotRunReason::NotOwner, None),
        KeyRefusal::Unconfirmed => not_run(NotRunReason::OwnershipUnconfirmed, millis),
        KeyRefusal::Reused => not_run(NotRunReason::KeyReused, None),
        KeyRefusal::Full => not_run(NotRunReason::KeysFull, millis),
        KeyRefusal::FormerOwner { .. } => Outcome::Unknown {
            reason: UnknownReason::FormerOwner,
        },
        KeyRefusal::AskFormer(_) => return None,
    })
}

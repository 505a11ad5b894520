//! Calls that have an idempotency key and may run at most once.

use crate::{CompanionEffect, RunKey};
use egretstage_once::{
    Admission, CallFingerprint, FingerprintParts, KeyDigest, KeyId, KeyName, KeyOwner,
    KeyOwnerLimits, KeyRefusal, KeyedCall,
};
use egretstage_platform::LogPage;
use egretstage_wire::{
    CallStart, Epoch, Frame, KeyClaim, Member, NotRunReason, Outcome, ServiceName, UnknownReason,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum wait until the leave record is on the log.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a caller may retry when the ownership is unconfirmed or the
/// key table is full.
const KEY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Options of a companion that can own idempotency keys.
#[derive(Clone, Debug)]
pub struct KeyOptions {
    /// The service.
    pub service: ServiceName,
    /// The companion's instance and incarnation.
    pub member: Member,
    /// Limits of the key owner.
    pub limits: KeyOwnerLimits,
    /// Maximum size of an answer that is kept for repeated calls, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum total size of the answers that are kept, in bytes.
    pub max_held_bytes: usize,
}

/// The idempotency keys that a companion owns, and the sizes of the answers kept
/// for them.
#[derive(Debug)]
pub(crate) struct KeyedCalls {
    options: KeyOptions,
    owner: KeyOwner<RunKey>,
    /// Ended runs and the sizes of their kept answers in bytes, oldest first.
    held_answers: VecDeque<(RunKey, usize)>,
    held_bytes: usize,
    /// Epoch of the owners that were last sent to all entries.
    published_epoch: Epoch,
    leave_deadline: Option<Instant>,
    leave_timed_out: bool,
}

impl KeyedCalls {
    pub(crate) fn new(options: KeyOptions) -> Self {
        Self {
            owner: KeyOwner::new(options.member.clone(), options.limits),
            options,
            held_answers: VecDeque::new(),
            held_bytes: 0,
            published_epoch: Epoch(0),
            leave_deadline: None,
            leave_timed_out: false,
        }
    }

    pub(crate) fn max_answer_bytes(&self) -> usize {
        self.options.max_answer_bytes
    }

    /// Returns the call in the form that the key owner decides on.
    pub(crate) fn describe_call(&self, start: &CallStart, claim: KeyClaim) -> KeyedCall {
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

    /// Remembers an admitted call; returns its key's ID and when its run is
    /// aborted.
    pub(crate) fn insert(
        &mut self,
        now: Instant,
        call: KeyedCall,
        run: RunKey,
    ) -> (KeyId, Instant) {
        let id = self.owner.insert(call, run);
        (id, now + self.options.limits.longest_budget)
    }

    pub(crate) fn may_start_until(
        &self,
        now: Instant,
        id: KeyId,
        deadline: Instant,
    ) -> Option<Instant> {
        self.owner.may_start_until(now, id, deadline)
    }

    pub(crate) fn record_not_run(&mut self, id: KeyId) {
        self.owner.forget_not_run(id);
    }

    /// Records the end of a run; returns the runs whose answers must be dropped to
    /// stay within `max_held_bytes`.
    pub(crate) fn record_end(
        &mut self,
        now: Instant,
        id: KeyId,
        run: RunKey,
        bytes: usize,
    ) -> Vec<RunKey> {
        self.owner.run_ended(now, id);
        self.held_answers.push_back((run, bytes));
        self.held_bytes += bytes;
        let mut dropped = Vec::new();
        while self.held_bytes > self.options.max_held_bytes {
            let Some((run, bytes)) = self.held_answers.pop_front() else {
                break;
            };
            self.held_bytes -= bytes;
            dropped.push(run);
        }
        dropped
    }

    /// Forgets keys that are older than the window and returns their runs.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<RunKey> {
        if self.leave_deadline.is_some_and(|deadline| deadline <= now) {
            self.leave_deadline = None;
            self.leave_timed_out = true;
        }
        let forgotten = self.owner.expire(now);
        for run in &forgotten {
            if let Some(index) = self.held_answers.iter().position(|(held, _)| held == run) {
                let bytes = self
                    .held_answers
                    .remove(index)
                    .map_or(0, |(_, bytes)| bytes);
                self.held_bytes -= bytes;
            }
        }
        forgotten
    }

    /// Applies a page of the owners stream.
    ///
    /// If the page reaches the end of the stream, it confirms the ownership as of
    /// `requested_at`.
    pub(crate) fn apply_page(&mut self, now: Instant, requested_at: Instant, page: &LogPage) {
        self.owner.set_log_start(now, page.first);
        for record in &page.records {
            let parsed = serde_json::from_value(record.data.clone()).ok();
            self.owner.apply(now, record.offset, parsed.as_ref());
        }
        if self.owner.next_offset() == page.next {
            self.owner.renew_lease(requested_at);
        }
    }

    pub(crate) fn record_append_end(&mut self, now: Instant, appended: bool) {
        self.owner.append_answered(now, appended);
    }

    /// Returns the frame that informs entries of the owners.
    pub(crate) fn owners_frame(&self) -> Option<Frame> {
        let owners = self.owner.owners()?;
        Some(Frame::Owners(owners.to_view(self.options.service.clone())))
    }

    /// Returns the owners frame if the epoch has changed since the last call of
    /// this method.
    pub(crate) fn take_changed_owners_frame(&mut self) -> Option<Frame> {
        let epoch = self.owner.owners()?.epoch();
        if std::mem::replace(&mut self.published_epoch, epoch) == epoch {
            return None;
        }
        self.owners_frame()
    }

    pub(crate) fn next_append(&mut self, now: Instant) -> Option<CompanionEffect> {
        let record = self.owner.next_append(now)?;
        Some(CompanionEffect::AppendOwners(Box::new(record)))
    }

    /// Starts to leave the owners.
    pub(crate) fn leave(&mut self, now: Instant) {
        self.owner.leave();
        self.leave_deadline = Some(now + LEAVE_TIMEOUT);
    }

    /// Returns whether the leave record is on the log or has taken longer than
    /// [`LEAVE_TIMEOUT`].
    pub(crate) fn may_exit(&self) -> bool {
        self.owner.has_left() || self.leave_timed_out
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        [self.owner.next_wake(), self.leave_deadline]
            .into_iter()
            .flatten()
            .min()
    }
}

/// Returns the outcome that is sent for a refused call; none if the entry is to
/// ask a former owner instead.
pub(crate) fn refusal_outcome(refusal: &KeyRefusal, leaving: bool) -> Option<Outcome> {
    let millis = u64::try_from(KEY_RETRY_AFTER.as_millis()).ok();
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
        KeyRefusal::AskFormerOwner(_) => return None,
    })
}

//! The records that a member appends to its service's owners stream.

use crate::table::KeyTable;
use crate::{Handover, KeyDigest, OwnersAction, OwnersRecord, OwnershipFold};
use compact_str::format_compact;
use egretstage_wire::{Epoch, Member};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Delay before a change that hasn't taken effect is appended again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest wait for the response to an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(6);

/// Largest number of keys in one record.
const MAX_RECORD_KEYS: usize = 1_000;

/// Largest number of parts, one a record, of one key list; a longer list isn't
/// handed over.
const MAX_PARTS: usize = 16;

/// Inputs from the owner that determine which record comes next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppendInputs {
    /// Whether the member is leaving the owner set.
    pub(crate) leaving: bool,
    /// Age of the last change after which the members are appended again.
    pub(crate) refresh_interval: Duration,
    /// Longest wait for a refresh record before the owner set is assumed empty.
    pub(crate) refresh_limit: Duration,
}

/// Decides which records a member appends; at most one append is in flight.
#[derive(Debug)]
pub(crate) struct ChangeQueue {
    member: Member,
    /// Number of records created, which makes record identities unique.
    record_count: u64,
    /// Number of key lists created.
    list_count: u32,
    /// Whether the member has ever been in the owner set.
    has_joined: bool,
    /// Whether the list of all keys was queued on leaving, or was too long.
    all_keys_listed: bool,
    /// Epoch whose list was too long to be handed over.
    oversized_list_epoch: Option<Epoch>,
    outbox: VecDeque<OwnersRecord>,
    next_attempt_at: Option<Instant>,
}

impl ChangeQueue {
    pub(crate) fn new(member: Member) -> Self {
        Self {
            member,
            record_count: 0,
            list_count: 0,
            has_joined: false,
            all_keys_listed: false,
            oversized_list_epoch: None,
            outbox: VecDeque::new(),
            next_attempt_at: None,
        }
    }

    /// Returns when the next attempt is due.
    pub(crate) fn next_attempt(&self) -> Option<Instant> {
        self.next_attempt_at
    }

    /// Handles the response to the append in flight.
    pub(crate) fn append_answered(&mut self, now: Instant, appended: bool) {
        if appended {
            self.outbox.pop_front();
        }
        let delay = if self.outbox.is_empty() || !appended {
            RETRY_DELAY
        } else {
            Duration::ZERO
        };
        self.next_attempt_at = Some(now + delay);
    }

    /// Returns the record to append now, if one is due.
    pub(crate) fn next_record<T: Copy>(
        &mut self,
        now: Instant,
        fold: &OwnershipFold,
        keys: &mut KeyTable<T>,
        inputs: AppendInputs,
    ) -> Option<OwnersRecord> {
        if self.next_attempt_at.is_some_and(|at| at > now) {
            return None;
        }
        self.next_attempt_at = None;
        if self.outbox.is_empty() {
            self.fill_outbox(now, fold, keys, inputs);
        }
        let record = self.outbox.front().cloned()?;
        // A change is created again for each attempt, so that it builds on the
        // current epoch.
        if !matches!(record.action, OwnersAction::Handover(_)) {
            self.outbox.clear();
        }
        self.next_attempt_at = Some(now + APPEND_TIMEOUT);
        Some(record)
    }

    /// Queues the records that the current state calls for.
    fn fill_outbox<T: Copy>(
        &mut self,
        now: Instant,
        fold: &OwnershipFold,
        keys: &mut KeyTable<T>,
        inputs: AppendInputs,
    ) {
        let is_member = fold
            .owners()
            .is_some_and(|owners| owners.contains(&self.member));
        self.has_joined |= is_member;
        if inputs.leaving {
            self.push_leave(fold, keys, is_member);
        } else if self.has_joined && !self.lost_keys_listed(fold, is_member) {
            self.push_lost_keys(fold, keys);
        } else if !is_member && fold.knows_members(now, inputs.refresh_limit) {
            self.push_record(fold, OwnersAction::Join);
        } else if is_member && self.is_refresh_due(now, fold, inputs.refresh_interval) {
            let members = fold.owners().into_iter().flat_map(|o| o.members().cloned());
            let members = members.collect();
            self.push_record(fold, OwnersAction::Refresh(members));
        }
    }

    /// Queues the list of remembered keys that other members now own.
    fn push_lost_keys<T: Copy>(&mut self, fold: &OwnershipFold, keys: &mut KeyTable<T>) {
        let epoch = fold.epoch();
        let own = self.member.clone();
        let is_lost = |digest| fold.owners().and_then(|owners| owners.owner(digest)) != Some(&own);
        if !self.push_key_list(fold, Some(epoch), keys, is_lost) {
            self.oversized_list_epoch = Some(epoch);
        }
    }

    /// Queues the list of all keys once, and the leave record after the list is
    /// appended or was too long.
    fn push_leave<T: Copy>(
        &mut self,
        fold: &OwnershipFold,
        keys: &mut KeyTable<T>,
        is_member: bool,
    ) {
        if !self.has_joined {
            return;
        }
        if !std::mem::replace(&mut self.all_keys_listed, true) {
            self.push_key_list(fold, None, keys, |_| true);
        }
        if self.outbox.is_empty() && is_member {
            self.push_record(fold, OwnersAction::Leave);
        }
    }

    /// Returns whether the keys that this member lost are on the log, or are too
    /// many to be listed.
    ///
    /// A member loses keys whenever a member is added, and all its keys when it is
    /// removed itself.
    fn lost_keys_listed(&self, fold: &OwnershipFold, is_member: bool) -> bool {
        let needed = if is_member {
            fold.last_growth()
        } else {
            fold.epoch()
        };
        fold.has_handover(&self.member, needed)
            || self
                .oversized_list_epoch
                .is_some_and(|epoch| epoch >= needed)
    }

    /// Returns whether this member should append the members again: only the
    /// first member does, when the last change is old enough.
    fn is_refresh_due(&self, now: Instant, fold: &OwnershipFold, interval: Duration) -> bool {
        let first_member = fold.owners().and_then(|owners| owners.members().next());
        let age = fold
            .learned_at()
            .map(|at| now.saturating_duration_since(at));
        first_member == Some(&self.member) && age.is_some_and(|age| age >= interval)
    }

    /// Queues a list of keys; returns whether it is short enough to be handed
    /// over.
    fn push_key_list<T: Copy>(
        &mut self,
        fold: &OwnershipFold,
        covers: Option<Epoch>,
        keys: &mut KeyTable<T>,
        pick: impl Fn(KeyDigest) -> bool,
    ) -> bool {
        let Some(list) = keys.list(MAX_RECORD_KEYS * MAX_PARTS, |entry| pick(entry.digest)) else {
            return false;
        };
        let parts = list.len().div_ceil(MAX_RECORD_KEYS).max(1);
        self.list_count += 1;
        let list_number = self.list_count;
        let to_u16 = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        for part in 0..parts {
            let keys = list.iter().skip(part * MAX_RECORD_KEYS);
            let handover = Handover {
                covers,
                list: list_number,
                part: to_u16(part),
                parts: to_u16(parts),
                keys: keys.take(MAX_RECORD_KEYS).copied().collect(),
            };
            self.push_record(fold, OwnersAction::Handover(handover));
        }
        true
    }

    fn push_record(&mut self, fold: &OwnershipFold, action: OwnersAction) {
        self.record_count += 1;
        let Member {
            instance,
            incarnation,
        } = &self.member;
        let count = self.record_count;
        self.outbox.push_back(OwnersRecord {
            id: format_compact!("{instance}-{:016x}-{count}", incarnation.0),
            member: self.member.clone(),
            base: fold.epoch(),
            settled: fold.settled(),
            action,
        });
    }
}

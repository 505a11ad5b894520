//! What a member puts on its service's owners stream.

use crate::table::KeyTable;
use crate::{Handover, KeyDigest, OwnersAction, OwnersRecord, OwnershipFold};
use compact_str::format_compact;
use egretstage_wire::{Epoch, Member};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Wait before a change whose effect wasn't seen is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest wait for the answer to an append.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Most keys in one record.
const KEYS_PER_RECORD: usize = 1_000;

/// Most records of one list; a longer list is not handed over.
const MAX_PARTS: usize = 16;

/// What the owner wants to be true.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wishes {
    pub(crate) leaving: bool,
    pub(crate) refresh_interval: Duration,
    pub(crate) refresh_limit: Duration,
}

/// Decides what a member appends; one append is under way at a time.
#[derive(Debug)]
pub(crate) struct Changes {
    member: Member,
    count: u64,
    lists: u32,
    joined_once: bool,
    listed_all: bool,
    /// Epoch at which the list was too long to be handed over.
    unlisted_at: Option<Epoch>,
    outbox: VecDeque<OwnersRecord>,
    waits_until: Option<Instant>,
}

impl Changes {
    pub(crate) fn new(member: Member) -> Self {
        Self {
            member,
            count: 0,
            lists: 0,
            joined_once: false,
            listed_all: false,
            unlisted_at: None,
            outbox: VecDeque::new(),
            waits_until: None,
        }
    }

    /// Returns when the next attempt is due.
    pub(crate) fn next_attempt(&self) -> Option<Instant> {
        self.waits_until
    }

    /// Notes the answer to the append under way.
    pub(crate) fn answered(&mut self, now: Instant, appended: bool) {
        if appended {
            self.outbox.pop_front();
        }
        let delay = if self.outbox.is_empty() || !appended {
            RETRY_DELAY
        } else {
            Duration::ZERO
        };
        self.waits_until = Some(now + delay);
    }

    /// Returns the record to be appended now.
    pub(crate) fn next<T: Copy>(
        &mut self,
        now: Instant,
        fold: &OwnershipFold,
        keys: &mut KeyTable<T>,
        wishes: Wishes,
    ) -> Option<OwnersRecord> {
        if self.waits_until.is_some_and(|at| at > now) {
            return None;
        }
        self.waits_until = None;
        if self.outbox.is_empty() {
            self.fill(now, fold, keys, wishes);
        }
        let record = self.outbox.front().cloned()?;
        if !matches!(record.action, OwnersAction::Handover(_)) {
            self.outbox.clear();
        }
        self.waits_until = Some(now + ANSWER_TIMEOUT);
        Some(record)
    }

    fn fill<T: Copy>(
        &mut self,
        now: Instant,
        fold: &OwnershipFold,
        keys: &mut KeyTable<T>,
        wishes: Wishes,
    ) {
        let is_member = fold
            .owners()
            .is_some_and(|owners| owners.contains(&self.member));
        self.joined_once |= is_member;
        if wishes.leaving {
            self.fill_leave(fold, keys, is_member);
        } else if self.joined_once && !self.is_listed(fold, is_member) {
            self.list_lost(fold, keys);
        } else if !is_member && fold.knows_members(now, wishes.refresh_limit) {
            self.push(fold, OwnersAction::Join);
        } else if is_member && self.refresh_is_due(now, fold, wishes.refresh_interval) {
            let members = fold.owners().into_iter().flat_map(|o| o.members().cloned());
            let members = members.collect();
            self.push(fold, OwnersAction::Refresh(members));
        }
    }

    /// Lists the keys that other members own by now.
    fn list_lost<T: Copy>(&mut self, fold: &OwnershipFold, keys: &mut KeyTable<T>) {
        let epoch = fold.epoch();
        let own = self.member.clone();
        let lost = |digest| fold.owners().and_then(|owners| owners.owner(digest)) != Some(&own);
        if !self.push_list(fold, Some(epoch), keys, lost) {
            self.unlisted_at = Some(epoch);
        }
    }

    fn fill_leave<T: Copy>(
        &mut self,
        fold: &OwnershipFold,
        keys: &mut KeyTable<T>,
        is_member: bool,
    ) {
        if !self.joined_once {
            return;
        }
        if !std::mem::replace(&mut self.listed_all, true) {
            self.push_list(fold, None, keys, |_| true);
        }
        if self.outbox.is_empty() && is_member {
            self.push(fold, OwnersAction::Leave);
        }
    }

    /// Tells whether the keys lost in the last change are on the log.
    fn is_listed(&self, fold: &OwnershipFold, is_member: bool) -> bool {
        let needed = if is_member {
            fold.last_growth()
        } else {
            fold.epoch()
        };
        fold.has_handover(&self.member, needed)
            || self.unlisted_at.is_some_and(|epoch| epoch >= needed)
    }

    fn refresh_is_due(&self, now: Instant, fold: &OwnershipFold, interval: Duration) -> bool {
        let first = fold.owners().and_then(|owners| owners.members().next());
        let age = fold
            .learned_at()
            .map(|at| now.saturating_duration_since(at));
        first == Some(&self.member) && age.is_some_and(|age| age >= interval)
    }

    /// Puts a list of keys into the outbox; returns false when it is too long.
    fn push_list<T: Copy>(
        &mut self,
        fold: &OwnershipFold,
        covers: Option<Epoch>,
        keys: &mut KeyTable<T>,
        pick: impl Fn(KeyDigest) -> bool,
    ) -> bool {
        let Some(list) = keys.list(KEYS_PER_RECORD * MAX_PARTS, |entry| pick(entry.digest)) else {
            return false;
        };
        let parts = list.len().div_ceil(KEYS_PER_RECORD).max(1);
        self.lists += 1;
        let list_number = self.lists;
        let count = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        for part in 0..parts {
            let keys = list.iter().skip(part * KEYS_PER_RECORD);
            let handover = Handover {
                covers,
                list: list_number,
                part: count(part),
                parts: count(parts),
                keys: keys.take(KEYS_PER_RECORD).copied().collect(),
            };
            self.push(fold, OwnersAction::Handover(handover));
        }
        true
    }

    fn push(&mut self, fold: &OwnershipFold, action: OwnersAction) {
        self.count += 1;
        let Member {
            instance,
            incarnation,
        } = &self.member;
        let count = self.count;
        self.outbox.push_back(OwnersRecord {
            id: format_compact!("{instance}-{:016x}-{count}", incarnation.0),
            member: self.member.clone(),
            base: fold.epoch(),
            settled: fold.settled(),
            action,
        });
    }
}

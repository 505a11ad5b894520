//! The fold of a service's owners stream, which is the same on every reader.

use crate::handovers::Handovers;
use crate::{KeyDigest, OwnerSet, OwnersAction, OwnersRecord};
use egretstage_wire::{Epoch, InstanceId, Member};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Result of folding a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OwnersVerdict {
    /// The members changed; the record's offset is the new epoch.
    Accepted,
    /// The record lists keys of a member; the members stay the same.
    Noted,
    /// The record builds on another epoch than the current one, or has no effect.
    Rejected,
    /// The offset had already been folded.
    Repeated,
}

/// Whether former owners of a key may have run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyHistory {
    /// No former owner can have run the key within the window.
    Clear,
    /// This former owner may have run the key and may still hold the answer.
    FormerOwner(InstanceId),
    /// A former owner whose runs are unknown may have run the key.
    Embargo {
        /// Time from which the key is considered not run.
        until: Instant,
    },
    /// A former owner that is still a member hasn't listed its keys yet.
    AwaitsHandover,
}

/// The owners of an epoch and when this reader learned of them.
#[derive(Clone, Debug)]
struct OwnersEpoch {
    owners: OwnerSet,
    learned_at: Instant,
}

/// Folds the owners stream of one service.
///
/// A change is accepted by compare-and-set on the epoch, so that all readers
/// accept the same changes whatever state the writers assumed. A reader that
/// finds the first records of the stream expired starts from a refresh record
/// on which a later record builds.
#[derive(Debug)]
pub struct OwnershipFold {
    /// The current epoch and earlier ones that may still matter, oldest first.
    epochs: VecDeque<OwnersEpoch>,
    handovers: Handovers,
    /// Newest epoch that began at least an embargo ago by some member's clock;
    /// owners before it no longer matter.
    settled: Epoch,
    last_offset: u64,
    /// Last epoch that added a member.
    last_growth: Epoch,
    /// Refresh records on which no other record builds yet, by offset.
    unconfirmed_refreshes: BTreeMap<Epoch, OwnersRecord>,
    /// When reading started, or last found expired records.
    read_started_at: Option<Instant>,
    /// Whether reading started after the first record of the stream.
    prefix_expired: bool,
    /// Whether changes in expired records may still be under an embargo.
    prefix_unknown: bool,
}

impl Default for OwnershipFold {
    fn default() -> Self {
        Self {
            epochs: VecDeque::new(),
            handovers: Handovers::default(),
            settled: Epoch(0),
            last_offset: 0,
            last_growth: Epoch(0),
            unconfirmed_refreshes: BTreeMap::new(),
            read_started_at: None,
            prefix_expired: false,
            prefix_unknown: false,
        }
    }
}

impl OwnershipFold {
    /// Returns the offset that is read next.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.last_offset + 1
    }

    /// Returns the owners of the current epoch.
    #[must_use]
    pub fn owners(&self) -> Option<&OwnerSet> {
        self.epochs.back().map(|entry| &entry.owners)
    }

    /// Returns the current epoch, 0 before the first.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.owners().map_or(Epoch(0), OwnerSet::epoch)
    }

    /// Returns when this reader learned of the current epoch.
    #[must_use]
    pub fn learned_at(&self) -> Option<Instant> {
        self.epochs.back().map(|entry| entry.learned_at)
    }

    /// Returns the last epoch that added a member, which took keys from the
    /// other members.
    #[must_use]
    pub fn last_growth(&self) -> Epoch {
        self.last_growth
    }

    /// Returns the newest epoch that began at least an embargo ago by some
    /// member's clock.
    #[must_use]
    pub fn settled(&self) -> Epoch {
        self.settled
    }

    /// Returns whether a member has handed over a list of keys that covers an
    /// epoch.
    #[must_use]
    pub fn has_handover(&self, member: &Member, epoch: Epoch) -> bool {
        self.handovers.list_covering(member, epoch).is_some()
    }

    /// Sets the oldest offset that the log still holds; starts again from there
    /// when records that were not read yet have expired.
    pub fn set_log_start(&mut self, now: Instant, first: u64) {
        self.read_started_at.get_or_insert(now);
        if first > self.next_offset() {
            self.prefix_expired = true;
            self.prefix_unknown = true;
            self.read_started_at = Some(now);
            self.epochs.clear();
            self.unconfirmed_refreshes.clear();
            self.last_offset = first - 1;
        }
    }

    /// Returns whether the current members are known, so that a member may be
    /// added.
    ///
    /// A reader that finds the first records expired waits for a refresh
    /// record; when none arrives within `refresh_limit`, there are no members.
    #[must_use]
    pub fn knows_members(&self, now: Instant, refresh_limit: Duration) -> bool {
        let waited = self
            .read_started_at
            .is_some_and(|at| at + refresh_limit <= now);
        !self.prefix_expired || !self.epochs.is_empty() || waited
    }

    /// Folds the record at an offset.
    pub fn apply(&mut self, now: Instant, offset: u64, record: &OwnersRecord) -> OwnersVerdict {
        if offset <= self.last_offset {
            return OwnersVerdict::Repeated;
        }
        self.last_offset = offset;
        self.adopt_refresh(now, record);
        if let OwnersAction::Handover(part) = &record.action {
            self.settled = self.settled.max(record.settled);
            self.handovers.add_part(&record.member, part);
            return OwnersVerdict::Noted;
        }
        if self.prefix_expired && self.epochs.is_empty() && record.base != Epoch(0) {
            if matches!(record.action, OwnersAction::Refresh(_)) {
                self.unconfirmed_refreshes
                    .insert(Epoch(offset), record.clone());
            }
            return OwnersVerdict::Rejected;
        }
        if record.base != self.epoch() {
            return OwnersVerdict::Rejected;
        }
        let Some(members) = self.members_after(record) else {
            return OwnersVerdict::Rejected;
        };
        self.settled = self.settled.max(record.settled);
        self.push_epoch(now, Epoch(offset), members);
        OwnersVerdict::Accepted
    }

    /// Skips an offset that holds no owners record.
    pub fn skip(&mut self, offset: u64) {
        self.last_offset = self.last_offset.max(offset);
    }

    /// Starts from a refresh record once another record builds on it, which
    /// shows that the writer of the other record saw it accepted.
    fn adopt_refresh(&mut self, now: Instant, record: &OwnersRecord) {
        if !self.epochs.is_empty() {
            return;
        }
        let Some(base) = self.unconfirmed_refreshes.remove(&record.base) else {
            return;
        };
        if let OwnersAction::Refresh(members) = base.action {
            self.unconfirmed_refreshes.clear();
            self.prefix_unknown = base.settled < base.base;
            self.settled = self.settled.max(base.settled);
            self.push_epoch(now, record.base, members);
        }
    }

    /// Returns the members after a change, or none if it has no effect.
    fn members_after(&mut self, record: &OwnersRecord) -> Option<Vec<Member>> {
        let mut members: Vec<Member> = self
            .owners()
            .map(|owners| owners.members().cloned().collect())
            .unwrap_or_default();
        match &record.action {
            OwnersAction::Join => {
                if members.contains(&record.member) {
                    return None;
                }
                members.retain(|member| member.instance != record.member.instance);
                members.push(record.member.clone());
            }
            OwnersAction::Leave | OwnersAction::Remove => {
                if !members.contains(&record.member) {
                    return None;
                }
                members.retain(|member| *member != record.member);
            }
            OwnersAction::Refresh(_) => {}
            OwnersAction::Handover(_) => return None,
        }
        Some(members)
    }

    fn push_epoch(&mut self, now: Instant, epoch: Epoch, members: Vec<Member>) {
        let owners = OwnerSet::new(epoch, members);
        let old = self.owners();
        let was_added = |member: &&Member| old.is_none_or(|old| !old.contains(member));
        if owners.members().any(|member| was_added(&member)) {
            self.last_growth = epoch;
        }
        self.epochs.push_back(OwnersEpoch {
            owners,
            learned_at: now,
        });
    }

    /// Drops epochs that ended longer than an embargo ago, and key lists of
    /// members that are in none of the remaining epochs.
    pub fn prune(&mut self, now: Instant, embargo: Duration) {
        while self.epochs.len() > 1 {
            let next_epoch = &self.epochs[1];
            let epoch = next_epoch.owners.epoch();
            if epoch > self.settled && next_epoch.learned_at + embargo > now {
                return;
            }
            self.settled = self.settled.max(epoch);
            self.epochs.pop_front();
            let epochs = &self.epochs;
            self.handovers
                .retain(|member| epochs.iter().any(|entry| entry.owners.contains(member)));
        }
    }

    /// Returns whether former owners of a key may have run it.
    #[must_use]
    pub fn history(
        &self,
        now: Instant,
        key: KeyDigest,
        own: &Member,
        embargo: Duration,
    ) -> KeyHistory {
        let mut found = self.expired_prefix_history(now, embargo);
        for (old, new) in self.epochs.iter().zip(self.epochs.iter().skip(1)) {
            let Some(former) = old.owners.owner(key) else {
                continue;
            };
            if former == own || new.owners.owner(key) == Some(former) {
                continue;
            }
            match self.history_of_change(now, key, former, new, embargo) {
                KeyHistory::Clear => {}
                KeyHistory::FormerOwner(instance) => return KeyHistory::FormerOwner(instance),
                KeyHistory::AwaitsHandover if found != KeyHistory::Clear => {}
                other => found = other,
            }
        }
        found
    }

    /// Returns whether the key's owner before a change may have run it.
    fn history_of_change(
        &self,
        now: Instant,
        key: KeyDigest,
        former: &Member,
        new: &OwnersEpoch,
        embargo: Duration,
    ) -> KeyHistory {
        let (epoch, until) = (new.owners.epoch(), new.learned_at + embargo);
        if epoch <= self.settled || until <= now {
            return KeyHistory::Clear;
        }
        match self.handovers.list_covering(former, epoch) {
            Some(list) if list.contains(key) => KeyHistory::FormerOwner(former.instance.clone()),
            Some(_) => KeyHistory::Clear,
            None if self.owners().is_some_and(|owners| owners.contains(former)) => {
                KeyHistory::AwaitsHandover
            }
            None => KeyHistory::Embargo { until },
        }
    }

    /// Returns an embargo while changes in the expired records may matter.
    fn expired_prefix_history(&self, now: Instant, embargo: Duration) -> KeyHistory {
        match self.read_started_at.map(|at| at + embargo) {
            Some(until) if self.prefix_unknown && until > now => KeyHistory::Embargo { until },
            _ => KeyHistory::Clear,
        }
    }
}

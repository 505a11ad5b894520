//! The fold of a service's owners stream, the same on every reader.

use crate::handovers::Handovers;
use crate::{KeyDigest, OwnerSet, OwnersAction, OwnersRecord};
use egretstage_wire::{Epoch, InstanceId, Member};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// What the fold made of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OwnersVerdict {
    /// The members changed; the record's offset is the new epoch.
    Accepted,
    /// The record adds to what is known of a member.
    Noted,
    /// Another change came first, or the change has no effect.
    Rejected,
    /// The offset was folded before.
    Repeated,
}

/// What former owners of a key may have done with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyHistory {
    /// No former owner ran the key within the window.
    Clear,
    /// A former owner may have run the key and may remember the answer.
    FormerOwner(InstanceId),
    /// A former owner of which nothing is known may have run the key.
    Embargo {
        /// When the key counts as not run.
        until: Instant,
    },
    /// A former owner that is a member hasn't listed its keys yet.
    AwaitsHandover,
}

/// The members of an epoch and when this reader learned of them.
#[derive(Clone, Debug)]
struct View {
    owners: OwnerSet,
    learned: Instant,
}

/// Folds the owners stream of one service.
///
/// A change is accepted by compare-and-set on the epoch, so that all readers
/// accept the same changes whatever the writers believed. A reader whose
/// prefix of the stream has expired starts from a refresh record that a later
/// change builds on.
#[derive(Debug)]
pub struct OwnershipFold {
    views: VecDeque<View>,
    handovers: Handovers,
    settled: Epoch,
    last_offset: u64,
    grown: Epoch,
    unproved: BTreeMap<Epoch, OwnersRecord>,
    started: Option<Instant>,
    truncated: bool,
    /// Set when the changes before the first known epoch are unknown.
    unknown_past: bool,
}

impl Default for OwnershipFold {
    fn default() -> Self {
        Self {
            views: VecDeque::new(),
            handovers: Handovers::default(),
            settled: Epoch(0),
            last_offset: 0,
            grown: Epoch(0),
            unproved: BTreeMap::new(),
            started: None,
            truncated: false,
            unknown_past: false,
        }
    }
}

impl OwnershipFold {
    /// Returns the offset that is read next.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.last_offset + 1
    }

    /// Returns the owners of the present epoch.
    #[must_use]
    pub fn owners(&self) -> Option<&OwnerSet> {
        self.views.back().map(|view| &view.owners)
    }

    /// Returns the present epoch, 0 before the first.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.owners().map_or(Epoch(0), OwnerSet::epoch)
    }

    /// Returns when this reader learned of the present epoch.
    #[must_use]
    pub fn learned_at(&self) -> Option<Instant> {
        self.views.back().map(|view| view.learned)
    }

    /// Returns the last epoch that added a member, which took keys from others.
    #[must_use]
    pub fn last_growth(&self) -> Epoch {
        self.grown
    }

    /// Returns the newest epoch that is older than an embargo by some
    /// member's clock.
    #[must_use]
    pub fn settled(&self) -> Epoch {
        self.settled
    }

    /// Tells whether a member's list of keys covers an epoch.
    #[must_use]
    pub fn has_handover(&self, member: &Member, epoch: Epoch) -> bool {
        self.handovers.of(member, epoch).is_some()
    }

    /// Notes the oldest offset that the log still holds.
    pub fn set_log_start(&mut self, now: Instant, first: u64) {
        self.started.get_or_insert(now);
        if first > self.next_offset() {
            self.truncated = true;
            self.unknown_past = true;
            self.started = Some(now);
            self.views.clear();
            self.unproved.clear();
            self.last_offset = first - 1;
        }
    }

    /// Tells whether a member may be added: the present members are known.
    ///
    /// A reader whose prefix has expired waits for the members' refresh; when
    /// none comes, there are no members.
    #[must_use]
    pub fn knows_members(&self, now: Instant, refresh_limit: Duration) -> bool {
        let waited = self.started.is_some_and(|at| at + refresh_limit <= now);
        !self.truncated || !self.views.is_empty() || waited
    }

    /// Folds the record at an offset.
    pub fn apply(&mut self, now: Instant, offset: u64, record: &OwnersRecord) -> OwnersVerdict {
        if offset <= self.last_offset {
            return OwnersVerdict::Repeated;
        }
        self.last_offset = offset;
        self.adopt(now, record);
        if let OwnersAction::Handover(part) = &record.action {
            self.settled = self.settled.max(record.settled);
            self.handovers.add(&record.member, part);
            return OwnersVerdict::Noted;
        }
        if self.truncated && self.views.is_empty() && record.base != Epoch(0) {
            if matches!(record.action, OwnersAction::Refresh(_)) {
                self.unproved.insert(Epoch(offset), record.clone());
            }
            return OwnersVerdict::Rejected;
        }
        if record.base != self.epoch() {
            return OwnersVerdict::Rejected;
        }
        let Some(members) = self.changed(record) else {
            return OwnersVerdict::Rejected;
        };
        self.settled = self.settled.max(record.settled);
        self.push(now, Epoch(offset), members);
        OwnersVerdict::Accepted
    }

    /// Passes over an offset that holds no record of this kind.
    pub fn skip(&mut self, offset: u64) {
        self.last_offset = self.last_offset.max(offset);
    }

    /// Starts from a refresh record once another record builds on it: its
    /// writer saw it accepted.
    fn adopt(&mut self, now: Instant, record: &OwnersRecord) {
        if !self.views.is_empty() {
            return;
        }
        let Some(base) = self.unproved.remove(&record.base) else {
            return;
        };
        if let OwnersAction::Refresh(members) = base.action {
            self.unproved.clear();
            self.unknown_past = base.settled < base.base;
            self.settled = self.settled.max(base.settled);
            self.push(now, record.base, members);
        }
    }

    /// Returns the members after a change, or none when it has no effect.
    fn changed(&mut self, record: &OwnersRecord) -> Option<Vec<Member>> {
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

    fn push(&mut self, now: Instant, epoch: Epoch, members: Vec<Member>) {
        let owners = OwnerSet::new(epoch, members);
        let old = self.owners();
        let is_new = |member: &&Member| old.is_none_or(|old| !old.contains(member));
        if owners.members().any(|member| is_new(&member)) {
            self.grown = epoch;
        }
        self.views.push_back(View {
            owners,
            learned: now,
        });
    }

    /// Forgets epochs whose end is older than an embargo.
    pub fn prune(&mut self, now: Instant, embargo: Duration) {
        while self.views.len() > 1 {
            let successor = &self.views[1];
            let epoch = successor.owners.epoch();
            if epoch > self.settled && successor.learned + embargo > now {
                return;
            }
            self.settled = self.settled.max(epoch);
            self.views.pop_front();
            let views = &self.views;
            self.handovers
                .retain(|member| views.iter().any(|view| view.owners.contains(member)));
        }
    }

    /// Returns what former owners of a key may have done with it.
    #[must_use]
    pub fn history(
        &self,
        now: Instant,
        key: KeyDigest,
        own: &Member,
        embargo: Duration,
    ) -> KeyHistory {
        let mut found = self.unknown_past(now, embargo);
        for (old, new) in self.views.iter().zip(self.views.iter().skip(1)) {
            let Some(former) = old.owners.owner(key) else {
                continue;
            };
            if former == own || new.owners.owner(key) == Some(former) {
                continue;
            }
            match self.handover(now, key, former, new, embargo) {
                KeyHistory::Clear => {}
                KeyHistory::FormerOwner(instance) => return KeyHistory::FormerOwner(instance),
                KeyHistory::AwaitsHandover if found != KeyHistory::Clear => {}
                other => found = other,
            }
        }
        found
    }

    /// Returns what is known of the key's owner before a change.
    fn handover(
        &self,
        now: Instant,
        key: KeyDigest,
        former: &Member,
        new: &View,
        embargo: Duration,
    ) -> KeyHistory {
        let (epoch, until) = (new.owners.epoch(), new.learned + embargo);
        if epoch <= self.settled || until <= now {
            return KeyHistory::Clear;
        }
        match self.handovers.of(former, epoch) {
            Some(list) if list.contains(key) => KeyHistory::FormerOwner(former.instance.clone()),
            Some(_) => KeyHistory::Clear,
            None if self.owners().is_some_and(|owners| owners.contains(former)) => {
                KeyHistory::AwaitsHandover
            }
            None => KeyHistory::Embargo { until },
        }
    }

    fn unknown_past(&self, now: Instant, embargo: Duration) -> KeyHistory {
        match self.started.map(|at| at + embargo) {
            Some(until) if self.unknown_past && until > now => KeyHistory::Embargo { until },
            _ => KeyHistory::Clear,
        }
    }
}

//! The lists of keys that members may have run but don't own.

use crate::{Handover, KeyDigest};
use egretstage_wire::{Epoch, Member};
use std::collections::{HashMap, HashSet};

/// A complete key list of one member.
#[derive(Debug)]
pub(crate) struct KeyList {
    covers: Option<Epoch>,
    keys: HashSet<KeyDigest>,
}

impl KeyList {
    pub(crate) fn contains(&self, key: KeyDigest) -> bool {
        self.keys.contains(&key)
    }

    fn covers(&self, epoch: Epoch) -> bool {
        self.covers.is_none_or(|covers| covers >= epoch)
    }
}

/// A key list of which some parts have been received.
#[derive(Debug)]
struct PartialList {
    list: u32,
    received: HashSet<u16>,
    keys: HashSet<KeyDigest>,
}

/// The newest key list of each member.
#[derive(Debug, Default)]
pub(crate) struct Handovers {
    complete: HashMap<Member, KeyList>,
    partial: HashMap<Member, PartialList>,
}

impl Handovers {
    /// Adds a part of a member's list; ignores parts of an older list.
    pub(crate) fn add_part(&mut self, member: &Member, part: &Handover) {
        let new_list = || PartialList {
            list: part.list,
            received: HashSet::new(),
            keys: HashSet::new(),
        };
        let partial = self.partial.entry(member.clone()).or_insert_with(new_list);
        if partial.list > part.list {
            return;
        }
        if partial.list < part.list {
            *partial = new_list();
        }
        if !partial.received.insert(part.part) {
            return;
        }
        partial.keys.extend(&part.keys);
        if partial.received.len() == usize::from(part.parts) {
            let list = KeyList {
                covers: part.covers,
                keys: std::mem::take(&mut partial.keys),
            };
            self.complete.insert(member.clone(), list);
        }
    }

    /// Drops the lists of members for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Member) -> bool) {
        self.complete.retain(|member, _| keep(member));
        self.partial.retain(|member, _| keep(member));
    }

    /// Returns a member's list if it covers an epoch.
    pub(crate) fn list_covering(&self, member: &Member, epoch: Epoch) -> Option<&KeyList> {
        self.complete.get(member).filter(|list| list.covers(epoch))
    }
}

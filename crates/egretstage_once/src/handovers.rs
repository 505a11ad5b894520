//! The lists of keys that members may have run and don't own.

use crate::{Handover, KeyDigest};
use egretstage_wire::{Epoch, Member};
use std::collections::{HashMap, HashSet};

/// A whole list of one member.
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

/// A list of which some parts have arrived.
#[derive(Debug)]
struct Partial {
    list: u32,
    arrived: HashSet<u16>,
    keys: HashSet<KeyDigest>,
}

/// The newest list of each member.
#[derive(Debug, Default)]
pub(crate) struct Handovers {
    whole: HashMap<Member, KeyList>,
    partial: HashMap<Member, Partial>,
}

impl Handovers {
    /// Adds a part; parts of an older list are dropped.
    pub(crate) fn add(&mut self, member: &Member, part: &Handover) {
        let fresh = || Partial {
            list: part.list,
            arrived: HashSet::new(),
            keys: HashSet::new(),
        };
        let partial = self.partial.entry(member.clone()).or_insert_with(fresh);
        if partial.list > part.list {
            return;
        }
        if partial.list < part.list {
            *partial = fresh();
        }
        if !partial.arrived.insert(part.part) {
            return;
        }
        partial.keys.extend(&part.keys);
        if partial.arrived.len() == usize::from(part.parts) {
            let list = KeyList {
                covers: part.covers,
                keys: std::mem::take(&mut partial.keys),
            };
            self.whole.insert(member.clone(), list);
        }
    }

    /// Forgets the lists of members that a predicate rules out.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Member) -> bool) {
        self.whole.retain(|member, _| keep(member));
        self.partial.retain(|member, _| keep(member));
    }

    /// Returns a member's list if it is complete up to an epoch.
    pub(crate) fn of(&self, member: &Member, epoch: Epoch) -> Option<&KeyList> {
        self.whole.get(member).filter(|list| list.covers(epoch))
    }
}

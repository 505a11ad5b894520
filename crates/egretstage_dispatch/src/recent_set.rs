//! A set that forgets its oldest members.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// Set of at most a given number of members; the oldest are forgotten first.
#[derive(Clone, Debug)]
pub(crate) struct RecentSet<T> {
    max: usize,
    members: HashSet<T>,
    /// The members, the oldest first.
    order: VecDeque<T>,
}

impl<T: Copy + Eq + Hash> RecentSet<T> {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            max,
            members: HashSet::new(),
            order: VecDeque::new(),
        }
    }

    pub(crate) fn contains(&self, member: T) -> bool {
        self.members.contains(&member)
    }

    /// Adds a member; one that is known keeps its age.
    pub(crate) fn insert(&mut self, member: T) {
        if !self.members.insert(member) {
            return;
        }
        self.order.push_back(member);
        if self.order.len() > self.max
            && let Some(oldest) = self.order.pop_front()
        {
            self.members.remove(&oldest);
        }
    }
}

//! The upstreams that an entry knows, each with its companion and the link to
//! it.

use crate::subset::SubsetSelector;
use egretstage_link::LinkKey;
use egretstage_platform::{InstanceState, ListedInstance};
use egretstage_routing::UpstreamTracker;
use egretstage_wire::{Incarnation, InstanceId, Role, ServiceName, ZoneName};
use slotmap::{SlotMap, new_key_type};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum wait for a new link after a lost one; below the time for which a
/// companion holds the answer.
pub(crate) const RESUME_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause before a companion is dialled again.
pub(crate) const REDIAL_DELAY: Duration = Duration::from_millis(250);

new_key_type! {
    /// Key of an upstream in an entry's arena.
    pub(crate) struct UpstreamKey;
}

/// State of the link to a companion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// No link; the companion is dialled at this time.
    Down(Instant),
    /// A link is being opened.
    Dialing,
    /// The link is open.
    Up(LinkKey),
}

/// An upstream with its companion.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    pub(crate) service: ServiceName,
    pub(crate) link_state: LinkState,
    /// Incarnation of the companion on the last link.
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether the companion is on the instance list.
    pub(crate) listed: bool,
    /// Whether the companion is leaving or no longer listed; it gets no new calls.
    pub(crate) leaving: bool,
    /// Whether the upstream is in the entry's subset.
    pub(crate) selected: bool,
    /// Time until which a link is kept although the companion isn't selected.
    pub(crate) link_kept_until: Option<Instant>,
    pub(crate) tracker: UpstreamTracker,
}

impl Upstream {
    /// Returns the link if new work may be sent on it.
    pub(crate) fn link_for_new_calls(&self) -> Option<LinkKey> {
        match self.link_state {
            LinkState::Up(link) if !self.leaving && self.selected => Some(link),
            _ => None,
        }
    }

    /// Returns whether the companion is dialled while it has no link.
    fn should_dial(&self) -> bool {
        (self.listed && self.selected) || self.link_kept_until.is_some()
    }

    /// Returns whether the entry keeps a link to the companion.
    fn should_keep_link(&self, now: Instant) -> bool {
        (self.listed && self.selected) || self.link_kept_until.is_some_and(|until| now < until)
    }

    /// Returns the link, whether or not new work may be sent on it.
    pub(crate) fn current_link(&self) -> Option<LinkKey> {
        match self.link_state {
            LinkState::Up(link) => Some(link),
            _ => None,
        }
    }

    /// Returns whether the companion is linked, or live on the instance list.
    pub(crate) fn is_considered_alive(&self) -> bool {
        self.current_link().is_some() || (self.listed && !self.leaving)
    }
}

/// All upstreams that an entry knows.
#[derive(Debug)]
pub(crate) struct Upstreams {
    subset_selector: SubsetSelector,
    arena: SlotMap<UpstreamKey, Upstream>,
    by_instance: HashMap<InstanceId, UpstreamKey>,
    by_link: HashMap<LinkKey, UpstreamKey>,
    /// Upstreams that are selected, linked or whose link is kept, so that the
    /// cost of an event doesn't grow with the list.
    active: Vec<UpstreamKey>,
    next_dial: Option<Instant>,
}

impl Upstreams {
    /// Creates an empty set.
    pub(crate) fn new(subset_selector: SubsetSelector) -> Self {
        Self {
            subset_selector,
            arena: SlotMap::default(),
            by_instance: HashMap::new(),
            by_link: HashMap::new(),
            active: Vec::new(),
            next_dial: None,
        }
    }

    pub(crate) fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.arena.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.arena.get_mut(key)
    }

    pub(crate) fn find_by_link(&self, link: LinkKey) -> Option<UpstreamKey> {
        self.by_link.get(&link).copied()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.arena.values_mut()
    }

    pub(crate) fn find_by_instance(
        &self,
        instance: &InstanceId,
    ) -> Option<(UpstreamKey, &Upstream)> {
        let key = *self.by_instance.get(instance)?;
        Some((key, self.arena.get(key)?))
    }

    /// Returns the upstreams that are selected, linked or whose link is kept.
    pub(crate) fn iter_active(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let upstream = |key: &UpstreamKey| Some((*key, self.arena.get(*key)?));
        self.active.iter().filter_map(upstream)
    }

    /// Applies the instance list: adds, updates and removes companions.
    pub(crate) fn apply_list(&mut self, now: Instant, listed: Vec<ListedInstance>) {
        let mut listed_instances = HashSet::with_capacity(listed.len());
        let selected = self.subset_selector.choose(&listed);
        for item in listed {
            if let (Role::Companion, Some(service)) = (item.role, item.service.clone()) {
                listed_instances.insert(item.instance.clone());
                self.upsert(now, item, service);
            }
        }
        let is_unlisted = |u: &Upstream| !listed_instances.contains(&u.instance);
        for upstream in self.arena.values_mut().filter(|u| is_unlisted(u)) {
            upstream.listed = false;
            upstream.leaving = true;
        }
        for upstream in self.arena.values_mut() {
            upstream.selected = selected.contains(&upstream.instance);
        }
        self.remove_unused();
        let is_active =
            |u: &Upstream| u.should_dial() || !matches!(u.link_state, LinkState::Down(_));
        let active = self.arena.iter().filter(|(_, u)| is_active(u));
        self.active = active.map(|(key, _)| key).collect();
        self.schedule_next_dial();
    }

    /// Updates the time of the next dial.
    fn schedule_next_dial(&mut self) {
        let due = self.iter_active().filter_map(|(_, u)| match u.link_state {
            LinkState::Down(at) if u.should_dial() => Some(at),
            _ => None,
        });
        self.next_dial = due.min();
    }

    /// Keeps a link to a companion until a time, even outside the subset, because
    /// it owns keys that callers use.
    pub(crate) fn keep_link_until(&mut self, instance: &InstanceId, until: Instant) {
        let Some(key) = self.by_instance.get(instance).copied() else {
            return;
        };
        let Some(upstream) = self.arena.get_mut(key) else {
            return;
        };
        let active = upstream.should_dial() || !matches!(upstream.link_state, LinkState::Down(_));
        upstream.link_kept_until = Some(until);
        if !active && !self.active.contains(&key) {
            self.active.push(key);
        }
        self.schedule_next_dial();
    }

    /// Returns the links without calls that needn't be kept.
    pub(crate) fn surplus_links(&self, now: Instant) -> Vec<LinkKey> {
        let is_surplus = |u: &&Upstream| {
            u.listed && !u.leaving && !u.should_keep_link(now) && u.tracker.in_flight() == 0
        };
        let upstreams = self.iter_active().map(|(_, u)| u);
        upstreams
            .filter(is_surplus)
            .filter_map(Upstream::current_link)
            .collect()
    }

    fn upsert(&mut self, now: Instant, item: ListedInstance, service: ServiceName) {
        let leaving = item.state == InstanceState::Leaving;
        let known = self.by_instance.get(&item.instance).copied();
        if let Some(upstream) = known.and_then(|key| self.arena.get_mut(key)) {
            upstream.listed = true;
            upstream.leaving |= leaving;
            upstream.address = item.address;
            return;
        }
        let instance = item.instance.clone();
        let key = self.arena.insert(Upstream {
            instance: item.instance,
            address: item.address,
            zone: item.zone,
            service,
            link_state: LinkState::Down(now),
            incarnation: None,
            listed: true,
            leaving,
            selected: false,
            link_kept_until: None,
            tracker: UpstreamTracker::default(),
        });
        self.by_instance.insert(instance, key);
    }

    /// Removes companions that aren't listed, have no link and need none.
    fn remove_unused(&mut self) {
        let by_instance = &mut self.by_instance;
        self.arena.retain(|_, upstream| {
            let linked = !matches!(upstream.link_state, LinkState::Down(_));
            let keep = upstream.listed || linked || upstream.link_kept_until.is_some();
            if !keep {
                by_instance.remove(&upstream.instance);
            }
            keep
        });
    }

    /// Records an open link; returns `None` if the entry didn't dial it.
    pub(crate) fn link_up(
        &mut self,
        link: LinkKey,
        instance: &InstanceId,
        incarnation: Incarnation,
    ) -> Option<UpstreamKey> {
        let key = self.by_instance.get(instance).copied()?;
        let upstream = self.arena.get_mut(key)?;
        if upstream.link_state != LinkState::Dialing {
            return None;
        }
        upstream.link_state = LinkState::Up(link);
        upstream.incarnation = Some(incarnation);
        upstream.leaving = !upstream.listed;
        upstream.tracker.reset_link();
        self.by_link.insert(link, key);
        Some(key)
    }

    /// Records the end of a link. If calls wait for a new one (`awaited`), the
    /// companion is dialled again at once.
    pub(crate) fn link_down(&mut self, now: Instant, link: LinkKey, awaited: bool) {
        let Some(key) = self.by_link.remove(&link) else {
            return;
        };
        if let Some(upstream) = self.arena.get_mut(key) {
            let mut delay = REDIAL_DELAY;
            if awaited {
                delay = Duration::ZERO;
                upstream.link_kept_until = upstream.link_kept_until.max(Some(now + RESUME_TIMEOUT));
            }
            upstream.link_state = LinkState::Down(now + delay);
        }
        self.remove_unused();
        self.schedule_next_dial();
    }

    /// Records a failed attempt to open a link.
    pub(crate) fn dial_failed(&mut self, now: Instant, instance: &InstanceId) {
        let key = self.by_instance.get(instance).copied();
        if let Some(upstream) = key.and_then(|key| self.arena.get_mut(key))
            && upstream.link_state == LinkState::Dialing
        {
            upstream.link_state = LinkState::Down(now + REDIAL_DELAY);
        }
        self.remove_unused();
        self.schedule_next_dial();
    }

    /// Takes the companions that are due to be dialled, and marks them as
    /// dialling.
    pub(crate) fn take_dials(&mut self, now: Instant) -> Vec<(InstanceId, SocketAddr)> {
        if self.next_dial.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let mut dials = Vec::new();
        for key in &self.active {
            let Some(upstream) = self.arena.get_mut(*key) else {
                continue;
            };
            upstream.link_kept_until = upstream.link_kept_until.filter(|until| now < *until);
            let due = matches!(upstream.link_state, LinkState::Down(at) if at <= now);
            if due && upstream.should_dial() {
                upstream.link_state = LinkState::Dialing;
                dials.push((upstream.instance.clone(), upstream.address));
            }
        }
        self.schedule_next_dial();
        dials
    }

    /// Returns when the next companion is due to be dialled.
    pub(crate) fn next_dial(&self) -> Option<Instant> {
        self.next_dial
    }
}

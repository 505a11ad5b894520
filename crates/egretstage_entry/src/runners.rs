//! The upstreams that an entry knows, each with its companion.

use crate::selection::Selection;
use egretstage_link::LinkKey;
use egretstage_platform::{InstanceState, ListedInstance};
use egretstage_routing::UpstreamTracker;
use egretstage_wire::{Incarnation, InstanceId, Role, ServiceName, ZoneName};
use slotmap::{SlotMap, new_key_type};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest wait for a lost link to come back; below the time for which a
/// companion holds the answer.
pub(crate) const RESUME_TIMEOUT: Duration = Duration::from_secs(4);

/// Wait before a lost companion is dialled again.
pub(crate) const REDIAL_DELAY: Duration = Duration::from_millis(250);

new_key_type! {
    /// Key of an upstream in an entry's arena.
    pub(crate) struct RunnerKey;
}

/// The link to a companion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// No link; the companion is dialled at the instant.
    Down(Instant),
    /// A link is being opened.
    Dialing,
    /// The link is open.
    Up(LinkKey),
}

/// One upstream with its companion.
#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    pub(crate) service: ServiceName,
    pub(crate) link: LinkState,
    /// The incarnation that the last link led to.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    /// Whether the runner is in the entry's subset.
    pub(crate) selected: bool,
    /// Until when a link is kept although the companion isn't selected.
    pub(crate) wanted_until: Option<Instant>,
    pub(crate) tracker: UpstreamTracker,
}

impl Runner {
    /// Returns the link if new work may be sent on it.
    pub(crate) fn open_link(&self) -> Option<LinkKey> {
        match self.link {
            LinkState::Up(link) if !self.leaving && self.selected => Some(link),
            _ => None,
        }
    }

    /// Tells whether the companion is dialled while it has no link.
    fn is_dialled(&self) -> bool {
        (self.listed && self.selected) || self.wanted_until.is_some()
    }

    /// Tells whether the entry keeps a link to the companion.
    fn is_kept(&self, now: Instant) -> bool {
        (self.listed && self.selected) || self.wanted_until.is_some_and(|until| now < until)
    }

    /// Returns the link, whether or not new work may be sent on it.
    pub(crate) fn any_link(&self) -> Option<LinkKey> {
        match self.link {
            LinkState::Up(link) => Some(link),
            _ => None,
        }
    }

    /// Tells whether the companion is linked or live on the instance list.
    pub(crate) fn seems_alive(&self) -> bool {
        self.any_link().is_some() || (self.listed && !self.leaving)
    }
}

/// All upstreams that an entry knows.
#[derive(Debug)]
pub(crate) struct Runners {
    selection: Selection,
    arena: SlotMap<RunnerKey, Runner>,
    by_instance: HashMap<InstanceId, RunnerKey>,
    by_link: HashMap<LinkKey, RunnerKey>,
    /// Runners in the subset, wanted or with a link, so that an event costs
    /// the same however many are listed.
    active: Vec<RunnerKey>,
    next_dial: Option<Instant>,
}

impl Runners {
    /// Starts without runners.
    pub(crate) fn new(selection: Selection) -> Self {
        Self {
            selection,
            arena: SlotMap::default(),
            by_instance: HashMap::new(),
            by_link: HashMap::new(),
            active: Vec::new(),
            next_dial: None,
        }
    }

    pub(crate) fn get(&self, key: RunnerKey) -> Option<&Runner> {
        self.arena.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: RunnerKey) -> Option<&mut Runner> {
        self.arena.get_mut(key)
    }

    pub(crate) fn of_link(&self, link: LinkKey) -> Option<RunnerKey> {
        self.by_link.get(&link).copied()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Runner> {
        self.arena.values_mut()
    }

    pub(crate) fn of_instance(&self, instance: &InstanceId) -> Option<(RunnerKey, &Runner)> {
        let key = *self.by_instance.get(instance)?;
        Some((key, self.arena.get(key)?))
    }

    /// Returns the runners in the subset, wanted or with a link.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RunnerKey, &Runner)> {
        let runner = |key: &RunnerKey| Some((*key, self.arena.get(*key)?));
        self.active.iter().filter_map(runner)
    }

    /// Takes over the instance list: adds, updates and removes companions.
    pub(crate) fn update(&mut self, now: Instant, listed: Vec<ListedInstance>) {
        let mut seen = HashSet::with_capacity(listed.len());
        let selected = self.selection.choose(&listed);
        for item in listed {
            if let (Role::Companion, Some(service)) = (item.role, item.service.clone()) {
                seen.insert(item.instance.clone());
                self.upsert(now, item, service);
            }
        }
        let gone = |r: &Runner| !seen.contains(&r.instance);
        for runner in self.arena.values_mut().filter(|r| gone(r)) {
            runner.listed = false;
            runner.leaving = true;
        }
        for runner in self.arena.values_mut() {
            runner.selected = selected.contains(&runner.instance);
        }
        self.drop_unlisted();
        let active = |r: &Runner| r.is_dialled() || !matches!(r.link, LinkState::Down(_));
        let active = self.arena.iter().filter(|(_, r)| active(r));
        self.active = active.map(|(key, _)| key).collect();
        self.plan_dial();
    }

    /// Notes when the next companion is due to be dialled.
    fn plan_dial(&mut self) {
        let due = self.iter().filter_map(|(_, r)| match r.link {
            LinkState::Down(at) if r.is_dialled() => Some(at),
            _ => None,
        });
        self.next_dial = due.min();
    }

    /// Keeps a link to a companion until an instant, also outside the subset:
    /// it owns keys that callers ask for.
    pub(crate) fn want(&mut self, instance: &InstanceId, until: Instant) {
        let Some(key) = self.by_instance.get(instance).copied() else {
            return;
        };
        let Some(runner) = self.arena.get_mut(key) else {
            return;
        };
        let active = runner.is_dialled() || !matches!(runner.link, LinkState::Down(_));
        runner.wanted_until = Some(until);
        if !active && !self.active.contains(&key) {
            self.active.push(key);
        }
        self.plan_dial();
    }

    /// Returns the idle links to runners outside the entry's subset.
    pub(crate) fn surplus_links(&self, now: Instant) -> Vec<LinkKey> {
        let idle =
            |r: &&Runner| r.listed && !r.leaving && !r.is_kept(now) && r.tracker.in_flight() == 0;
        let runners = self.iter().map(|(_, r)| r);
        runners.filter(idle).filter_map(Runner::any_link).collect()
    }

    fn upsert(&mut self, now: Instant, item: ListedInstance, service: ServiceName) {
        let leaving = item.state == InstanceState::Leaving;
        let known = self.by_instance.get(&item.instance).copied();
        if let Some(runner) = known.and_then(|key| self.arena.get_mut(key)) {
            runner.listed = true;
            runner.leaving |= leaving;
            runner.address = item.address;
            return;
        }
        let instance = item.instance.clone();
        let key = self.arena.insert(Runner {
            instance: item.instance,
            address: item.address,
            zone: item.zone,
            service,
            link: LinkState::Down(now),
            incarnation: None,
            listed: true,
            leaving,
            selected: false,
            wanted_until: None,
            tracker: UpstreamTracker::default(),
        });
        self.by_instance.insert(instance, key);
    }

    /// Forgets companions that are neither listed, linked nor wanted.
    fn drop_unlisted(&mut self) {
        let by_instance = &mut self.by_instance;
        self.arena.retain(|_, runner| {
            let linked = !matches!(runner.link, LinkState::Down(_));
            let keep = runner.listed || linked || runner.wanted_until.is_some();
            if !keep {
                by_instance.remove(&runner.instance);
            }
            keep
        });
    }

    /// Notes an open link; returns none when nobody asked for it.
    pub(crate) fn link_up(
        &mut self,
        link: LinkKey,
        instance: &InstanceId,
        incarnation: Incarnation,
    ) -> Option<RunnerKey> {
        let key = self.by_instance.get(instance).copied()?;
        let runner = self.arena.get_mut(key)?;
        if runner.link != LinkState::Dialing {
            return None;
        }
        runner.link = LinkState::Up(link);
        runner.incarnation = Some(incarnation);
        runner.leaving = !runner.listed;
        runner.tracker.reset_link();
        self.by_link.insert(link, key);
        Some(key)
    }

    /// Notes the end of a link; a companion that calls wait for is dialled
    /// again at once.
    pub(crate) fn link_down(&mut self, now: Instant, link: LinkKey, awaited: bool) {
        let Some(key) = self.by_link.remove(&link) else {
            return;
        };
        if let Some(runner) = self.arena.get_mut(key) {
            let mut delay = REDIAL_DELAY;
            if awaited {
                delay = Duration::ZERO;
                runner.wanted_until = runner.wanted_until.max(Some(now + RESUME_TIMEOUT));
            }
            runner.link = LinkState::Down(now + delay);
        }
        self.drop_unlisted();
        self.plan_dial();
    }

    /// Notes a failed attempt to open a link.
    pub(crate) fn dial_failed(&mut self, now: Instant, instance: &InstanceId) {
        let key = self.by_instance.get(instance).copied();
        if let Some(runner) = key.and_then(|key| self.arena.get_mut(key))
            && runner.link == LinkState::Dialing
        {
            runner.link = LinkState::Down(now + REDIAL_DELAY);
        }
        self.drop_unlisted();
        self.plan_dial();
    }

    /// Takes the companions that are due to be dialled.
    pub(crate) fn take_dials(&mut self, now: Instant) -> Vec<(InstanceId, SocketAddr)> {
        if self.next_dial.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let mut dials = Vec::new();
        for key in &self.active {
            let Some(runner) = self.arena.get_mut(*key) else {
                continue;
            };
            runner.wanted_until = runner.wanted_until.filter(|until| now < *until);
            let due = matches!(runner.link, LinkState::Down(at) if at <= now);
            if due && runner.is_dialled() {
                runner.link = LinkState::Dialing;
                dials.push((runner.instance.clone(), runner.address));
            }
        }
        self.plan_dial();
        dials
    }

    /// Returns when the next companion is due to be dialled.
    pub(crate) fn next_dial(&self) -> Option<Instant> {
        self.next_dial
    }
}

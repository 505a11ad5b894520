//! The upstreams that an entry may call.

use crate::UpstreamTag;
use crate::notices::{Notices, RememberedNotices};
use compact_str::CompactString;
use egretstage_routing::Ewma;
use egretstage_wire::{InstanceId, ServiceName, ZoneName};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

new_key_type! {
    /// Identifies an upstream within an entry.
    pub struct UpstreamKey;
}

/// What an upstream says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum UpstreamState {
    /// It takes new work.
    Ready,
    /// It finishes its work and will stop.
    Draining,
}

/// The place of an upstream in a model group whose ranks step together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// The group.
    pub group: CompactString,
    /// Whether the group takes work; not while a rank is missing.
    pub accepts_calls: bool,
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Its name; another start mostly has another one.
    pub instance: InstanceId,
    /// When it started, in milliseconds of the Unix time, if it tells: a
    /// later start under the same name is another upstream.
    pub started_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it is called.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Its model group, if it is a rank of one.
    pub membership: Option<GroupMembership>,
}

impl ListedUpstream {
    /// Tells whether another record is of the same start of the upstream.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.instance == other.instance
            && self.started_ms == other.started_ms
            && self.address == other.address
            && self.service == other.service
    }
}

/// Weight of the newest answer in an upstream's share of failures.
const FAILURE_WEIGHT: f32 = 0.15;

/// Weight of the newest answer in an upstream's answer time.
const ANSWER_TIME_WEIGHT: f32 = 0.1;

/// An upstream with what the entry knows of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the platform lists.
    pub listed: ListedUpstream,
    /// Calls of this entry that it runs.
    pub own_calls: u32,
    /// Calls of the other entries that it runs, as they last reported.
    pub peer_calls: u32,
    /// Share of its recent answers that failed.
    pub failures: Ewma,
    /// Time to its recent answers in milliseconds.
    pub answer_ms: Ewma,
    /// Until when no call is sent to it, since it said that it isn't the
    /// upstream that its record names, or doesn't belong to the service.
    disowned_until: Option<Instant>,
    /// How often in a row it said so.
    disowned: u32,
    /// Whether a later start has been listed at its address.
    superseded: bool,
    /// What it said of itself in answers.
    pub notices: Notices,
}

/// Time for which an upstream that disowns its record isn't called: one call
/// an entry finds out whether it still does. Doubles each time that it does:
/// records of upstreams that are gone stay for seconds.
const DISOWNED_FOR: Duration = Duration::from_secs(1);

/// Times that it doubles.
const MAX_DOUBLINGS: u32 = 3;

impl Upstream {
    fn new(listed: ListedUpstream) -> Self {
        Self {
            listed,
            own_calls: 0,
            peer_calls: 0,
            failures: Ewma::new(FAILURE_WEIGHT),
            answer_ms: Ewma::new(ANSWER_TIME_WEIGHT),
            disowned_until: None,
            disowned: 0,
            superseded: false,
            notices: Notices::default(),
        }
    }

    /// Returns the calls of all entries that it runs.
    #[must_use]
    pub fn calls(&self) -> u32 {
        self.own_calls + self.peer_calls
    }

    /// Tells whether it takes new work.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        self.listed.state == UpstreamState::Ready
            && self.disowned_until.is_none()
            && !self.superseded
            && self.notices.allow_calls(now)
    }

    /// Returns the name of its model group, empty if it is in none.
    #[must_use]
    pub fn group(&self) -> &str {
        self.listed
            .membership
            .as_ref()
            .map_or("", |membership| &membership.group)
    }
}

/// All upstreams that an entry knows, in an arena.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    arena: SlotMap<UpstreamKey, Upstream>,
    by_instance: HashMap<InstanceId, UpstreamKey>,
    by_tag: HashMap<UpstreamTag, UpstreamKey>,
    remembered: RememberedNotices,
}

impl Upstreams {
    /// Adds an upstream, or takes over what it says of itself now.
    pub fn list(&mut self, listed: ListedUpstream) -> UpstreamKey {
        if let Some(key) = self.by_instance.get(&listed.instance).copied()
            && let Some(known) = self.arena.get_mut(key)
            && known.listed.is_same_start(&listed)
        {
            known.listed = listed;
            return key;
        }
        let instance = listed.instance.clone();
        let mut upstream = Upstream::new(listed);
        upstream.notices = self.remembered.recall(&upstream.listed);
        self.supersede(&mut upstream);
        let tag = UpstreamTag::from(&instance);
        let key = self.arena.insert(upstream);
        self.by_tag.insert(tag, key);
        if let Some(old) = self.by_instance.insert(instance, key) {
            self.arena.remove(old);
        }
        key
    }

    /// Notes which of the upstreams listed at one address started last: an
    /// address has one upstream, and the record of an earlier one stays until
    /// it lapses.
    fn supersede(&mut self, new: &mut Upstream) {
        for known in self.arena.values_mut() {
            if known.listed.address != new.listed.address {
                continue;
            }
            match (known.listed.started_ms, new.listed.started_ms) {
                (Some(before), Some(now)) if before < now => known.superseded = true,
                (Some(before), Some(now)) if before > now => new.superseded = true,
                _ => {}
            }
        }
    }

    /// Removes an upstream by its name.
    pub fn remove(&mut self, now: Instant, instance: &InstanceId) {
        let key = self.by_instance.remove(instance);
        self.by_tag.remove(&UpstreamTag::from(instance));
        if let Some(upstream) = key.and_then(|key| self.arena.remove(key)) {
            let Upstream {
                listed, notices, ..
            } = upstream;
            self.remembered.remember(now, listed, notices);
        }
    }

    /// Returns an upstream by its name.
    #[must_use]
    pub fn find(&self, instance: &InstanceId) -> Option<&Upstream> {
        self.by_instance
            .get(instance)
            .and_then(|key| self.arena.get(*key))
    }

    /// Returns an upstream.
    #[must_use]
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.arena.get(key)
    }

    /// Returns an upstream to change.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.arena.get_mut(key)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.arena.iter()
    }

    /// Returns an upstream that other entries have named, to change.
    pub fn tagged_mut(&mut self, tag: UpstreamTag) -> Option<&mut Upstream> {
        let key = *self.by_tag.get(&tag)?;
        self.arena.get_mut(key)
    }

    /// Returns the upstreams of a service that take new work.
    pub fn ready<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
        let of_service = move |u: &Upstream| u.is_ready(now) && u.listed.service == *service;
        self.arena.iter().filter(move |(_, u)| of_service(u))
    }

    /// Returns when the first upstream of a service wants calls again, if none
    /// takes them now and some have said when they do.
    #[must_use]
    pub fn busy_until(&self, now: Instant, service: &ServiceName) -> Option<Instant> {
        if self.ready(now, service).next().is_some() {
            return None;
        }
        let of_service = |u: &&Upstream| {
            let takes_work =
                u.listed.state == UpstreamState::Ready && !u.superseded && !u.notices.is_leaving();
            takes_work && u.listed.service == *service
        };
        let upstreams = self.arena.values().filter(of_service);
        upstreams.filter_map(|u| u.notices.busy_until()).min()
    }

    /// Notes that an upstream disowned its record when it was called.
    pub fn disowned(&mut self, now: Instant, key: UpstreamKey) {
        if let Some(upstream) = self.arena.get_mut(key) {
            let time = DISOWNED_FOR * (1 << upstream.disowned.min(MAX_DOUBLINGS));
            upstream.disowned += 1;
            upstream.disowned_until = Some(now + time);
        }
    }

    /// Lets upstreams be called again that disowned their records a while ago.
    pub fn forget_disowned(&mut self, now: Instant) {
        for upstream in self.arena.values_mut() {
            if upstream.disowned_until.is_some_and(|until| until <= now) {
                upstream.disowned_until = None;
            }
        }
    }

    /// Notes the end of an answer.
    pub fn answered(&mut self, key: UpstreamKey, after: Duration, failed: bool) {
        if let Some(upstream) = self.arena.get_mut(key) {
            upstream.failures.add(if failed { 1.0 } else { 0.0 });
            if !failed {
                upstream.disowned = 0;
                upstream.answer_ms.add(after.as_secs_f32() * 1000.0);
            }
        }
    }
}

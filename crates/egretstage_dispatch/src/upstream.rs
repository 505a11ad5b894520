//! The upstreams that an entry may call.

use crate::evacuated_zones::{EvacuatedZones, ZoneChanges};
use crate::signals::{RetainedSignals, UpstreamSignals};
use crate::{UpstreamStart, UpstreamTag};
use compact_str::CompactString;
use egretstage_routing::Ewma;
use egretstage_wire::{InstanceId, ServiceName, SlowRanks, Slowdown, ZoneName};
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

new_key_type! {
    /// Identifies an upstream within an entry.
    pub struct UpstreamKey;
}

/// State that an upstream reports in its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum UpstreamState {
    /// It takes new work.
    Ready,
    /// It finishes its running work and then stops.
    Draining,
}

/// Membership of an upstream in a model group, whose ranks step in lockstep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// The group.
    pub group: CompactString,
    /// Whether the group takes calls; it doesn't while a rank is missing.
    pub accepts_calls: bool,
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Its name; a restart usually gets another one.
    pub instance: InstanceId,
    /// When it started, in milliseconds of Unix time, if its record says so: a
    /// later start under the same name is another upstream.
    pub started_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address for calls.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Maximum number of calls that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Its model group, if it is a rank of one.
    pub membership: Option<GroupMembership>,
    /// For how much longer it is cold, if its record says so: zero once it is warm.
    pub cold_for: Option<Duration>,
}

impl ListedUpstream {
    /// Returns whether another record belongs to the same start of the upstream.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.instance == other.instance
            && self.started_ms == other.started_ms
            && self.address == other.address
            && self.service == other.service
    }
}

/// Weight of the newest answer in an upstream's failure share.
const FAILURE_WEIGHT: f32 = 0.15;

/// Weight of the newest answer in an upstream's mean answer time.
const ANSWER_TIME_WEIGHT: f32 = 0.1;

/// Maximum factor on the load of a slow upstream.
const MAX_SLOWNESS_FACTOR: f32 = 8.0;

/// An upstream with the observations of this entry.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its record.
    pub listed: ListedUpstream,
    /// The tag of its start, which is needed for each decision.
    start: UpstreamStart,
    /// Calls of this entry that it runs.
    pub own_calls: u32,
    /// Calls of the other entries that it runs, by their last reports.
    pub peer_calls: u32,
    /// Share of recent answers that failed, from 0 to 1.
    pub failures: Ewma,
    /// Mean time to the first byte of recent answers, in milliseconds.
    pub answer_ms: Ewma,
    /// How much slower than usual it is.
    pub slowdown: Slowdown,
    /// Until when no call is sent to it, because it rejected one as misdirected:
    /// it isn't the upstream that its record names, or belongs to another
    /// service.
    misdirected_until: Option<Instant>,
    /// Number of calls in a row that it rejected as misdirected.
    misdirected_calls: u32,
    /// Whether an upstream that started later is listed at its address.
    superseded: bool,
    /// Whether it refused a call as full, and has begun no answer since.
    is_full: bool,
    /// Whether its zone is evacuated.
    is_evacuated: bool,
    /// Signals that it sent in answers.
    pub signals: UpstreamSignals,
}

/// Time for which an upstream isn't called after it rejected a call as
/// misdirected; after that, the next call of each entry checks it again. The time
/// doubles with each rejection in a row, since records of stopped upstreams stay
/// for seconds.
const MISDIRECTED_PAUSE: Duration = Duration::from_secs(1);

/// Maximum number of times that the pause doubles.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

impl Upstream {
    fn new(listed: ListedUpstream) -> Self {
        Self {
            start: UpstreamStart::from(&listed),
            listed,
            own_calls: 0,
            peer_calls: 0,
            failures: Ewma::new(FAILURE_WEIGHT),
            answer_ms: Ewma::new(ANSWER_TIME_WEIGHT),
            slowdown: Slowdown::NONE,
            misdirected_until: None,
            misdirected_calls: 0,
            superseded: false,
            is_full: false,
            is_evacuated: false,
            signals: UpstreamSignals::default(),
        }
    }

    /// Returns the tag of its start.
    #[must_use]
    pub fn start(&self) -> UpstreamStart {
        self.start
    }

    /// Returns the calls of all entries that it runs.
    #[must_use]
    pub fn calls(&self) -> u32 {
        self.own_calls + self.peer_calls
    }

    /// Returns whether it takes new work.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        !self.is_evacuated && self.would_be_ready(now)
    }

    /// Returns whether its zone is evacuated, whatever else keeps it from new work.
    #[must_use]
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }

    /// Returns whether it takes no new work only because its zone is evacuated.
    #[must_use]
    pub fn is_emptied(&self, now: Instant) -> bool {
        self.is_evacuated && self.would_be_ready(now)
    }

    fn would_be_ready(&self, now: Instant) -> bool {
        self.listed.state == UpstreamState::Ready
            && self.misdirected_until.is_none()
            && !self.superseded
            && self.signals.allow_calls(now)
    }

    /// Returns whether it refused its last call as full.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Returns how many times slower than a typical upstream it answers, from 1 to
    /// [`MAX_SLOWNESS_FACTOR`].
    #[must_use]
    pub fn slowness(&self, typical_ms: f32) -> f32 {
        match self.answer_ms.get() {
            Some(own) if typical_ms > 0.0 => (own / typical_ms).clamp(1.0, MAX_SLOWNESS_FACTOR),
            _ => 1.0,
        }
    }

    /// Returns the calls that it runs at once as well as a typical upstream: a slow or
    /// failing one counts less.
    #[must_use]
    pub fn sound_slots(&self, typical_ms: f32) -> f32 {
        let slots = f32::from(u16::try_from(self.listed.slots).unwrap_or(u16::MAX));
        let failures = self.failures.get().unwrap_or(0.0);
        slots * (1.0 - failures) / self.slowness(typical_ms)
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

/// All upstreams that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    arena: SlotMap<UpstreamKey, Upstream>,
    by_instance: HashMap<InstanceId, UpstreamKey>,
    by_tag: HashMap<UpstreamTag, UpstreamKey>,
    evacuated_zones: EvacuatedZones,
    retained_signals: RetainedSignals,
}

impl Upstreams {
    /// Adds an upstream, or updates the record of a known start of it.
    pub fn upsert(&mut self, listed: ListedUpstream) -> UpstreamKey {
        if let Some(key) = self.by_instance.get(&listed.instance).copied()
            && let Some(known) = self.arena.get_mut(key)
            && known.listed.is_same_start(&listed)
        {
            known.is_evacuated = self.evacuated_zones.contains(&listed.zone);
            known.listed = listed;
            return key;
        }
        let instance = listed.instance.clone();
        let mut upstream = Upstream::new(listed);
        upstream.is_evacuated = self.evacuated_zones.contains(&upstream.listed.zone);
        upstream.signals = self.retained_signals.take(&upstream.listed);
        self.mark_superseded(&mut upstream);
        let tag = UpstreamTag::from(&instance);
        let key = self.arena.insert(upstream);
        self.by_tag.insert(tag, key);
        if let Some(old) = self.by_instance.insert(instance, key) {
            self.arena.remove(old);
        }
        key
    }

    /// Marks all but the latest start at an address as superseded: only one
    /// upstream runs at an address, and the record of an earlier one stays until
    /// it lapses.
    fn mark_superseded(&mut self, new: &mut Upstream) {
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

    /// Removes an upstream by its name, and retains its signals.
    pub fn remove(&mut self, now: Instant, instance: &InstanceId) {
        let key = self.by_instance.remove(instance);
        self.by_tag.remove(&UpstreamTag::from(instance));
        if let Some(upstream) = key.and_then(|key| self.arena.remove(key)) {
            let Upstream {
                listed, signals, ..
            } = upstream;
            self.retained_signals.store(now, listed, signals);
        }
    }

    /// Returns an upstream by its name.
    #[must_use]
    pub fn find(&self, instance: &InstanceId) -> Option<&Upstream> {
        self.by_instance
            .get(instance)
            .and_then(|key| self.arena.get(*key))
    }

    /// Returns an upstream by its key.
    #[must_use]
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.arena.get(key)
    }

    /// Returns an upstream by its key, for modification.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.arena.get_mut(key)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.arena.iter()
    }

    /// Returns an upstream by its tag in load reports.
    #[must_use]
    pub fn get_by_tag(&self, tag: UpstreamTag) -> Option<&Upstream> {
        self.arena.get(*self.by_tag.get(&tag)?)
    }

    /// Returns an upstream by its tag in load reports, for modification.
    pub fn get_mut_by_tag(&mut self, tag: UpstreamTag) -> Option<&mut Upstream> {
        let key = *self.by_tag.get(&tag)?;
        self.arena.get_mut(key)
    }

    /// Applies a report of a group's slow ranks; returns the services of the group's
    /// ranks.
    pub fn set_slow_ranks(&mut self, report: &SlowRanks) -> SmallVec<[ServiceName; 1]> {
        let mut services = SmallVec::<[ServiceName; 1]>::new();
        for upstream in self.arena.values_mut() {
            if upstream.group() != report.group {
                continue;
            }
            upstream.slowdown = report.slowdown_of(upstream.listed.address);
            if !services.contains(&upstream.listed.service) {
                services.push(upstream.listed.service.clone());
            }
        }
        services
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

    /// Returns the upstreams of a service that take no new work only because their zones are
    /// evacuated.
    pub fn emptied<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Upstream> {
        let of_service = move |u: &&Upstream| u.is_emptied(now) && u.listed.service == *service;
        // Without evacuated zones, the upstreams aren't searched for each call.
        let upstreams = (!self.evacuated_zones.is_empty()).then(|| self.arena.values());
        upstreams.into_iter().flatten().filter(of_service)
    }

    /// Returns the evacuated zones.
    #[must_use]
    pub fn evacuated_zones(&self) -> &EvacuatedZones {
        &self.evacuated_zones
    }

    /// Changes the evacuated zones; returns the changes.
    pub fn change_evacuated_zones(
        &mut self,
        change: impl FnOnce(&mut EvacuatedZones) -> ZoneChanges,
    ) -> ZoneChanges {
        let changes = change(&mut self.evacuated_zones);
        if !changes.is_empty() {
            for upstream in self.arena.values_mut() {
                upstream.is_evacuated = self.evacuated_zones.contains(&upstream.listed.zone);
            }
        }
        changes
    }

    /// Returns the earliest end of the back-off requests of a service's
    /// upstreams, if none of them takes calls now.
    #[must_use]
    pub fn back_off_until(&self, now: Instant, service: &ServiceName) -> Option<Instant> {
        if self.ready(now, service).next().is_some() {
            return None;
        }
        let of_service = |u: &&Upstream| {
            let accepts_work =
                u.listed.state == UpstreamState::Ready && !u.superseded && !u.signals.is_leaving();
            let accepts_work = accepts_work && !u.is_evacuated;
            accepts_work && u.listed.service == *service
        };
        let upstreams = self.arena.values().filter(of_service);
        upstreams.filter_map(|u| u.signals.back_off_until()).min()
    }

    /// Records that an upstream refused a call as full.
    pub fn record_full(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.arena.get_mut(key) {
            upstream.is_full = true;
        }
    }

    /// Records that an upstream rejected a call as misdirected.
    pub fn record_misdirected(&mut self, now: Instant, key: UpstreamKey) {
        if let Some(upstream) = self.arena.get_mut(key) {
            let pause =
                MISDIRECTED_PAUSE * (1 << upstream.misdirected_calls.min(MAX_PAUSE_DOUBLINGS));
            upstream.misdirected_calls += 1;
            upstream.misdirected_until = Some(now + pause);
        }
    }

    /// Allows calls again to upstreams whose pause after a misdirected call is
    /// over.
    pub fn end_misdirected_pauses(&mut self, now: Instant) {
        for upstream in self.arena.values_mut() {
            if upstream.misdirected_until.is_some_and(|until| until <= now) {
                upstream.misdirected_until = None;
            }
        }
    }

    /// Records the outcome of a call: that its answer began after `latency`, or
    /// that it failed.
    pub fn record_answer(&mut self, key: UpstreamKey, latency: Duration, failed: bool) {
        if let Some(upstream) = self.arena.get_mut(key) {
            upstream.failures.add(if failed { 1.0 } else { 0.0 });
            if !failed {
                upstream.misdirected_calls = 0;
                upstream.is_full = false;
                upstream.answer_ms.add(latency.as_secs_f32() * 1000.0);
            }
        }
    }
}

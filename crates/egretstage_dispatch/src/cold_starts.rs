//! Bounds the starts of calls at upstreams that are cold.
//!
//! Load pattern: a whole availability zone returns at once. Its upstreams are idle, so they
//! attract all calls of all entries, while each tolerates only a few calls per second
//! until it is warm, from all entries together. Meanwhile entries are lost, frozen, cut off
//! or added.
//!
//! Each entry keeps to a share of the tolerated rate by the number of known entries: those
//! that have reported load within [`ENTRY_RETENTION`], since one that is silent may still
//! send calls. The remainder, or the whole rate if there are more entries than calls, goes
//! to the entries that a hash of entry and upstream ranks first. An entry that doesn't
//! know the others yet starts nothing for [`JOIN_DELAY`].
//!
//! An upstream is cold for the time that its record states, counted from when it was read, so
//! that it is never taken for warm too soon. Where records may have changed without an entry's
//! knowledge, upstreams count as cold until it has read them again.

use crate::peers::hash32;
use crate::{ListedUpstream, UpstreamStart};
use egretstage_wire::{InstanceId, ServiceName};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use crate::start_limits::JOIN_DELAY;

/// Time for which an entry without reports keeps its share.
pub const ENTRY_RETENTION: Duration = Duration::from_mins(2);

/// Window in which an entry's starts at a cold upstream are counted: a second, and the time
/// by which two calls may come closer to each other on their way.
pub const START_WINDOW: Duration = Duration::from_millis(1_100);

/// Longest time between two events of an entry that runs. After a longer one, upstreams may
/// have turned cold without its knowledge.
const MAX_STANDSTILL: Duration = Duration::from_secs(1);

/// Time for which an upstream counts as cold that may have turned so without this entry's
/// knowledge: longer than the time between two reads of the records.
pub const CAUTION_TIME: Duration = Duration::from_secs(2);

/// How an operator bounds the calls at a service's cold upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdProfile {
    /// Time from an upstream's start until it is warm.
    pub time: Duration,
    /// Calls per second that a cold upstream tolerates from all entries together; above 0.
    pub rate: f64,
}

/// Starts that this entry may use at a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share {
    starts: u32,
    /// Starts of all entries together: the most that the share may become.
    of_all: u32,
    window: Duration,
}

impl Share {
    fn per_second(self) -> f64 {
        f64::from(self.starts) / self.window.as_secs_f64()
    }
}

/// One start of an upstream.
#[derive(Clone, Debug)]
struct Known {
    instance: InstanceId,
    service: ServiceName,
    is_listed: bool,
    /// What its last record stated.
    stated: Option<Duration>,
    cold_until: Option<Instant>,
    /// Until when it counts as cold, whatever its records state.
    caution_until: Option<Instant>,
    /// This entry's share, if its service bounds the calls at cold upstreams.
    share: Option<Share>,
    /// When this entry last started calls there, the oldest first.
    starts: SmallVec<[Instant; 4]>,
    /// Whether it was last reported as cold.
    is_reported: bool,
}

impl Known {
    fn is_cold(&self, now: Instant) -> bool {
        self.share.is_some() && self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns this entry's share, if the upstream counts as cold.
    fn bound(&self, now: Instant) -> Option<Share> {
        let is_cautious = self.caution_until.is_some_and(|until| now < until);
        self.share.filter(|_| is_cautious || self.is_cold(now))
    }

    /// Returns whether the upstream may be called, or called again under the same start.
    fn is_needed(&self, now: Instant) -> bool {
        let window = self.share.map_or(Duration::ZERO, |share| share.window);
        self.is_listed || self.is_cold(now) || self.recent_starts(now, window).next().is_some()
    }

    /// Returns the starts in the window that ends now.
    fn recent_starts(&self, now: Instant, window: Duration) -> impl Iterator<Item = &Instant> {
        let is_recent = move |at: &&Instant| now.saturating_duration_since(**at) < window;
        self.starts.iter().filter(is_recent)
    }
}

/// An upstream that has turned cold or warm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The upstream.
    pub instance: InstanceId,
    /// Its service.
    pub service: ServiceName,
    /// For how much longer it is cold; `None` if it no longer is.
    pub cold_for: Option<Duration>,
    /// Whether it is still listed.
    pub is_listed: bool,
    /// Number of cold upstreams, with this one.
    pub cold_upstreams: u32,
}

/// The upstreams that are cold, and the starts of this entry there.
#[derive(Clone, Debug)]
pub struct ColdStarts {
    entry: InstanceId,
    /// From when this entry knows the others.
    joined_at: Instant,
    /// When it last ran.
    last_run: Instant,
    profiles: HashMap<ServiceName, ColdProfile>,
    /// The other entries, with the time of their last reports.
    entries: HashMap<InstanceId, Instant>,
    upstreams: HashMap<UpstreamStart, Known>,
    /// When the last upstream stops counting as cold.
    latest_end: Option<Instant>,
}

impl ColdStarts {
    /// Creates the state of an entry that has just started.
    #[must_use]
    pub fn new(now: Instant, entry: InstanceId) -> Self {
        Self {
            entry,
            joined_at: now + JOIN_DELAY,
            last_run: now,
            profiles: HashMap::new(),
            entries: HashMap::new(),
            upstreams: HashMap::new(),
            latest_end: None,
        }
    }

    /// Applies the operator's settings of a service.
    ///
    /// The first bound lets the time in which this entry learns the others begin anew: while it
    /// waited for its configuration, it may have heard none.
    pub fn configure(&mut self, now: Instant, service: &ServiceName, profile: Option<ColdProfile>) {
        if self.profiles.is_empty() && profile.is_some() {
            self.joined_at = self.joined_at.max(now + JOIN_DELAY);
        }
        let previous = match profile {
            Some(profile) => self.profiles.insert(service.clone(), profile),
            None => self.profiles.remove(service),
        };
        if previous != profile {
            self.update_shares();
        }
    }

    /// Records that this entry runs: if it has stood still, all upstreams count as cold for a
    /// while.
    pub fn record_run(&mut self, now: Instant) {
        let stood_still = now.saturating_duration_since(self.last_run);
        self.last_run = now;
        if stood_still > MAX_STANDSTILL {
            let upstreams: Vec<UpstreamStart> = self.upstreams.keys().copied().collect();
            for upstream in upstreams {
                self.expect_cold(now, upstream);
            }
        }
    }

    /// Lets an upstream count as cold for [`CAUTION_TIME`], whatever its record states.
    pub fn expect_cold(&mut self, now: Instant, upstream: UpstreamStart) {
        if let Some(known) = self.upstreams.get_mut(&upstream) {
            known.caution_until = Some(now + CAUTION_TIME);
            self.latest_end = self.latest_end.max(known.caution_until);
        }
    }

    /// Records that another entry has reported.
    pub fn record_report(&mut self, now: Instant, entry: &InstanceId) {
        if let Some(reported_at) = self.entries.get_mut(entry) {
            *reported_at = now;
        } else {
            self.entries.insert(entry.clone(), now);
            self.update_shares();
        }
    }

    /// Applies the record of an upstream.
    pub fn record_listed(&mut self, now: Instant, listed: &ListedUpstream) {
        let start = UpstreamStart::from(listed);
        let profile = self.profiles.get(&listed.service).copied();
        let known_before = self.upstreams.contains_key(&start);
        let known = self.upstreams.entry(start).or_insert_with(|| Known {
            instance: listed.instance.clone(),
            service: listed.service.clone(),
            is_listed: true,
            stated: None,
            cold_until: None,
            caution_until: None,
            share: None,
            starts: SmallVec::new(),
            is_reported: false,
        });
        known.is_listed = true;
        let is_same = known.stated.is_some() && known.stated == listed.cold_for;
        let is_cold = known.cold_until.is_some_and(|until| now < until);
        known.stated = listed.cold_for;
        match listed.cold_for {
            Some(left) if left.is_zero() => known.cold_until = None,
            Some(_) if is_same && is_cold => {}
            Some(left) => known.cold_until = Some(now + left),
            None if known_before || now < self.joined_at => {}
            None => known.cold_until = profile.map(|profile| now + profile.time),
        }
        self.latest_end = self.latest_end.max(known.cold_until);
        if !known_before {
            let share = profile.map(|profile| self.share_at(profile, start));
            if let Some(known) = self.upstreams.get_mut(&start) {
                known.share = share;
            }
        }
    }

    /// Records that a start of an upstream is no longer listed.
    pub fn record_unlisted(&mut self, listed: &ListedUpstream) {
        let start = UpstreamStart::from(listed);
        if let Some(known) = self.upstreams.get_mut(&start) {
            known.is_listed = false;
        }
    }

    /// Returns whether an upstream may count as cold.
    #[must_use]
    pub fn is_active(&self, now: Instant) -> bool {
        !self.profiles.is_empty() && self.latest_end.is_some_and(|end| now < end)
    }

    /// Returns the starts that this entry may use now at an upstream; `None` if they aren't
    /// bounded.
    #[must_use]
    pub fn starts_left(&self, now: Instant, upstream: UpstreamStart) -> Option<u32> {
        let (known, share) = self.bounded(now, upstream)?;
        if now < self.joined_at {
            return Some(0);
        }
        let recent = known.recent_starts(now, share.window).count();
        let recent = u32::try_from(recent).unwrap_or(u32::MAX);
        Some(share.starts.saturating_sub(recent))
    }

    /// Returns the rate at which this entry may start calls at an upstream, in calls per
    /// second; `None` if it isn't bounded.
    #[must_use]
    pub fn rate(&self, now: Instant, upstream: UpstreamStart) -> Option<f64> {
        let (_, share) = self.bounded(now, upstream)?;
        Some(share.per_second())
    }

    /// Returns the time until this entry may use its share at an upstream; zero unless it has
    /// just started and the starts are bounded.
    #[must_use]
    pub fn time_until_joined(&self, now: Instant, upstream: UpstreamStart) -> Duration {
        let bounded = self.bounded(now, upstream);
        let joined_at = bounded.map(|_| self.joined_at);
        joined_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Returns when a bounded upstream turns warm, as far as is known.
    #[must_use]
    pub fn warm_at(&self, now: Instant, upstream: UpstreamStart) -> Option<Instant> {
        let (known, _) = self.bounded(now, upstream)?;
        known.cold_until.max(known.caution_until)
    }

    /// Returns an upstream with this entry's share of its starts, if they are bounded now.
    fn bounded(&self, now: Instant, upstream: UpstreamStart) -> Option<(&Known, Share)> {
        if !self.is_active(now) {
            return None;
        }
        let known = self.upstreams.get(&upstream)?;
        Some((known, known.bound(now)?))
    }

    /// Records a start at an upstream, also at a warm one: it may turn cold within the window.
    pub fn record_start(&mut self, now: Instant, upstream: UpstreamStart) {
        if self.profiles.is_empty() {
            return;
        }
        if let Some(known) = self.upstreams.get_mut(&upstream)
            && let Some(share) = known.share
        {
            let age = |at: &Instant| now.saturating_duration_since(*at);
            known.starts.retain(|at| age(at) < share.window);
            // Earlier ones can't make the share smaller than it is with the latest.
            let most = usize::try_from(share.of_all).unwrap_or(usize::MAX);
            let excess = (known.starts.len() + 1).saturating_sub(most);
            known.starts.drain(..excess);
            known.starts.push(now);
        }
    }

    /// Forgets what no longer counts; returns the upstreams that have turned cold or warm.
    pub fn remove_expired(&mut self, now: Instant) -> SmallVec<[ColdChange; 2]> {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let entries = self.entries.len();
        self.entries
            .retain(|_, reported_at| age(reported_at) < ENTRY_RETENTION);
        if self.entries.len() < entries {
            self.update_shares();
        }
        let mut changes = SmallVec::new();
        self.upstreams
            .retain(|_, known| known.is_needed(now) || known.is_reported);
        if self.latest_end.is_none() {
            return changes;
        }
        if self.latest_end.is_some_and(|end| end <= now) {
            self.latest_end = None;
        }
        let counts = |known: &Known| known.is_listed && known.is_cold(now);
        let cold = self.upstreams.values().filter(|known| counts(known));
        let cold_upstreams = u32::try_from(cold.count()).unwrap_or(u32::MAX);
        for known in self.upstreams.values_mut() {
            let is_cold = known.is_listed && known.is_cold(now);
            if std::mem::replace(&mut known.is_reported, is_cold) != is_cold {
                let until = known.cold_until.filter(|_| is_cold);
                changes.push(ColdChange {
                    instance: known.instance.clone(),
                    service: known.service.clone(),
                    cold_for: until.map(|until| until.saturating_duration_since(now)),
                    is_listed: known.is_listed,
                    cold_upstreams,
                });
            }
        }
        changes.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
        changes
    }

    fn update_shares(&mut self) {
        let shares: Vec<(UpstreamStart, Option<Share>)> = self
            .upstreams
            .iter()
            .map(|(start, known)| {
                let profile = self.profiles.get(&known.service);
                (*start, profile.map(|p| self.share_at(*p, *start)))
            })
            .collect();
        for (start, share) in shares {
            if let Some(known) = self.upstreams.get_mut(&start) {
                known.share = share;
            }
        }
    }

    /// Returns this entry's share of the starts at an upstream.
    fn share_at(&self, profile: ColdProfile, upstream: UpstreamStart) -> Share {
        let own_rank = entry_rank(&self.entry, upstream);
        let ranks = self.entries.keys().map(|entry| entry_rank(entry, upstream));
        let ahead = ranks.filter(|rank| *rank > own_rank).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let entries = entries.saturating_add(1);
        let total = to_u32(profile.rate).max(1);
        let window = START_WINDOW.as_secs_f64() / profile.rate.min(1.0);
        Share {
            starts: total / entries + u32::from(ahead < total % entries),
            of_all: total,
            window: Duration::try_from_secs_f64(window).unwrap_or(Duration::MAX),
        }
    }
}

/// Returns the rank of an entry at an upstream; the highest ones get the remainder.
fn entry_rank(entry: &InstanceId, upstream: UpstreamStart) -> (u32, &InstanceId) {
    let mut bytes = entry.as_str().as_bytes().to_vec();
    bytes.extend(upstream.to_bytes());
    (hash32(&bytes), entry)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn to_u32(value: f64) -> u32 {
    value as u32
}

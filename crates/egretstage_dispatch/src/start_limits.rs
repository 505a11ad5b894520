//! Hands out starts of calls at upstreams that limit the calls of all entries together.
//!
//! Load pattern: an upstream in need names in its answers how many calls per second it
//! takes from all entries. Each entry sees a part of the answers, has its own share of the
//! arrivals, and may start, stop, freeze or be cut off at any moment. If each entry kept the
//! limit alone, or a share of it with one call in reserve, all together would exceed it.
//!
//! So one entry distributes the starts of a limited upstream: of the entries that may, the
//! one that a hash of both names ranks first. It hands out as many starts as the limit
//! allows, in proportion to the calls that arrive and wait at each entry, and repeats each
//! grant in its load reports. A start that isn't used within [`GRANT_LIFETIME`] expires, so starts
//! don't accumulate, however many entries there are. Without a grant, an entry sends a
//! limited upstream nothing.
//!
//! An entry without recent reports may still send calls. Until [`SILENT_ENTRY_RETENTION`] has passed,
//! each side of a partition therefore hands out only its share by the number of entries, and
//! an entry that has just started hands out nothing for [`JOIN_DELAY`].
//!
//! What an upstream named last holds, whoever has read it, until an answer names something
//! else. A limit of less than [`MIN_RATE`] counts as that, since nobody would notice its end
//! otherwise.

mod report;

use crate::evidence::age_ms;
use crate::peers::{REPORT_LIFETIME, hash32};
use crate::{CallRate, LoadReport, UpstreamStart};
use egretstage_wire::InstanceId;
pub use report::LimitReport;
use report::{EntryStart, ReportedLimit, StartGrant};
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time after which an unused start expires.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// Time after its own start for which an entry hands out nothing: longer than the longest
/// time between two reports of the other entries.
pub const JOIN_DELAY: Duration = Duration::from_secs(2);

/// Time for which the share of an entry without reports isn't handed out.
pub const SILENT_ENTRY_RETENTION: Duration = Duration::from_secs(10);

/// Lowest rate at which starts are handed out, in calls per second.
pub const MIN_RATE: f64 = 0.2;

/// Shortest time between two grants of more than one start at an upstream.
const GRANT_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a limit that no answer has confirmed is forgotten.
const LIMIT_RETENTION: Duration = Duration::from_mins(5);

/// Time for which the end of a limit is reported.
const LIFTED_RETENTION: Duration = Duration::from_secs(5);

/// Maximum number of limits, and of grants, in one report.
const MAX_REPORTED: usize = 64;

/// Starts that this entry may use.
#[derive(Clone, Copy, Debug)]
struct Starts {
    count: u32,
    expire: Instant,
}

/// An upstream that names a limit, or named one recently.
#[derive(Clone, Debug)]
struct Limited {
    rate: Option<CallRate>,
    /// When the answer that named it arrived.
    named_at: Instant,
    /// Calls that this entry could send there.
    demand: u32,
    /// Starts that this entry may use.
    starts: SmallVec<[Starts; 2]>,
    /// Starts that may be handed out, if this entry distributes them.
    tokens: f64,
    /// When `tokens` was last updated.
    accrued_at: Instant,
    /// Starts that each entry is owed by its share of the demand.
    credits: HashMap<EntryStart, f64>,
}

impl Limited {
    /// Returns the rate at which starts are handed out, in calls per second; `None` without
    /// a limit.
    fn rate(&self) -> Option<f64> {
        self.rate.map(|rate| rate.per_second().max(MIN_RATE))
    }
}

/// Another entry.
#[derive(Clone, Debug)]
struct Peer {
    start: EntryStart,
    reported_at: Instant,
    hands_out: bool,
    demand: HashMap<UpstreamStart, u32>,
    /// Number of the last grant that was read.
    last_grant: u32,
}

/// A changed limit of an upstream.
pub type ChangedLimit = (UpstreamStart, Option<CallRate>);

/// Starts that were handed out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandOut {
    /// Whether this entry got any.
    pub to_self: bool,
    /// Whether another entry got any.
    pub to_others: bool,
}

/// The limits of upstreams, and the starts that this entry hands out and may use.
#[derive(Clone, Debug)]
pub struct StartLimits {
    entry: InstanceId,
    start: EntryStart,
    /// From when this entry may distribute starts.
    joined_at: Instant,
    is_stopping: bool,
    limits: HashMap<UpstreamStart, Limited>,
    peers: HashMap<InstanceId, Peer>,
    last_grant: u32,
    /// Grants to other entries, the oldest first.
    grants: VecDeque<(StartGrant, Instant)>,
}

impl StartLimits {
    /// Creates the limits of an entry that has just started.
    #[must_use]
    pub fn new(now: Instant, entry: InstanceId, incarnation: u64) -> Self {
        Self {
            start: EntryStart::new(&entry, incarnation),
            entry,
            joined_at: now + JOIN_DELAY,
            is_stopping: false,
            limits: HashMap::new(),
            peers: HashMap::new(),
            last_grant: 0,
            grants: VecDeque::new(),
        }
    }

    /// Lets other entries distribute starts: this one is stopping.
    pub fn set_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Returns whether no upstream has named a limit recently.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns whether an upstream names a limit.
    #[must_use]
    pub fn is_limited(&self, upstream: UpstreamStart) -> bool {
        let limited = self.limits.get(&upstream);
        limited.is_some_and(|limited| limited.rate.is_some())
    }

    /// Returns whether a call may start at an upstream.
    #[must_use]
    pub fn may_start(&self, now: Instant, upstream: UpstreamStart) -> bool {
        !self.is_limited(upstream) || self.starts_left(now, upstream) > 0
    }

    /// Returns the starts that this entry may use at a limited upstream.
    #[must_use]
    pub fn starts_left(&self, now: Instant, upstream: UpstreamStart) -> u32 {
        let starts = self.limits.get(&upstream).map(|limited| &limited.starts);
        let valid = starts.into_iter().flatten().filter(|s| s.expire > now);
        valid.map(|starts| starts.count).sum()
    }

    /// Uses a start at an upstream, if it names a limit.
    pub fn take_start(&mut self, now: Instant, upstream: UpstreamStart) {
        let Some(limited) = self.limits.get_mut(&upstream) else {
            return;
        };
        limited
            .starts
            .retain(|starts| starts.expire > now && starts.count > 0);
        if let Some(starts) = limited.starts.first_mut() {
            starts.count -= 1;
        }
    }

    /// Returns the rate at which this entry is expected to get starts at an upstream, in
    /// calls per second; `None` if it names no limit.
    #[must_use]
    pub fn expected_rate(&self, now: Instant, upstream: UpstreamStart) -> Option<f64> {
        let limited = self.limits.get(&upstream)?;
        let own = f64::from(limited.demand.max(1));
        let peers = self
            .reporting(now)
            .filter_map(|peer| peer.demand.get(&upstream));
        let total = own + peers.map(|demand| f64::from(*demand)).sum::<f64>();
        Some(limited.rate()? * own / total)
    }

    /// Records what an answer of an upstream names; returns whether that is new.
    pub fn record_answer(
        &mut self,
        now: Instant,
        upstream: UpstreamStart,
        rate: Option<CallRate>,
    ) -> bool {
        self.observe(now, now, upstream, rate)
    }

    fn observe(
        &mut self,
        now: Instant,
        named_at: Instant,
        upstream: UpstreamStart,
        rate: Option<CallRate>,
    ) -> bool {
        if let Some(limited) = self.limits.get_mut(&upstream) {
            if named_at < limited.named_at {
                return false;
            }
            limited.named_at = named_at;
            return std::mem::replace(&mut limited.rate, rate) != rate;
        }
        if rate.is_some() {
            let limited = Limited {
                rate,
                named_at,
                demand: 0,
                starts: SmallVec::new(),
                tokens: 0.0,
                accrued_at: now,
                credits: HashMap::new(),
            };
            self.limits.insert(upstream, limited);
        }
        rate.is_some()
    }

    /// Sets the number of calls that this entry could send to an upstream.
    pub fn set_demand(&mut self, upstream: UpstreamStart, demand: u32) {
        if let Some(limited) = self.limits.get_mut(&upstream) {
            limited.demand = demand;
        }
    }

    /// Applies another entry's report, which is newer than its last one; returns the limits
    /// that it changes.
    pub fn apply_report(
        &mut self,
        now: Instant,
        report: &LoadReport,
    ) -> SmallVec<[ChangedLimit; 2]> {
        let start = EntryStart::new(&report.entry, report.incarnation);
        let limits = &report.limits;
        let known = self.peers.get(&report.entry);
        let known = known.filter(|peer| peer.start == start);
        let last_grant = known.map_or(0, |peer| peer.last_grant);
        let demand = limits.limits.iter().filter(|limit| limit.demand > 0);
        let peer = Peer {
            start,
            reported_at: now,
            hands_out: limits.hands_out,
            demand: demand.map(|limit| (limit.upstream, limit.demand)).collect(),
            last_grant: limits
                .grants
                .iter()
                .fold(last_grant, |last, grant| last.max(grant.number)),
        };
        self.peers.insert(report.entry.clone(), peer);
        let mut changed = SmallVec::new();
        for limit in &limits.limits {
            let age = Duration::from_millis(u64::from(limit.age_ms));
            if let Some(named_at) = now.checked_sub(age)
                && age < LIMIT_RETENTION
                && self.observe(now, named_at, limit.upstream, limit.rate)
            {
                changed.push((limit.upstream, limit.rate));
            }
        }
        for grant in &limits.grants {
            if grant.entry == self.start && grant.number > last_grant {
                let age = Duration::from_millis(u64::from(grant.age_ms));
                let lifetime = GRANT_LIFETIME.saturating_sub(age);
                self.add_starts(grant.upstream, grant.count, now + lifetime);
            }
        }
        changed
    }

    fn add_starts(&mut self, upstream: UpstreamStart, count: u32, expire: Instant) {
        if let Some(limited) = self.limits.get_mut(&upstream) {
            limited.starts.push(Starts { count, expire });
        }
    }

    /// Hands out the starts that have become due at the upstreams whose starts this entry
    /// distributes.
    pub fn hand_out(&mut self, now: Instant) -> HandOut {
        let mut handed_out = HandOut::default();
        let mut upstreams: Vec<UpstreamStart> = self.limits.keys().copied().collect();
        upstreams.sort_unstable();
        for upstream in upstreams {
            if self.is_distributor(now, upstream) {
                self.hand_out_at(now, upstream, &mut handed_out);
            }
        }
        handed_out
    }

    fn hand_out_at(&mut self, now: Instant, upstream: UpstreamStart, handed_out: &mut HandOut) {
        let share = self.share_of_entries(now);
        let reporting = self.reporting(now);
        let demand = reporting.filter_map(|peer| Some((peer.start, *peer.demand.get(&upstream)?)));
        let mut demand: Vec<(EntryStart, u32)> = demand.collect();
        let room = MAX_REPORTED.saturating_sub(self.grants.len());
        let Some(limited) = self.limits.get_mut(&upstream) else {
            return;
        };
        let Some(rate) = limited.rate() else {
            return;
        };
        let rate = rate * share;
        let batch = (rate * GRANT_INTERVAL.as_secs_f64()).max(1.0);
        let elapsed = now.saturating_duration_since(limited.accrued_at);
        limited.accrued_at = now;
        limited.tokens = (limited.tokens + rate * elapsed.as_secs_f64()).min(batch);
        if limited.demand > 0 {
            demand.push((self.start, limited.demand));
        }
        let mut starts = to_u32(limited.tokens);
        if demand.len() > room {
            starts = starts.min(u32::try_from(room).unwrap_or(u32::MAX));
        }
        if limited.tokens < batch || demand.is_empty() || starts == 0 {
            return;
        }
        demand.sort_unstable();
        limited.tokens -= f64::from(starts);
        for (entry, count) in split(&mut limited.credits, &demand, starts) {
            if entry == self.start {
                let expire = now + GRANT_LIFETIME;
                limited.starts.push(Starts { count, expire });
                handed_out.to_self = true;
                continue;
            }
            self.last_grant = self.last_grant.wrapping_add(1);
            let grant = StartGrant {
                entry,
                upstream,
                number: self.last_grant,
                count,
                age_ms: 0,
            };
            self.grants.push_back((grant, now));
            handed_out.to_others = true;
        }
    }

    /// Returns whether this entry distributes the starts at an upstream.
    fn is_distributor(&self, now: Instant, upstream: UpstreamStart) -> bool {
        let own_rank = distributor_rank(&self.entry, upstream);
        let others = self.peers.iter();
        let mut others = others.filter(|(_, peer)| peer.hands_out && is_reporting(now, peer));
        self.hands_out(now) && others.all(|(entry, _)| distributor_rank(entry, upstream) < own_rank)
    }

    /// Returns whether this entry may distribute starts.
    fn hands_out(&self, now: Instant) -> bool {
        now >= self.joined_at && !self.is_stopping
    }

    fn reporting(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| is_reporting(now, peer))
    }

    /// Returns the share of the entries with recent reports, this one included, of those that
    /// may distribute starts.
    fn share_of_entries(&self, now: Instant) -> f64 {
        let count = |peers: usize| f64::from(u32::try_from(peers + 1).unwrap_or(u32::MAX));
        let reporting = self.reporting(now).filter(|peer| peer.hands_out).count();
        let known = self.peers.values().filter(|peer| peer.hands_out).count();
        count(reporting) / count(known)
    }

    /// Forgets starts, grants, limits and entries that no longer count.
    pub fn remove_expired(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.limits.retain(|_, limited| {
            limited.starts.retain(|s| s.expire > now && s.count > 0);
            let retention = if limited.rate.is_some() {
                LIMIT_RETENTION
            } else {
                LIFTED_RETENTION
            };
            age(limited.named_at) < retention
        });
        self.peers
            .retain(|_, peer| age(peer.reported_at) < SILENT_ENTRY_RETENTION);
        self.grants.retain(|(_, at)| age(*at) < GRANT_LIFETIME);
    }

    /// Returns the report of this moment. `number` is that of the load report: of many
    /// limits, each report has others.
    #[must_use]
    pub fn report(&self, now: Instant, number: u64) -> LimitReport {
        let mut upstreams: Vec<_> = self.limits.iter().collect();
        upstreams.sort_unstable_by_key(|(upstream, _)| **upstream);
        if upstreams.len() > MAX_REPORTED {
            let skipped = number.wrapping_mul(MAX_REPORTED as u64) % upstreams.len() as u64;
            upstreams.rotate_left(usize::try_from(skipped).unwrap_or(0));
        }
        let limits = upstreams
            .into_iter()
            .map(|(upstream, limited)| ReportedLimit {
                upstream: *upstream,
                rate: limited.rate,
                age_ms: age_ms(now, limited.named_at),
                demand: limited.demand,
            });
        let grants = self.grants.iter().map(|(grant, at)| StartGrant {
            age_ms: age_ms(now, *at),
            ..*grant
        });
        LimitReport {
            hands_out: self.hands_out(now),
            limits: limits.take(MAX_REPORTED).collect(),
            grants: grants.take(MAX_REPORTED).collect(),
        }
    }
}

fn is_reporting(now: Instant, peer: &Peer) -> bool {
    now.saturating_duration_since(peer.reported_at) < REPORT_LIFETIME
}

/// Returns the rank of an entry as the distributor of an upstream's starts; the highest one
/// distributes them.
fn distributor_rank(entry: &InstanceId, upstream: UpstreamStart) -> (u32, &InstanceId) {
    let mut bytes = entry.as_str().as_bytes().to_vec();
    bytes.extend(upstream.to_bytes());
    (hash32(&bytes), entry)
}

/// Splits starts in proportion to the demand; what doesn't divide evenly is carried over in
/// `credits`.
fn split(
    credits: &mut HashMap<EntryStart, f64>,
    demand: &[(EntryStart, u32)],
    starts: u32,
) -> Vec<(EntryStart, u32)> {
    let total: f64 = demand.iter().map(|(_, count)| f64::from(*count)).sum();
    credits.retain(|entry, _| demand.iter().any(|(known, _)| known == entry));
    let mut granted: Vec<(EntryStart, u32)> = Vec::new();
    let mut left = starts;
    for (entry, count) in demand {
        let credit = credits.entry(*entry).or_default();
        *credit += f64::from(starts) * f64::from(*count) / total;
        let whole = to_u32(*credit).min(left);
        *credit -= f64::from(whole);
        left -= whole;
        granted.push((*entry, whole));
    }
    // Less than one start for each entry is left.
    granted.sort_by(|(a, _), (b, _)| credits[b].total_cmp(&credits[a]).then(a.cmp(b)));
    for (entry, count) in &mut granted {
        if left > 0 {
            *count += 1;
            left -= 1;
            *credits.entry(*entry).or_default() -= 1.0;
        }
    }
    granted.retain(|(_, count)| *count > 0);
    granted
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn to_u32(value: f64) -> u32 {
    value as u32
}

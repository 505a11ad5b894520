//! Chooses the upstream that runs a call.
//!
//! Load pattern: several entries send calls to the same upstreams at once. Some
//! upstreams are slow, or fail although they report that they are ready. Each entry
//! counts its own calls and those that the others report, and weighs an
//! upstream by its recent failures and answer times. All ranks of a model group
//! wait for the slowest one in each pass, so a slow rank gets no call that another
//! one can run: the passes then take longer by its share of the experts alone.

use crate::upstream::Upstream;
use crate::{UpstreamKey, Upstreams};
use egretstage_routing::Ewma;
use egretstage_wire::{ServiceName, ZoneName};
use std::time::Instant;

/// Penalty on the load of an upstream in another availability zone, in calls.
const OTHER_ZONE_PENALTY: f32 = 0.3;

/// Weight of a call in the order of home ranks that count as equally loaded.
const EQUAL_RANK_WEIGHT: f32 = 0.01;

/// Penalty on the load of an upstream whose recent answers all failed, in calls.
const FAILURE_PENALTY: f32 = 20.0;

/// Availability zone at which a call should run.
#[derive(Clone, Copy, Debug)]
pub enum ZonePreference<'a> {
    /// Its own zone, among upstreams that are about equally loaded.
    Slight(&'a ZoneName),
    /// Calls between zones have a cost.
    Chosen {
        /// Its own zone.
        home: &'a ZoneName,
        /// The zone at which an upstream without a group should run it.
        chosen: &'a ZoneName,
        /// Whether the ranks of a group may differ by a stream: longer passes of the group
        /// are still far below the longest pause.
        ranks_may_differ: bool,
    },
}

impl ZonePreference<'_> {
    /// Returns the load that counts for an upstream and the penalty for its distance, in
    /// calls.
    ///
    /// Of the ranks of a model group, the one with the most streams sets the time of each
    /// pass: a stream runs at home as long as that makes no rank carry more than an even
    /// share. An upstream without a group is worth its slots at home, as its calls wait
    /// when all of these are used.
    fn load(&self, upstream: &Upstream, level: GroupLevel) -> (f32, f32) {
        let calls = to_f32(upstream.calls());
        let zone = &upstream.listed.zone;
        match self {
            Self::Slight(home) if zone == *home => (calls, 0.0),
            Self::Slight(_) => (calls, OTHER_ZONE_PENALTY),
            Self::Chosen { home, .. } if level.even_share > 0 => {
                if zone != *home {
                    (calls, OTHER_ZONE_PENALTY)
                } else if upstream.calls() < level.even_share {
                    let lowest = to_f32(level.lowest);
                    (lowest + (calls - lowest) * EQUAL_RANK_WEIGHT, 0.0)
                } else {
                    (calls, 0.0)
                }
            }
            Self::Chosen { home, .. } if !upstream.group().is_empty() => {
                Self::Slight(home).load(upstream, level)
            }
            Self::Chosen { chosen, .. } if zone == *chosen => (calls, 0.0),
            Self::Chosen { .. } => (calls, to_f32(upstream.listed.slots)),
        }
    }
}

/// Streams of a model group's ranks; zero without a group.
#[derive(Clone, Copy, Debug, Default)]
struct GroupLevel {
    /// Streams of the least loaded rank.
    lowest: u32,
    /// Streams of the most loaded rank after one more stream, if they were even.
    even_share: u32,
}

impl GroupLevel {
    fn of<'a>(candidates: impl Iterator<Item = &'a Upstream>) -> Self {
        let in_group = candidates.filter(|upstream| !upstream.group().is_empty());
        let (mut ranks, mut streams, mut lowest) = (0, 0, u32::MAX);
        for rank in in_group {
            ranks += 1;
            streams += rank.calls();
            lowest = lowest.min(rank.calls());
        }
        if ranks == 0 {
            return Self::default();
        }
        let even_share = (streams + 1).div_ceil(ranks);
        Self { lowest, even_share }
    }
}

/// Chooses the ready upstream with the lowest effective load, if one has
/// capacity.
///
/// Upstreams in `avoid` are chosen only if no other has capacity; next come slow
/// ranks, the slowest last. `max_calls`
/// returns the number of calls at which an upstream has no capacity left.
/// `tie_break` differs from call to call, so that equal upstreams share calls.
#[must_use]
pub fn choose(
    upstreams: &Upstreams,
    now: Instant,
    service: &ServiceName,
    zone: ZonePreference,
    avoid: &[UpstreamKey],
    max_calls: impl Fn(&Upstream) -> u32,
    tie_break: u64,
) -> Option<UpstreamKey> {
    let typical_ms = typical_answer_ms(upstreams, now, service);
    let candidates = || {
        let ready = upstreams.ready(now, service);
        ready.filter(|(_, upstream)| upstream.calls() < max_calls(upstream))
    };
    let level = match zone {
        ZonePreference::Chosen {
            ranks_may_differ: true,
            ..
        } => GroupLevel::of(candidates().map(|(_, u)| u)),
        _ => GroupLevel::default(),
    };
    let score = |(key, upstream): (UpstreamKey, &Upstream)| {
        let is_avoided = avoid.contains(&key);
        let (calls, distance_penalty) = zone.load(upstream, level);
        let load = effective_load(upstream, calls, typical_ms) + distance_penalty;
        let preference = (is_avoided, upstream.slowdown);
        (preference, load, tie_break_hash(key, tie_break), key)
    };
    candidates()
        .map(score)
        .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))
        .map(|(_, _, _, key)| key)
}

/// Returns the load of an upstream in calls, with the penalties for slow answers and
/// failures.
fn effective_load(upstream: &Upstream, calls: f32, typical_ms: Option<f32>) -> f32 {
    let slowness_factor = typical_ms.map_or(1.0, |typical_ms| upstream.slowness(typical_ms));
    let failure_penalty = upstream.failures.get().unwrap_or(0.0) * FAILURE_PENALTY;
    (calls + 1.0) * slowness_factor + failure_penalty
}

/// Returns the median of the mean answer times of a service's ready upstreams.
pub(crate) fn typical_answer_ms(
    upstreams: &Upstreams,
    now: Instant,
    service: &ServiceName,
) -> Option<f32> {
    let times = upstreams.ready(now, service);
    let mut times: Vec<f32> = times.filter_map(|(_, u)| Ewma::get(&u.answer_ms)).collect();
    times.sort_by(f32::total_cmp);
    times.get(times.len() / 2).copied()
}

/// Returns a hash that orders equal upstreams differently for each call.
fn tie_break_hash(key: UpstreamKey, tie_break: u64) -> u64 {
    use slotmap::Key;
    let bits = key.data().as_ffi() ^ tie_break;
    rapidhash::v3::rapidhash_v3(&bits.to_le_bytes())
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f32(count: u32) -> f32 {
    count as f32
}

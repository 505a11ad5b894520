//! Which upstream runs a call.
//!
//! Load pattern: several entries send to the same upstreams at once, some of
//! which are slow, or fail while they call themselves healthy. Each entry
//! counts its own calls and those that the others report, and weighs an
//! upstream by its recent failures and answer times.

use crate::upstream::Upstream;
use crate::{UpstreamKey, Upstreams};
use egretstage_routing::Ewma;
use egretstage_wire::{ServiceName, ZoneName};
use std::time::Instant;

/// Calls that an upstream in another zone must have fewer to be preferred.
const OTHER_ZONE_CALLS: f32 = 0.3;

/// Calls that an upstream of which every answer fails counts for.
const FAILURE_CALLS: f32 = 20.0;

/// Most that a slow upstream's load is multiplied by.
const MAX_SLOWNESS: f32 = 8.0;

/// Chooses the upstream with the least expected wait, or none.
///
/// Upstreams in `avoid` are taken only if no other is ready. One that has
/// `most` calls is never taken.
#[must_use]
pub fn choose(
    upstreams: &Upstreams,
    now: Instant,
    service: &ServiceName,
    zone: &ZoneName,
    avoid: &[UpstreamKey],
    most: impl Fn(&Upstream) -> u32,
    tie_break: u64,
) -> Option<UpstreamKey> {
    let typical = typical_answer_ms(upstreams, now, service);
    let score = |(key, upstream): (UpstreamKey, &Upstream)| {
        let avoided = avoid.contains(&key);
        let load = load(upstream, zone, typical);
        (avoided, load, tie(key, tie_break), key)
    };
    upstreams
        .ready(now, service)
        .filter(|(_, upstream)| upstream.calls() < most(upstream))
        .map(score)
        .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))
        .map(|(_, _, _, key)| key)
}

/// Returns the calls that an upstream has in effect.
fn load(upstream: &Upstream, zone: &ZoneName, typical_ms: Option<f32>) -> f32 {
    let distance = if upstream.listed.zone == *zone {
        0.0
    } else {
        OTHER_ZONE_CALLS
    };
    let slowness = match (upstream.answer_ms.get(), typical_ms) {
        (Some(own), Some(typical)) if typical > 0.0 => (own / typical).clamp(1.0, MAX_SLOWNESS),
        _ => 1.0,
    };
    let failures = upstream.failures.get().unwrap_or(0.0) * FAILURE_CALLS;
    (to_f32(upstream.calls()) + 1.0) * slowness + distance + failures
}

/// Returns the median of the answer times of a service's upstreams.
fn typical_answer_ms(upstreams: &Upstreams, now: Instant, service: &ServiceName) -> Option<f32> {
    let times = upstreams.ready(now, service);
    let mut times: Vec<f32> = times.filter_map(|(_, u)| Ewma::get(&u.answer_ms)).collect();
    times.sort_by(f32::total_cmp);
    times.get(times.len() / 2).copied()
}

/// Orders equal upstreams differently for each call.
fn tie(key: UpstreamKey, tie_break: u64) -> u64 {
    use slotmap::Key;
    let bits = key.data().as_ffi() ^ tie_break;
    rapidhash::v3::rapidhash_v3(&bits.to_le_bytes())
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f32(count: u32) -> f32 {
    count as f32
}

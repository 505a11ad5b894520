//! Tests of the prefix cache of the engine's stand-in.

use egretstage_routing::PrefixFingerprint;
use egretstage_standins::engine_cache::{CacheChange, CacheEvent, PrefixCache, PrefixCacheOptions};
use std::time::{Duration, Instant};

#[test]
fn a_cache_is_bounded_and_its_events_are_late_with_gaps() {
    let start = Instant::now();
    let mut cache = PrefixCache::new(PrefixCacheOptions {
        blocks: 4,
        event_lag: Duration::from_secs(1),
        lose_every: 3,
    });
    let first = PrefixFingerprint::from_blocks(&[1, 2, 3]);
    assert_eq!(cache.prefill(start, &first), 0);
    assert_eq!(cache.prefill(start, &first), 192);
    assert_eq!(
        cache.prefill(start, &PrefixFingerprint::from_blocks(&[7, 8])),
        0
    );
    assert_eq!(
        cache.prefill(start, &first),
        128,
        "only the last block was evicted"
    );

    assert!(cache.events(start, 0).is_empty());
    let events = cache.events(start + Duration::from_secs(1), 0);
    let sequences: Vec<_> = events.iter().map(|event| event.sequence).collect();
    assert!(
        sequences.iter().all(|sequence| sequence % 3 != 0),
        "{sequences:?}"
    );
    let evicted = |event: &&CacheEvent| event.change == CacheChange::Evicted;
    assert!(events.iter().filter(evicted).count() > 0);
    let after = cache.events(start + Duration::from_secs(1), sequences[1]);
    assert_eq!(after, events[2..]);
}

//! Follows the topics of the platform's store, each on its own thread.

use crate::announcement::{Announcement, decode_entry_address};
use crate::dialect::RecordDecoder;
use crate::operator_records::OperatorRecords;
use crate::peers::PeerDirectory;
use crate::record_relay::{PeerQuery, QueryResult, RecordCache};
use compact_str::CompactString;
use egretstage_dispatch::{ConfigurationSource, DispatchEvent, ListedUpstream};
use egretstage_platform::{KeyedChange, KeyedFollower, KeyedStore, KeyedTopic, PlatformError};
use egretstage_wire::InstanceId;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// Share of the longest time until a configuration is active for which the
/// store may wait for a change. A connection that went silent is detected
/// within that wait.
const CONFIGURATION_WAIT_SHARE: f32 = 0.75;

/// Share of the longest time until a leaving upstream gets no calls that passes
/// between two reads of the upstreams. A read that waited for changes would
/// return at each upstream's heartbeat, and each call to the store has a cost.
const UPSTREAMS_PAUSE_SHARE: f32 = 0.3;

/// Age up to which a peer's copy of the upstreams counts as current, in pauses
/// between two reads: the second half covers a slow read.
const CURRENT_AGE_FACTOR: f32 = 1.5;

/// Time for which the store may wait for a change among the entries.
const ENTRIES_WAIT: Duration = Duration::from_secs(10);

/// Time between two reads of the entries: entries that start together are read
/// together.
const ENTRIES_PAUSE: Duration = Duration::from_millis(500);

/// Pause between two steps while the store can't be read, and the delay until
/// the next read after the first failure. Peers are queried in the meantime.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Number of times that the delay from a failed read to the next one doubles, up to a
/// second: each call to the store has a cost, and an outage lasts seconds anyway. The
/// delay begins with the read, so that one that hung is repeated at once.
const MAX_RETRY_DOUBLINGS: u32 = 2;

/// Reads one topic of the store and sends its changes to the entry's thread.
pub(crate) struct Feed {
    pub(crate) store: Box<dyn KeyedStore>,
    pub(crate) decoder: Arc<dyn RecordDecoder>,
    pub(crate) cache: RecordCache,
    pub(crate) peers: PeerDirectory,
    pub(crate) announcement: Arc<Announcement>,
    pub(crate) tx: UnboundedSender<DispatchEvent>,
    /// Counts the listed records that are passed over.
    pub(crate) passed_over: Counter<u64>,
}

/// Timing of the reads of a topic.
#[derive(Clone, Copy)]
struct PollTiming {
    /// Time for which the store may wait for a change.
    wait: Duration,
    /// Time between two reads.
    pause: Duration,
}

impl Feed {
    /// Follows a topic until the receiver of the messages is gone.
    ///
    /// While the store can't be read, it takes the changes from `peer_query`.
    fn follow(
        &self,
        topic: KeyedTopic,
        timing: PollTiming,
        mut peer_query: Option<PeerQuery>,
        mut to_events: impl FnMut(&KeyedFollower, Vec<KeyedChange>) -> Vec<DispatchEvent>,
    ) {
        let mut follower = KeyedFollower::new(topic, self.decoder.clone());
        let mut failures = 0;
        let mut next_read_at = Instant::now();
        let name: &'static str = topic.into();
        loop {
            let was_caught_up = follower.is_caught_up();
            let now = Instant::now();
            let passed_over = follower.passed_over();
            let read = (now >= next_read_at).then(|| follower.poll(now, &*self.store, timing.wait));
            let passed_over = follower.passed_over() - passed_over;
            if passed_over > 0 {
                self.passed_over
                    .add(passed_over, &[KeyValue::new("topic", name)]);
            }
            let (changes, pause) = match read {
                Some(Ok(changes)) => {
                    if failures > 0 {
                        log::info!(dependency = "store", topic = name, failures; "regained");
                        failures = 0;
                    }
                    self.cache.store_changes(topic, &changes);
                    if topic == KeyedTopic::Entries {
                        self.announcement.record_entries(&changes, follower.era());
                    }
                    if let Some(era) = follower.era() {
                        self.announcement.write_if_due(Instant::now(), era);
                    }
                    (
                        changes,
                        if was_caught_up {
                            // A poll applies only the deferred records that are due at its
                            // beginning.
                            timing.pause.min(follower.time_to_deferred(Instant::now()))
                        } else {
                            Duration::ZERO
                        },
                    )
                }
                not_read => {
                    if let Some(Err(e)) = not_read {
                        if failures == 0 {
                            log_store_lost(name, &e);
                        }
                        next_read_at = now + retry_delay(failures);
                        failures += 1;
                    }
                    let result = peer_query.as_mut().map(PeerQuery::query);
                    let adopted = match result {
                        Some(QueryResult::Newer(records)) => {
                            follower.adopt(Instant::now(), records)
                        }
                        Some(QueryResult::NoneNewer) => {
                            follower.mark_store_available();
                            Vec::new()
                        }
                        Some(QueryResult::NoCopy) | None => Vec::new(),
                    };
                    let until_read = next_read_at.saturating_duration_since(Instant::now());
                    (adopted, until_read.min(RETRY_DELAY))
                }
            };
            for event in to_events(&follower, changes) {
                if self.tx.send(event).is_err() {
                    return;
                }
            }
            if !pause.is_zero() {
                std::thread::sleep(pause);
            }
        }
    }

    /// Follows the configuration and the evacuated zones; `max_delay` is the longest time
    /// until a change is active.
    pub(crate) fn follow_configuration(&self, max_delay: Duration) {
        let timing = PollTiming {
            wait: max_delay.mul_f32(CONFIGURATION_WAIT_SHARE),
            pause: Duration::ZERO,
        };
        let mut records = OperatorRecords::default();
        let to_events = |follower: &KeyedFollower, changes| {
            let (zones, records) = records.apply(&*self.decoder, follower, changes);
            let zones = zones.map(|set| DispatchEvent::ZonesRead(Box::new(set)));
            let source = ConfigurationSource::Store;
            let configured = records.into_iter().filter_map(|(key, value)| {
                configured_event(&*self.decoder, &self.cache, key, value, source)
            });
            zones.into_iter().chain(configured).collect()
        };
        self.follow(KeyedTopic::Configuration, timing, None, to_events);
    }

    /// Follows the upstreams; `max_delay` is the longest time until a leaving
    /// upstream gets no calls.
    pub(crate) fn follow_upstreams(&self, max_delay: Duration) {
        let timing = PollTiming {
            wait: Duration::ZERO,
            pause: max_delay.mul_f32(UPSTREAMS_PAUSE_SHARE),
        };
        let current_age = timing.pause.mul_f32(CURRENT_AGE_FACTOR);
        let peer_query = PeerQuery::new(
            self.cache.clone(),
            self.peers.clone(),
            KeyedTopic::Upstreams,
            current_age,
        );
        let to_event = |change| match change {
            KeyedChange::Put { key, value, .. } => listed_event(&*self.decoder, &key, &value),
            KeyedChange::Removed(key) => unlisted_event(&key),
        };
        let to_events = |_: &KeyedFollower, changes: Vec<KeyedChange>| {
            changes.into_iter().filter_map(to_event).collect()
        };
        self.follow(KeyedTopic::Upstreams, timing, Some(peer_query), to_events);
    }

    /// Follows the other entries' addresses, and announces that of this entry.
    pub(crate) fn follow_entries(&self) {
        let timing = PollTiming {
            wait: ENTRIES_WAIT,
            pause: ENTRIES_PAUSE,
        };
        self.follow(KeyedTopic::Entries, timing, None, |_, changes| {
            for change in changes {
                if let KeyedChange::Put { key, value, .. } = change {
                    let name = InstanceId::try_from(key.as_str()).ok();
                    if let Some((name, address)) = name.zip(decode_entry_address(&value)) {
                        self.peers.insert(&name, address);
                    }
                }
            }
            Vec::new()
        });
    }
}

/// Returns the delay from the start of a failed read of the store, which `failures`
/// others preceded, to the next one.
fn retry_delay(failures: u32) -> Duration {
    RETRY_DELAY * (1 << failures.min(MAX_RETRY_DOUBLINGS))
}

fn log_store_lost(topic: &str, e: &PlatformError) {
    log::warn!(dependency = "store", topic = topic, error:display = e; "lost");
}

/// Decodes a configuration and caches it for the other entries; returns its event, or
/// `None` if the record is another one or can't be decoded.
pub(crate) fn configured_event(
    decoder: &dyn RecordDecoder,
    cache: &RecordCache,
    key: CompactString,
    value: Vec<u8>,
    source: ConfigurationSource,
) -> Option<DispatchEvent> {
    match decoder.decode_routing_table(&key, &value) {
        Ok(None) => {
            log::debug!(key = key.as_str(); "a record isn't the configuration");
            None
        }
        Ok(Some(table)) => {
            cache.store_configuration(table.version(), key, value);
            let table = Arc::new(table);
            Some(DispatchEvent::Configured { table, source })
        }
        Err(e) => {
            log::error!(key = key.as_str(), error:display = e; "a configuration can't be decoded");
            None
        }
    }
}

/// Returns the event for an upstream's record; a record that can't be decoded
/// removes the upstream.
fn listed_event(decoder: &dyn RecordDecoder, key: &str, value: &[u8]) -> Option<DispatchEvent> {
    match decoder.decode_upstream(key, value) {
        Ok(upstream) => Some(DispatchEvent::Listed(Box::<ListedUpstream>::new(upstream))),
        Err(e) => {
            log::debug!(key = key, error:display = e; "a record can't be decoded as an upstream");
            unlisted_event(key)
        }
    }
}

fn unlisted_event(key: &str) -> Option<DispatchEvent> {
    InstanceId::try_from(key).ok().map(DispatchEvent::Unlisted)
}

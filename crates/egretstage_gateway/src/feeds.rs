//! Reads the platform's store on threads of their own.

use crate::announcement::Announcement;
use crate::dialect::RecordDecoder;
use crate::record_relay::{PeerRecords, RecordBoard};
use compact_str::CompactString;
use egretstage_dispatch::{DispatchEvent, ListedUpstream};
use egretstage_platform::{
    KeyedChange, KeyedFollower, KeyedStore, KeyedTopic, PlatformError, StoreEra,
};
use egretstage_wire::InstanceId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// Share of the time until a configuration is in force for which the store may
/// wait for a change: a connection that went silent is noticed within it.
const CONFIGURATION_WAIT_SHARE: f32 = 0.75;

/// Share of the time until a leaving upstream gets no calls that passes between
/// two reads of the upstreams. A reader that waited would be woken by each of
/// their heartbeats, and each call has its price.
const UPSTREAMS_PAUSE_SHARE: f32 = 0.3;

/// How long the store may wait for a change among the entries.
const ENTRIES_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed call, in which peers are asked.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Times that the delay until the next call doubles, up to a second: each call
/// has its price, and a store that is away is missed for seconds anyway.
const MAX_RETRY_DOUBLINGS: u32 = 2;

/// What a feed says.
#[derive(Debug)]
pub(crate) enum FeedNews {
    /// Something for the dispatcher.
    Event(DispatchEvent),
    /// An entry is reached at an address.
    Entry(CompactString, SocketAddr),
}

/// A reader of the store, with where it passes on what it reads.
pub(crate) struct Feed {
    pub(crate) store: Box<dyn KeyedStore>,
    pub(crate) board: RecordBoard,
    pub(crate) announcement: Arc<Announcement>,
    pub(crate) tx: UnboundedSender<FeedNews>,
}

/// When a topic is read again.
#[derive(Clone, Copy)]
struct Pace {
    /// How long the store may wait for a change.
    wait: Duration,
    /// Time between two reads.
    pause: Duration,
}

impl Feed {
    /// Follows a topic for as long as somebody listens.
    fn follow(
        &self,
        topic: KeyedTopic,
        pace: Pace,
        mut news: impl FnMut(KeyedChange) -> Option<FeedNews>,
    ) {
        let mut follower = KeyedFollower::new(topic);
        let mut peers = PeerRecords::new(self.board.clone(), topic);
        let mut failures = 0;
        let mut call_at = Instant::now();
        let name: &'static str = topic.into();
        loop {
            let was_caught_up = follower.is_caught_up();
            let now = Instant::now();
            let read = (now >= call_at).then(|| follower.poll(now, &*self.store, pace.wait));
            let (changes, pause) = match read {
                Some(Ok(changes)) => {
                    if failures > 0 {
                        log::info!(dependency = "store", topic = name, failures; "regained");
                        failures = 0;
                    }
                    self.board.read(topic, &changes);
                    if let Some(era) = follower.era() {
                        self.announcement.keep(Instant::now(), &*self.store, era);
                    }
                    (
                        changes,
                        if was_caught_up {
                            pace.pause
                        } else {
                            Duration::ZERO
                        },
                    )
                }
                failed => {
                    if let Some(Err(e)) = failed {
                        if failures == 0 {
                            log_lost(name, &e);
                        }
                        call_at = Instant::now() + retry_delay(failures);
                        failures += 1;
                    }
                    let told = peers.ask();
                    if !told.is_empty() {
                        follower.served_elsewhere();
                    }
                    (told, RETRY_DELAY)
                }
            };
            for change in changes {
                if let Some(news) = news(change)
                    && self.tx.send(news).is_err()
                {
                    return;
                }
            }
            if !pause.is_zero() {
                std::thread::sleep(pause);
            }
        }
    }

    /// Follows the configuration.
    pub(crate) fn follow_configuration(&self, decoder: &dyn RecordDecoder, in_force: Duration) {
        let pace = Pace {
            wait: in_force.mul_f32(CONFIGURATION_WAIT_SHARE),
            pause: Duration::ZERO,
        };
        self.follow(KeyedTopic::Configuration, pace, |change| {
            let KeyedChange::Put { key, value, .. } = change else {
                return None;
            };
            match decoder.decode_routing_table(&value) {
                Ok(table) => Some(FeedNews::Event(DispatchEvent::Configured(Arc::new(table)))),
                Err(e) => {
                    log::error!(key = key.as_str(), error:display = e; "a configuration is not readable");
                    None
                }
            }
        });
    }

    /// Follows the upstreams.
    pub(crate) fn follow_upstreams(&self, decoder: &dyn RecordDecoder, leaving: Duration) {
        let pace = Pace {
            wait: Duration::ZERO,
            pause: leaving.mul_f32(UPSTREAMS_PAUSE_SHARE),
        };
        self.follow(KeyedTopic::Upstreams, pace, |change| {
            let event = match change {
                KeyedChange::Put { key, value, .. } => listed(decoder, &key, &value)?,
                KeyedChange::Removed(key) => unlisted(&key)?,
            };
            Some(FeedNews::Event(event))
        });
    }

    /// Tells the others where this entry is, then follows where they are.
    pub(crate) fn follow_entries(&self, own: &InstanceId) {
        self.announcement
            .keep(Instant::now(), &*self.store, StoreEra::default());
        let pace = Pace {
            wait: ENTRIES_WAIT,
            pause: Duration::ZERO,
        };
        self.follow(KeyedTopic::Entries, pace, |change| {
            let KeyedChange::Put { key, value, .. } = change else {
                return None;
            };
            let address = std::str::from_utf8(&value).ok()?.parse().ok()?;
            (key != own.as_str()).then_some(FeedNews::Entry(key, address))
        });
    }
}

/// Returns the time until the next call after a failure that so many preceded.
fn retry_delay(failures: u32) -> Duration {
    RETRY_DELAY * (1 << failures.min(MAX_RETRY_DOUBLINGS))
}

fn log_lost(topic: &str, e: &PlatformError) {
    log::warn!(dependency = "store", topic = topic, error:display = e; "lost");
}

/// Reads an upstream's record; one that can't be read names no upstream.
fn listed(decoder: &dyn RecordDecoder, key: &str, value: &[u8]) -> Option<DispatchEvent> {
    match decoder.decode_upstream(key, value) {
        Ok(upstream) => Some(DispatchEvent::Listed(Box::<ListedUpstream>::new(upstream))),
        Err(e) => {
            log::debug!(key = key, error:display = e; "a record names no upstream");
            unlisted(key)
        }
    }
}

fn unlisted(key: &str) -> Option<DispatchEvent> {
    InstanceId::try_from(key).ok().map(DispatchEvent::Unlisted)
}

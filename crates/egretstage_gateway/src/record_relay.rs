//! Exchanges the store's records with other entries while the store refuses some
//! of them.
//!
//! Load pattern: the store refuses single instances while it serves the
//! operator and the others, so a refused entry would miss changes. Each entry
//! caches the records that it has read and serves them to its peers with the
//! time since its last read; peers ignore upstreams that are too old. Of the
//! configuration it caches the highest version, wherever that was read, and peers
//! compare versions.

use crate::peers::PeerDirectory;
use egretstage_caller_io::{CallerBounds, CallerLimits, KeepingBody, OpenConnection};
use egretstage_platform::{HttpClient, KeyedChange, KeyedTopic};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Prefix of the paths under which records are served.
const RECORDS_PATH: &str = "/records/";

/// Age from which a peer's records are ignored: the store may refuse the peer
/// as well.
const MAX_RECORD_AGE: Duration = Duration::from_secs(2);

/// Longest wait for a peer's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest body of a peer's answer: thousands of upstreams.
const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;

/// Time between two queries of all peers, and pause after a failure to accept a
/// connection.
const QUERY_INTERVAL: Duration = Duration::from_millis(700);

/// Number of peers that are queried at the same time.
const QUERIED_TOGETHER: usize = 2;

/// Maximum number of times that peers are queried together before the store is read
/// again.
const MAX_BATCHES: usize = 2;

/// Largest head of a peer's request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Longest time for a peer's request and its answer: longer than a peer waits.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of connections of peers. Each may hold an answer.
const MAX_CONNECTIONS: usize = 64;

/// Part of the process's descriptors that connections of peers may take.
const DESCRIPTOR_SHARE: usize = 8;

/// Cache of the records that an entry has read.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordCache(Arc<Mutex<CacheState>>);

#[derive(Debug, Default)]
struct CacheState {
    topics: HashMap<KeyedTopic, TopicRecords>,
    /// Version of the cached configuration, 0 for none.
    configuration: u64,
}

#[derive(Clone, Debug, Default)]
struct TopicRecords {
    records: BTreeMap<compact_str::CompactString, Vec<u8>>,
    read_at: Option<Instant>,
}

/// Key and value of a record.
pub(crate) type Record = (compact_str::CompactString, Vec<u8>);

/// The records of a topic, as they are sent to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RecordSnapshot {
    /// Time since the entry last read the topic, in milliseconds.
    age_ms: u64,
    /// Pairs of key and value.
    records: Vec<(compact_str::CompactString, serde_bytes::ByteBuf)>,
}

impl RecordSnapshot {
    /// Returns the pairs of key and value.
    pub(crate) fn into_records(self) -> impl Iterator<Item = Record> {
        let records = self.records.into_iter();
        records.map(|(key, value)| (key, value.into_vec()))
    }
}

impl RecordCache {
    fn lock(&self) -> MutexGuard<'_, CacheState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies changes that were read from the store.
    ///
    /// Configurations are cached by [`Self::store_configuration`].
    pub(crate) fn store_changes(&self, topic: KeyedTopic, changes: &[KeyedChange]) {
        let mut cache = self.lock();
        let cached = cache.topics.entry(topic).or_default();
        cached.read_at = Some(Instant::now());
        if topic == KeyedTopic::Configuration {
            return;
        }
        for change in changes {
            match change {
                KeyedChange::Put { key, value, .. } => {
                    cached.records.insert(key.clone(), value.clone());
                }
                KeyedChange::Removed(key) => {
                    cached.records.remove(key);
                }
            }
        }
    }

    /// Caches a configuration if its version is the highest one.
    pub(crate) fn store_configuration(
        &self,
        version: u64,
        key: compact_str::CompactString,
        value: Vec<u8>,
    ) {
        let mut cache = self.lock();
        if version > cache.configuration {
            cache.configuration = version;
            let cached = cache.topics.entry(KeyedTopic::Configuration).or_default();
            cached.records = BTreeMap::from([(key, value)]);
        }
    }

    /// Returns the time since the store last answered a read of a topic.
    pub(crate) fn read_age(&self, topic: KeyedTopic) -> Option<Duration> {
        Some(self.read_at(topic)?.elapsed())
    }

    /// Returns when the store last answered a read of a topic.
    fn read_at(&self, topic: KeyedTopic) -> Option<Instant> {
        self.lock().topics.get(&topic)?.read_at
    }

    fn snapshot(&self, topic: KeyedTopic) -> Option<RecordSnapshot> {
        let cache = self.lock();
        let cached = cache.topics.get(&topic)?;
        // An entry that never read the topic has no age that counts as recent.
        let age = cached.read_at.map_or(Duration::MAX, |at| at.elapsed());
        let record = |(key, value): (&compact_str::CompactString, &Vec<u8>)| {
            (key.clone(), serde_bytes::ByteBuf::from(value.clone()))
        };
        Some(RecordSnapshot {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            records: cached.records.iter().map(record).collect(),
        })
    }
}

/// Result of a query of the peers.
#[derive(Debug)]
pub(crate) enum QueryResult {
    /// No peer was asked, or none has a recent copy.
    NoCopy,
    /// Peers have recent copies, but none is newer than this entry's.
    NoneNewer,
    /// The newest copy.
    Newer(Vec<Record>),
}

/// Queries peers for the records of one topic.
#[derive(Debug)]
pub(crate) struct PeerQuery {
    cache: RecordCache,
    peers: PeerDirectory,
    topic: KeyedTopic,
    /// Age up to which a copy counts as current: its holder still reads the store.
    current_age: Duration,
    queried_at: Option<Instant>,
    /// The peer to ask first: the last one that had a current copy, or the one after
    /// the last one asked.
    first: usize,
    /// When the newest copy that was adopted was read in the store.
    adopted_read_at: Option<Instant>,
}

impl PeerQuery {
    pub(crate) fn new(
        cache: RecordCache,
        peers: PeerDirectory,
        topic: KeyedTopic,
        current_age: Duration,
    ) -> Self {
        Self {
            cache,
            peers,
            topic,
            current_age,
            queried_at: None,
            first: 0,
            adopted_read_at: None,
        }
    }

    /// Asks the peers for a copy that is newer than this entry's own, at most once in
    /// [`QUERY_INTERVAL`].
    pub(crate) fn query(&mut self) -> QueryResult {
        if self
            .queried_at
            .is_some_and(|at| at.elapsed() < QUERY_INTERVAL)
        {
            return QueryResult::NoCopy;
        }
        self.queried_at = Some(Instant::now());
        let own = self.cache.read_at(self.topic).max(self.adopted_read_at);
        match self.newest_copy() {
            Some(copy) if own < Some(copy.read_at) => {
                self.adopted_read_at = Some(copy.read_at);
                QueryResult::Newer(copy.snapshot.into_records().collect())
            }
            Some(_) => QueryResult::NoneNewer,
            None => QueryResult::NoCopy,
        }
    }

    /// Asks some peers at a time until one has a current copy; returns the copy that
    /// was read last.
    fn newest_copy(&mut self) -> Option<PeerCopy> {
        let mut peers = self.peers.addresses();
        let count = peers.len();
        peers.rotate_left(self.first.checked_rem(count)?);
        let mut newest: Option<PeerCopy> = None;
        let mut asked = 0;
        for batch in peers.chunks(QUERIED_TOGETHER).take(MAX_BATCHES) {
            let copies = fetch_together(batch, self.topic);
            newest = copies.chain(newest).max_by_key(|copy| copy.read_at);
            if let Some(copy) = newest.take_if(|copy| copy.age() < self.current_age) {
                self.first = (self.first + asked + copy.position) % count;
                return Some(copy);
            }
            asked += batch.len();
        }
        self.first = (self.first + asked) % count;
        newest
    }
}

/// A peer's copy of the records of a topic.
#[derive(Debug)]
struct PeerCopy {
    /// The peer's position among those that were asked together.
    position: usize,
    /// When the peer read the records in the store, or a little earlier.
    read_at: Instant,
    snapshot: RecordSnapshot,
}

impl PeerCopy {
    fn age(&self) -> Duration {
        Duration::from_millis(self.snapshot.age_ms)
    }
}

/// Fetches the records of a topic from several peers at once; returns the copies that
/// aren't too old.
fn fetch_together(peers: &[SocketAddr], topic: KeyedTopic) -> impl Iterator<Item = PeerCopy> {
    let fetch = |position: usize, peer: SocketAddr| {
        let asked_at = Instant::now();
        let snapshot = fetch_records(peer, topic)?;
        let age = Duration::from_millis(snapshot.age_ms);
        let read_at = asked_at.checked_sub(age).filter(|_| age < MAX_RECORD_AGE)?;
        Some(PeerCopy {
            position,
            read_at,
            snapshot,
        })
    };
    let copies: Vec<Option<PeerCopy>> = std::thread::scope(|scope| {
        let peers = peers.iter().copied().enumerate();
        let fetches = peers.map(|(position, peer)| scope.spawn(move || fetch(position, peer)));
        let fetches: Vec<_> = fetches.collect();
        // A fetch that panicked counts as one without an answer.
        let copies = fetches.into_iter().map(|fetch| fetch.join().ok().flatten());
        copies.collect()
    });
    copies.into_iter().flatten()
}

/// Fetches the records of a topic that a peer has cached.
pub(crate) fn fetch_records(peer: SocketAddr, topic: KeyedTopic) -> Option<RecordSnapshot> {
    let topic: &'static str = topic.into();
    let client = HttpClient::new(&format!("http://{peer}"), ANSWER_TIMEOUT, MAX_ANSWER_BYTES);
    let body = match client.get(&format!("{RECORDS_PATH}{topic}"), Duration::ZERO) {
        Ok(body) => body,
        Err(e) => {
            log::debug!(peer:display, error:display = e; "a peer's records can't be fetched");
            return None;
        }
    };
    let snapshot: RecordSnapshot = match ciborium::from_reader(body.as_slice()) {
        Ok(snapshot) => snapshot,
        Err(e) => {
            log::warn!(peer:display, error:display = e; "a peer's records can't be decoded");
            return None;
        }
    };
    log::info!(peer:display, topic, age_ms = snapshot.age_ms; "received a peer's records");
    Some(snapshot)
}

/// Serves the cached records to peers for as long as the process runs, on a limited number of
/// connections: the one that has been silent longest gives way to one beyond it.
pub(crate) async fn serve(listener: TcpListener, cache: RecordCache, descriptors: usize) {
    let limits = CallerLimits {
        connections: MAX_CONNECTIONS.min(descriptors / DESCRIPTOR_SHARE),
        body_bytes: 0,
        answer_bytes: 0,
    };
    let bounds = CallerBounds::new("peers", limits, Box::new(|_| ()));
    loop {
        let tcp = match listener.accept().await {
            Ok((tcp, _)) => tcp,
            Err(e) => {
                log::warn!(error:display = e; "a peer's connection can't be accepted");
                tokio::time::sleep(QUERY_INTERVAL).await;
                continue;
            }
        };
        let Some(open) = bounds.open() else {
            continue;
        };
        tokio::task::spawn_local(serve_connection(tcp, open, cache.clone()));
        bounds.has_room().await;
    }
}

async fn serve_connection(tcp: TcpStream, open: OpenConnection, cache: RecordCache) {
    let open = &open;
    let service = service_fn(move |req| {
        // The body of a request isn't read.
        let kept = open.begin().map(|(kept, _)| kept);
        let resp = answer(&req, &cache);
        async move { Ok::<_, Infallible>(resp.map(|body| KeepingBody::new(body, kept))) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false)
        .serve_connection(TokioIo::new(tcp), service);
    tokio::select! {
        biased;
        () = open.given_up() => log::debug!("a peer's connection is closed for a new one"),
        end = tokio::time::timeout(CONNECTION_TIMEOUT, served) => match end {
            Ok(Ok(())) => {}
            Ok(Err(e)) => {
                log::debug!(error:display = e; "a peer's connection ended with an error");
            }
            Err(_) => log::debug!("a peer's connection is closed after its time"),
        },
    }
}

/// Returns the cached records of the topic that a request names.
fn answer(req: &Request<Incoming>, cache: &RecordCache) -> Response<Full<Bytes>> {
    let topics = [KeyedTopic::Configuration, KeyedTopic::Upstreams];
    let name = req.uri().path().strip_prefix(RECORDS_PATH);
    let topic = topics
        .into_iter()
        .find(|topic| name == Some(<&'static str>::from(topic)));
    let Some(snapshot) = topic.and_then(|topic| cache.snapshot(topic)) else {
        let mut resp = Response::new(Full::default());
        *resp.status_mut() = StatusCode::NOT_FOUND;
        return resp;
    };
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(&snapshot, &mut bytes) {
        log::error!(error:display = e; "the cached records can't be encoded for a peer");
    }
    Response::new(Full::new(Bytes::from(bytes)))
}

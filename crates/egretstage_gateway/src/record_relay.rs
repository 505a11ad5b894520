//! Records of the store from other entries, while the store refuses this one.
//!
//! The store may turn single instances away while it serves the operator and
//! the others. Each entry keeps the records that it has read and shows them to
//! its peers, with the time since it read the store; what is old is not taken.

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
use tokio::net::TcpListener;

/// Start of the paths that show records.
const PATH: &str = "/records/";

/// Age above which a peer's records are not taken: it may be cut off as well.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Longest wait for a peer's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two rounds of questions.
const ASK_INTERVAL: Duration = Duration::from_millis(700);

/// The records that an entry has read, and where its peers are.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordBoard(Arc<Mutex<Board>>);

#[derive(Debug, Default)]
struct Board {
    topics: HashMap<KeyedTopic, TopicRecords>,
    peers: BTreeMap<compact_str::CompactString, SocketAddr>,
}

#[derive(Clone, Debug, Default)]
struct TopicRecords {
    records: BTreeMap<compact_str::CompactString, Vec<u8>>,
    read_at: Option<Instant>,
}

/// The records of a topic, as they are shown to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ShownRecords {
    /// Time since the entry last read the store.
    age_ms: u64,
    /// Keys with their values.
    records: Vec<(compact_str::CompactString, serde_bytes::ByteBuf)>,
}

impl RecordBoard {
    fn lock(&self) -> MutexGuard<'_, Board> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over what was read from the store.
    pub(crate) fn read(&self, topic: KeyedTopic, changes: &[KeyedChange]) {
        let mut board = self.lock();
        let held = board.topics.entry(topic).or_default();
        held.read_at = Some(Instant::now());
        for change in changes {
            match change {
                KeyedChange::Put { key, value, .. } => {
                    held.records.insert(key.clone(), value.clone());
                }
                KeyedChange::Removed(key) => {
                    held.records.remove(key);
                }
            }
        }
    }

    /// Notes where a peer shows its records.
    pub(crate) fn add_peer(&self, name: compact_str::CompactString, address: SocketAddr) {
        self.lock().peers.insert(name, address);
    }

    fn shown(&self, topic: KeyedTopic) -> Option<ShownRecords> {
        let board = self.lock();
        let held = board.topics.get(&topic)?;
        let age = held.read_at?.elapsed();
        let record = |(key, value): (&compact_str::CompactString, &Vec<u8>)| {
            (key.clone(), serde_bytes::ByteBuf::from(value.clone()))
        };
        Some(ShownRecords {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            records: held.records.iter().map(record).collect(),
        })
    }

    /// Returns how a peer's records differ from those held.
    fn differences(&self, topic: KeyedTopic, shown: ShownRecords) -> Vec<KeyedChange> {
        let board = self.lock();
        let held = board.topics.get(&topic);
        let missing = held.into_iter().flat_map(|held| held.records.keys());
        let missing = missing.filter(|key| shown.records.iter().all(|(shown, _)| shown != *key));
        let mut changes: Vec<KeyedChange> = missing.cloned().map(KeyedChange::Removed).collect();
        changes.extend(
            shown
                .records
                .into_iter()
                .map(|(key, value)| KeyedChange::Put {
                    key,
                    value: value.into_vec(),
                    offset: 0,
                }),
        );
        changes
    }
}

/// Asks peers for the records of one topic.
#[derive(Debug)]
pub(crate) struct PeerRecords {
    board: RecordBoard,
    topic: KeyedTopic,
    asked_at: Option<Instant>,
}

impl PeerRecords {
    pub(crate) fn new(board: RecordBoard, topic: KeyedTopic) -> Self {
        Self {
            board,
            topic,
            asked_at: None,
        }
    }

    /// Returns what has changed according to the first peer with fresh records.
    ///
    /// Asks at most once in a while, however often it is called.
    pub(crate) fn ask(&mut self) -> Vec<KeyedChange> {
        if self.asked_at.is_some_and(|at| at.elapsed() < ASK_INTERVAL) {
            return Vec::new();
        }
        self.asked_at = Some(Instant::now());
        let peers: Vec<SocketAddr> = self.board.lock().peers.values().copied().collect();
        let fresh = peers.into_iter().find_map(|peer| self.ask_peer(peer));
        fresh.map_or_else(Vec::new, |shown| self.board.differences(self.topic, shown))
    }

    fn ask_peer(&self, peer: SocketAddr) -> Option<ShownRecords> {
        let topic: &'static str = self.topic.into();
        let client = HttpClient::new(&format!("http://{peer}"), ANSWER_TIMEOUT);
        let body = match client.get(&format!("{PATH}{topic}"), Duration::ZERO) {
            Ok(body) => body,
            Err(e) => {
                log::debug!(peer:display, error:display = e; "a peer shows no records");
                return None;
            }
        };
        let shown: ShownRecords = match ciborium::from_reader(body.as_slice()) {
            Ok(shown) => shown,
            Err(e) => {
                log::warn!(peer:display, error:display = e; "a peer's records are not readable");
                return None;
            }
        };
        let age_ms = shown.age_ms;
        let fresh = Duration::from_millis(age_ms) < MAX_AGE;
        log::info!(peer:display, topic, age_ms, fresh; "records of a peer");
        fresh.then_some(shown)
    }
}

/// Shows the board to peers for as long as the process runs.
pub(crate) async fn show(listener: TcpListener, board: RecordBoard) {
    loop {
        let tcp = match listener.accept().await {
            Ok((tcp, _)) => tcp,
            Err(e) => {
                log::warn!(error:display = e; "a peer's connection can't be accepted");
                tokio::time::sleep(ASK_INTERVAL).await;
                continue;
            }
        };
        let board = board.clone();
        let service = service_fn(move |req| {
            let resp = answer(&req, &board);
            async move { Ok::<_, Infallible>(resp) }
        });
        tokio::task::spawn_local(async move {
            let connection = hyper::server::conn::http1::Builder::new();
            let served = connection.serve_connection(TokioIo::new(tcp), service);
            if let Err(e) = served.await {
                log::debug!(error:display = e; "a peer's connection ended");
            }
        });
    }
}

fn answer(req: &Request<Incoming>, board: &RecordBoard) -> Response<Full<Bytes>> {
    let topics = [KeyedTopic::Configuration, KeyedTopic::Upstreams];
    let name = req.uri().path().strip_prefix(PATH);
    let topic = topics
        .into_iter()
        .find(|topic| name == Some(<&'static str>::from(topic)));
    let Some(shown) = topic.and_then(|topic| board.shown(topic)) else {
        let mut resp = Response::new(Full::default());
        *resp.status_mut() = StatusCode::NOT_FOUND;
        return resp;
    };
    let mut bytes = Vec::new();
    if let Err(e) = ciborium::into_writer(&shown, &mut bytes) {
        log::error!(error:display = e; "records can't be encoded");
    }
    Response::new(Full::new(Bytes::from(bytes)))
}

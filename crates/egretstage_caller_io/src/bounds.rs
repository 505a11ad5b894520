//! Keeps a process within its [`CallerAccount`]: closes connections and drops bodies that the
//! account gives up.

use crate::account::{
    AnswerGrowth, AnswerKey, BodyKey, CallerAccount, CallerLimits, ConnectionKey, Growth, Opening,
};
use hyper::body::{Body, Bytes};
use std::collections::HashMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use strum::IntoStaticStr;
use tokio::sync::Notify;

/// Shortest time between two log lines about callers that are turned away.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// Room that a body gets at first, in bytes.
const FIRST_BODY_BYTES: usize = 4 * 1024;

/// Room that an answer gets at first, in bytes.
const FIRST_ANSWER_BYTES: usize = 1024;

/// Why a caller is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TurnedAway {
    /// A body over the limit of one.
    BodyTooLarge,
    /// A body without progress.
    BodyTooSlow,
    /// A body for which there is no room.
    NoRoomForBody,
    /// A body that lost its room to another one.
    BodyGivenUp,
    /// An answer for which there is no room.
    NoRoomForAnswer,
    /// A connection whose caller doesn't read its answer.
    UnreadAnswer,
    /// A connection for which there is no room.
    NoRoomForConnection,
    /// A connection that lost its place to another one.
    ConnectionGivenUp,
}

/// Counts callers that are turned away.
pub type TurnedAwayCounter = Box<dyn Fn(TurnedAway) + Send + Sync>;

struct State {
    account: CallerAccount,
    connections: HashMap<ConnectionKey, Arc<Notify>>,
    bodies: HashMap<BodyKey, Arc<BodyBuffer>>,
    warned_at: Option<Instant>,
}

/// The buffer of a body, and the task that fills it.
///
/// The lock is taken while the account is locked, and never the other way round.
struct BodyBuffer {
    /// `None` once the body was given up, or is whole.
    bytes: Mutex<Option<Vec<u8>>>,
    given_up: Notify,
}

impl BodyBuffer {
    fn bytes(&self) -> MutexGuard<'_, Option<Vec<u8>>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Frees the bytes at once: the task may not be polled before their room is used.
    fn give_up(&self) {
        drop(self.bytes().take());
        self.given_up.notify_one();
    }
}

/// What callers make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Open connections.
    pub connections: usize,
    /// Bytes of the bodies of their requests.
    pub body_bytes: usize,
    /// Bytes of the answers that aren't written yet.
    pub answer_bytes: usize,
}

/// The account of a process, and the tasks that hold what it counts.
pub struct CallerBounds {
    /// Name of the listener in the log.
    listener: &'static str,
    state: Mutex<State>,
    /// Notifies the task that accepts connections that one is closed.
    closed: Notify,
    counter: TurnedAwayCounter,
}

impl CallerBounds {
    /// Creates an empty account for a listener, which has a name in the log.
    #[must_use]
    pub fn new(
        listener: &'static str,
        limits: CallerLimits,
        counter: TurnedAwayCounter,
    ) -> Arc<Self> {
        log::info!(
            listener, connections = limits.connections, body_bytes = limits.body_bytes,
            answer_bytes = limits.answer_bytes;
            "callers are bounded"
        );
        Arc::new(Self {
            listener,
            state: Mutex::new(State {
                account: CallerAccount::new(limits),
                connections: HashMap::new(),
                bodies: HashMap::new(),
                warned_at: None,
            }),
            closed: Notify::new(),
            counter,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what callers make the process hold at present.
    #[must_use]
    pub fn held(&self) -> Held {
        let state = self.state();
        Held {
            connections: state.account.connections(),
            body_bytes: state.account.body_bytes(),
            answer_bytes: state.account.answer_bytes(),
        }
    }

    /// Opens the account of a new connection; returns `None` if it must be closed.
    pub fn open(self: &Arc<Self>) -> Option<OpenConnection> {
        let mut state = self.state();
        let opening = state.account.open(Instant::now());
        let Opening::Accepted {
            connection: key,
            given_up,
        } = opening
        else {
            drop(state);
            self.record(TurnedAway::NoRoomForConnection);
            return None;
        };
        let task = Arc::new(Notify::new());
        state.connections.insert(key, Arc::clone(&task));
        let given_up = given_up.map(|key| state.connections.get(&key).cloned());
        drop(state);
        if let Some(given_up) = given_up {
            self.record(TurnedAway::ConnectionGivenUp);
            if let Some(task) = given_up {
                task.notify_one();
            }
        }
        let bounds = Arc::clone(self);
        Some(OpenConnection { bounds, key, task })
    }

    /// Waits until the connections that were given up are closed.
    pub async fn has_room(&self) {
        while self.state().account.has_too_many_connections() {
            self.closed.notified().await;
        }
    }

    /// Counts a caller that is turned away.
    pub fn record(&self, why: TurnedAway) {
        (self.counter)(why);
        let now = Instant::now();
        let mut state = self.state();
        let is_due = |at: Instant| now.saturating_duration_since(at) >= WARNING_INTERVAL;
        if state.warned_at.is_none_or(is_due) {
            state.warned_at = Some(now);
            let account = &state.account;
            let (connections, body_bytes) = (account.connections(), account.body_bytes());
            drop(state);
            let reason: &'static str = why.into();
            log::warn!(
                listener = self.listener, reason, connections, body_bytes;
                "a caller outside the limits is turned away"
            );
        }
    }
}

/// A caller's connection; dropping it closes its account.
pub struct OpenConnection {
    bounds: Arc<CallerBounds>,
    key: ConnectionKey,
    task: Arc<Notify>,
}

impl OpenConnection {
    /// Waits until the connection must be closed.
    pub async fn given_up(&self) {
        self.task.notified().await;
    }

    /// Begins a request and its body; returns `None` if the connection must be closed, without
    /// running the request.
    #[must_use]
    pub fn begin(&self) -> Option<(CallOnConnection, GrowingBody)> {
        let buffer = Arc::new(BodyBuffer {
            bytes: Mutex::new(Some(Vec::new())),
            given_up: Notify::new(),
        });
        let mut state = self.bounds.state();
        let key = state.account.begin(Instant::now(), self.key)?;
        state.bodies.insert(key, Arc::clone(&buffer));
        drop(state);
        let held = HeldBody {
            bounds: Arc::clone(&self.bounds),
            key,
        };
        let body = GrowingBody { buffer, held };
        let call = CallOnConnection {
            bounds: Arc::clone(&self.bounds),
            key: self.key,
        };
        Some((call, body))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.bounds.state();
        state.account.close(self.key);
        state.connections.remove(&self.key);
        drop(state);
        self.bounds.closed.notify_one();
    }
}

/// A request on a connection, until its answer has ended.
pub struct CallOnConnection {
    bounds: Arc<CallerBounds>,
    key: ConnectionKey,
}

impl Drop for CallOnConnection {
    fn drop(&mut self) {
        let mut state = self.bounds.state();
        state.account.end_call(Instant::now(), self.key);
    }
}

/// Room of a body; dropping it frees the room.
pub struct HeldBody {
    bounds: Arc<CallerBounds>,
    key: BodyKey,
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let mut state = self.bounds.state();
        state.account.release(self.key);
        state.bodies.remove(&self.key);
    }
}

impl HeldBody {
    /// Begins the answer to the request.
    #[must_use]
    pub fn begin_answer(&self) -> GrowingAnswer {
        let key = self.bounds.state().account.begin_answer(self.key);
        let room = AnswerRoom {
            bounds: Arc::clone(&self.bounds),
            key,
        };
        let bytes = Vec::new();
        GrowingAnswer { bytes, room }
    }
}

/// Room of an answer; dropping it frees the room.
struct AnswerRoom {
    bounds: Arc<CallerBounds>,
    key: Option<AnswerKey>,
}

impl Drop for AnswerRoom {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.bounds.state().account.release_answer(key);
        }
    }
}

/// An answer that is being read into one buffer, and keeps its room until it is written.
pub struct GrowingAnswer {
    bytes: Vec<u8>,
    room: AnswerRoom,
}

impl GrowingAnswer {
    /// Returns the number of bytes that have been read.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing has been read.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Copies bytes to the end of the answer. Returns whether there is room, within
    /// `max_bytes`.
    pub fn extend(&mut self, bytes: &[u8], max_bytes: usize) -> bool {
        let needed = self.bytes.len() + bytes.len();
        if needed > max_bytes {
            return false;
        }
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let larger = (2 * capacity).max(FIRST_ANSWER_BYTES).min(max_bytes);
            let more = larger.max(needed) - capacity;
            if !self.room.grow(more) {
                return false;
            }
            self.bytes.reserve_exact(capacity + more - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Returns the answer, which keeps its room until its last copy is dropped.
    #[must_use]
    pub fn complete(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for GrowingAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AnswerRoom {
    fn grow(&self, more: usize) -> bool {
        let mut state = self.bounds.state();
        let growth = self.key.map_or(AnswerGrowth::Refused, |key| {
            state.account.grow_answer(Instant::now(), key, more)
        });
        let AnswerGrowth::Granted { given_up } = growth else {
            drop(state);
            self.bounds.record(TurnedAway::NoRoomForAnswer);
            return false;
        };
        for key in &given_up {
            if let Some(task) = state.connections.get(key) {
                task.notify_one();
            }
        }
        drop(state);
        for _ in given_up {
            self.bounds.record(TurnedAway::UnreadAnswer);
        }
        true
    }
}

/// A body that is being read into one buffer.
pub struct GrowingBody {
    buffer: Arc<BodyBuffer>,
    held: HeldBody,
}

impl GrowingBody {
    /// Returns the number of bytes that are held, none once the body was given up.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buffer.bytes().as_ref().map_or(0, Vec::len)
    }

    /// Returns whether no bytes are held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until the body loses its room to another one.
    pub async fn given_up(&self) {
        self.buffer.given_up.notified().await;
    }

    /// Returns the time until which the body must go on.
    #[must_use]
    pub fn expires(&self) -> Instant {
        let state = self.held.bounds.state();
        state.account.expires(Instant::now(), self.held.key)
    }

    /// Copies bytes to the end of the body, which has at most `max_bytes`. Returns whether
    /// there is room.
    pub fn extend(&mut self, bytes: &[u8], max_bytes: usize) -> bool {
        let now = Instant::now();
        let bounds = &self.held.bounds;
        let mut state = bounds.state();
        let size = self
            .buffer
            .bytes()
            .as_ref()
            .map(|b| (b.len(), b.capacity()));
        let Some((len, capacity)) = size else {
            return false;
        };
        let needed = len + bytes.len();
        let mut given_up = Vec::new();
        let mut more = 0;
        if needed > capacity {
            let larger = (2 * capacity).max(FIRST_BODY_BYTES).min(max_bytes);
            more = larger.max(needed) - capacity;
            match state.account.grow(now, self.held.key, more) {
                Growth::Granted { given_up: bodies } => given_up = bodies,
                Growth::Refused => return false,
            }
        }
        state.account.receive(now, self.held.key, bytes.len());
        for key in &given_up {
            if let Some(body) = state.bodies.get(key) {
                body.give_up();
            }
        }
        drop(state);
        for _ in given_up {
            bounds.record(TurnedAway::BodyGivenUp);
        }
        // Another thread may have given this body up meanwhile.
        let mut buffer = self.buffer.bytes();
        let Some(buffer) = buffer.as_mut() else {
            return false;
        };
        buffer.reserve_exact(capacity + more - len);
        buffer.extend_from_slice(bytes);
        true
    }

    /// Returns the whole body and its room; `None` if it was given up before.
    #[must_use]
    pub fn complete(self) -> Option<(Vec<u8>, HeldBody)> {
        let mut state = self.held.bounds.state();
        let mut bytes = self.buffer.bytes().take()?;
        let unused = bytes.capacity() - bytes.len();
        bytes.shrink_to_fit();
        let is_held = state.account.complete(self.held.key, unused);
        drop(state);
        is_held.then_some((bytes, self.held))
    }
}

/// The body of an answer that keeps a value until it has ended.
pub struct KeepingBody<B, T> {
    body: B,
    _kept: T,
}

impl<B, T> KeepingBody<B, T> {
    /// Keeps a value for as long as a body.
    pub fn new(body: B, kept: T) -> Self {
        Self { body, _kept: kept }
    }
}

impl<B: Body<Data = Bytes> + Unpin, T: Unpin> Body for KeepingBody<B, T> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

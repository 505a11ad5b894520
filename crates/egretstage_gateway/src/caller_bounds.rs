//! Keeps an entry within its [`CallerAccount`]: closes connections and drops bodies that the
//! account gives up.

use crate::caller_account::{BodyKey, CallerAccount, CallerLimits, ConnectionKey, Growth, Opening};
use crate::metrics::{CallerGauges, CallerMetrics};
use hyper::body::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;
use tokio::sync::Notify;

/// Shortest time between two log lines about callers that are turned away.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// Room that a body of unknown length gets at first, in bytes.
const FIRST_BODY_BYTES: usize = 4 * 1024;

/// Why a caller is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum TurnedAway {
    /// A body over the limit of one.
    BodyTooLarge,
    /// A body without progress.
    BodyTooSlow,
    /// A body for which there is no room.
    NoRoomForBody,
    /// A body that lost its room to another one.
    BodyGivenUp,
    /// A connection for which there is no room.
    NoRoomForConnection,
    /// A connection that lost its place to another one.
    ConnectionGivenUp,
}

/// The account of an entry, and the tasks that hold what it counts.
pub(crate) struct CallerBounds {
    account: RefCell<CallerAccount>,
    connections: RefCell<HashMap<ConnectionKey, Rc<Notify>>>,
    bodies: RefCell<HashMap<BodyKey, Rc<Notify>>>,
    /// Notifies the task that accepts connections that one is closed.
    closed: Notify,
    gauges: Arc<CallerGauges>,
    metrics: CallerMetrics,
    warned_at: Cell<Option<Instant>>,
}

impl CallerBounds {
    pub(crate) fn new(limits: CallerLimits, metrics: CallerMetrics) -> Rc<Self> {
        log::info!(
            connections = limits.connections, body_bytes = limits.body_bytes;
            "callers are bounded"
        );
        Rc::new(Self {
            account: RefCell::new(CallerAccount::new(limits)),
            connections: RefCell::default(),
            bodies: RefCell::default(),
            closed: Notify::new(),
            gauges: metrics.gauges(),
            metrics,
            warned_at: Cell::new(None),
        })
    }

    /// Opens the account of a new connection; returns `None` if it must be closed.
    pub(crate) fn open(self: &Rc<Self>) -> Option<OpenConnection> {
        let opening = self.account.borrow_mut().open(Instant::now());
        let Opening::Accepted {
            connection: key,
            given_up,
        } = opening
        else {
            self.record(TurnedAway::NoRoomForConnection);
            return None;
        };
        if let Some(given_up) = given_up {
            self.record(TurnedAway::ConnectionGivenUp);
            if let Some(task) = self.connections.borrow().get(&given_up) {
                task.notify_one();
            }
        }
        let task = Rc::new(Notify::new());
        self.connections.borrow_mut().insert(key, Rc::clone(&task));
        self.update_gauges();
        Some(OpenConnection {
            bounds: Rc::clone(self),
            key,
            task,
        })
    }

    /// Waits until the connections that were given up are closed.
    pub(crate) async fn has_room(&self) {
        while self.account.borrow().has_too_many_connections() {
            self.closed.notified().await;
        }
    }

    /// Counts a caller that is turned away.
    pub(crate) fn record(&self, why: TurnedAway) {
        self.metrics.count(why);
        let now = Instant::now();
        let is_due = |at: Instant| now.saturating_duration_since(at) >= WARNING_INTERVAL;
        if self.warned_at.get().is_none_or(is_due) {
            self.warned_at.set(Some(now));
            let reason: &'static str = why.into();
            let account = self.account.borrow();
            log::warn!(
                reason, connections = account.connections(), body_bytes = account.body_bytes();
                "a caller outside the limits is turned away"
            );
        }
    }

    fn update_gauges(&self) {
        let account = self.account.borrow();
        self.gauges.set(account.connections(), account.body_bytes());
    }
}

/// A caller's connection; dropping it closes its account.
pub(crate) struct OpenConnection {
    bounds: Rc<CallerBounds>,
    key: ConnectionKey,
    task: Rc<Notify>,
}

impl OpenConnection {
    /// Waits until the connection must be closed.
    pub(crate) async fn given_up(&self) {
        self.task.notified().await;
    }

    /// Begins a request and its body.
    pub(crate) fn begin(&self) -> (CallOnConnection, GrowingBody) {
        let mut account = self.bounds.account.borrow_mut();
        let key = account.begin(Instant::now(), self.key);
        let task = Rc::new(Notify::new());
        let mut bodies = self.bounds.bodies.borrow_mut();
        bodies.insert(key, Rc::clone(&task));
        let held = HeldBody {
            bounds: Rc::clone(&self.bounds),
            key,
        };
        let body = GrowingBody {
            bytes: Vec::new(),
            task,
            held,
        };
        let call = CallOnConnection {
            bounds: Rc::clone(&self.bounds),
            key: self.key,
        };
        (call, body)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.bounds.account.borrow_mut().close(self.key);
        self.bounds.connections.borrow_mut().remove(&self.key);
        self.bounds.closed.notify_one();
        self.bounds.update_gauges();
    }
}

/// A request on a connection, until its answer has ended.
pub(crate) struct CallOnConnection {
    bounds: Rc<CallerBounds>,
    key: ConnectionKey,
}

impl Drop for CallOnConnection {
    fn drop(&mut self) {
        let mut account = self.bounds.account.borrow_mut();
        account.end_call(Instant::now(), self.key);
    }
}

/// Room of a body; dropping it frees the room.
pub(crate) struct HeldBody {
    bounds: Rc<CallerBounds>,
    key: BodyKey,
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.bounds.account.borrow_mut().release(self.key);
        self.bounds.bodies.borrow_mut().remove(&self.key);
        self.bounds.update_gauges();
    }
}

/// A body that is being read.
pub(crate) struct GrowingBody {
    bytes: Vec<u8>,
    task: Rc<Notify>,
    held: HeldBody,
}

impl GrowingBody {
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Waits until the body loses its room to another one.
    pub(crate) async fn given_up(&self) {
        self.task.notified().await;
    }

    /// Returns the time until which the body must go on.
    pub(crate) fn expires(&self) -> Instant {
        let account = self.held.bounds.account.borrow();
        account.expires(Instant::now(), self.held.key)
    }

    /// Copies bytes to the end of the body, which has at most `max_bytes`. Returns whether
    /// there is room.
    pub(crate) fn extend(&mut self, bytes: &[u8], max_bytes: usize) -> bool {
        let now = Instant::now();
        let bounds = &self.held.bounds;
        let needed = self.bytes.len() + bytes.len();
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let larger = (2 * capacity).max(FIRST_BODY_BYTES).min(max_bytes);
            let more = larger.max(needed) - capacity;
            let growth = bounds.account.borrow_mut().grow(now, self.held.key, more);
            let Growth::Granted { given_up } = growth else {
                return false;
            };
            for key in given_up {
                bounds.record(TurnedAway::BodyGivenUp);
                if let Some(task) = bounds.bodies.borrow().get(&key) {
                    task.notify_one();
                }
            }
            self.bytes.reserve_exact(capacity + more - self.bytes.len());
            bounds.update_gauges();
        }
        self.bytes.extend_from_slice(bytes);
        let mut account = bounds.account.borrow_mut();
        account.receive(now, self.held.key, bytes.len());
        true
    }

    /// Returns the whole body and its room; `None` if it was given up before.
    pub(crate) fn complete(mut self) -> Option<(Bytes, HeldBody)> {
        let unused = self.bytes.capacity() - self.bytes.len();
        self.bytes.shrink_to_fit();
        let mut account = self.held.bounds.account.borrow_mut();
        let is_held = account.complete(self.held.key, unused);
        drop(account);
        is_held.then_some((Bytes::from(self.bytes), self.held))
    }
}

//! The account of what callers make an entry hold: connections and bytes of bodies.
//!
//! It decides which caller is turned away when a bound is reached: the one that has made the
//! least progress gives up its place. Each unfinished body has a time until which it must go
//! on, which moves on with the bytes that arrive. Callers whose body is whole are never given
//! up, because their requests may run. A quarter of the room for bodies is kept for small ones.
//!
//! Load pattern: callers outside the limits send many large bodies at once, most of which stop
//! just short of their end, while ordinary callers send small bodies on kept connections.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Size up to which a body may use the room that is kept for small ones, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Part of the room for bodies that is kept for small ones.
const SMALL_BODIES_SHARE: usize = 4;

/// Time that a body without progress is waited for.
pub const BODY_PATIENCE: Duration = Duration::from_secs(10);

/// Rate above which a body is waited for without an end, in bytes a second.
const MIN_BODY_RATE: u64 = 64 * 1024;

/// Time without progress after which a caller may lose its place to another one.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Memory that a connection may take besides the bodies that it carries, in bytes: what is
/// read ahead, the head, and the buffers of the HTTP server.
const CONNECTION_BYTES: usize = 64 * 1024;

/// Part of a machine's memory that all bodies may take, and that all connections may take.
const MEMORY_SHARE: usize = 3;

/// Part of a machine's memory that the answers to callers may take until they are written.
const ANSWER_MEMORY_SHARE: usize = 6;

/// Part of a process's descriptors that callers' connections may take. The others are for
/// upstreams, peers, the store and files.
const DESCRIPTOR_SHARE: usize = 2;

/// Returns the longest time for which a body of a size is waited for.
#[must_use]
pub fn longest_body_time(bytes: usize) -> Duration {
    BODY_PATIENCE + time_earned_by(bytes)
}

/// Returns the time by which bytes that arrive move on the end of a body's patience.
fn time_earned_by(bytes: usize) -> Duration {
    Duration::from_nanos((bytes as u64).saturating_mul(1_000_000_000) / MIN_BODY_RATE)
}

/// Bounds of what callers make an entry hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum size of all bodies together, in bytes.
    pub body_bytes: usize,
    /// Maximum size of all answers that are held whole until they are written, in bytes.
    pub answer_bytes: usize,
}

impl CallerLimits {
    /// Derives the bounds from the memory of a machine and the descriptors of a process.
    #[must_use]
    pub fn for_machine(memory_bytes: usize, descriptors: usize) -> Self {
        let share = memory_bytes / MEMORY_SHARE;
        let by_memory = share / CONNECTION_BYTES;
        Self {
            connections: by_memory.min(descriptors / DESCRIPTOR_SHARE).max(1),
            body_bytes: share,
            answer_bytes: memory_bytes / ANSWER_MEMORY_SHARE,
        }
    }
}

/// Names a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(u64);

/// Names the body of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyKey(u64);

/// Names an answer that is held whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnswerKey(u64);

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The connection is accepted; `given_up` loses its place and must be closed.
    Accepted {
        /// The new connection.
        connection: ConnectionKey,
        /// The connection that is to be closed.
        given_up: Option<ConnectionKey>,
    },
    /// The connection is to be closed, because requests run on all others.
    Refused,
}

/// Decision on more room for a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// The body may grow; the bodies in `given_up` lose their room and must be dropped.
    Granted {
        /// Bodies that are to be dropped.
        given_up: Vec<BodyKey>,
    },
    /// There is no room. The body must be dropped.
    Refused,
}

/// Decision on more room for an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerGrowth {
    /// The answer may grow; the connections in `given_up` must be closed, because their callers
    /// don't read.
    Granted {
        /// Connections that are to be closed.
        given_up: Vec<ConnectionKey>,
    },
    /// There is no room. The answer must be dropped.
    Refused,
}

#[derive(Debug)]
struct Connection {
    /// When it was opened, or the last request on it ended.
    quiet_since: Instant,
    /// Whether a request on it has ended.
    has_served: bool,
    /// Number of requests that haven't ended.
    calls: usize,
    /// The body that is being read.
    unfinished: Option<BodyKey>,
    /// Whether it is to be closed.
    is_given_up: bool,
}

#[derive(Debug)]
struct Body {
    connection: ConnectionKey,
    bytes: usize,
    is_whole: bool,
    /// Time until which the body must go on.
    expires: Instant,
}

#[derive(Debug)]
struct Answer {
    connection: ConnectionKey,
    bytes: usize,
}

/// How readily a connection is closed for a new one: the smallest first, and the one that has
/// waited longest among equals.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CloseRank {
    Stalled,
    SilentSinceOpened,
    Idle,
    Fresh,
}

/// The account of what callers make an entry hold.
#[derive(Debug)]
pub struct CallerAccount {
    limits: CallerLimits,
    connections: HashMap<ConnectionKey, Connection>,
    bodies: HashMap<BodyKey, Body>,
    body_bytes: usize,
    answers: HashMap<AnswerKey, Answer>,
    answer_bytes: usize,
    next_key: u64,
}

impl CallerAccount {
    /// Creates an empty account.
    #[must_use]
    pub fn new(limits: CallerLimits) -> Self {
        Self {
            limits,
            connections: HashMap::new(),
            bodies: HashMap::new(),
            body_bytes: 0,
            answers: HashMap::new(),
            answer_bytes: 0,
            next_key: 0,
        }
    }

    /// Returns the number of open connections, with those that are to be closed.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there are more connections than allowed, until those that were given up
    /// are closed.
    #[must_use]
    pub fn has_too_many_connections(&self) -> bool {
        self.connections.len() > self.limits.connections
    }

    /// Returns the size of all bodies, in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns the size of all answers, in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Starts the answer to a request whose body is held; returns `None` if the body isn't.
    pub fn begin_answer(&mut self, body: BodyKey) -> Option<AnswerKey> {
        let connection = self.bodies.get(&body)?.connection;
        let key = AnswerKey(self.new_key());
        let answer = Answer {
            connection,
            bytes: 0,
        };
        self.answers.insert(key, answer);
        Some(key)
    }

    /// Decides on `more` bytes of room for an answer.
    pub fn grow_answer(&mut self, now: Instant, answer: AnswerKey, more: usize) -> AnswerGrowth {
        let Some(bytes) = self.answers.get(&answer).map(|answer| answer.bytes + more) else {
            return AnswerGrowth::Refused;
        };
        let room = room_for(self.limits.answer_bytes, bytes);
        let excess = (self.answer_bytes + more).saturating_sub(room);
        let Some(given_up) = self.unread_answers_to_give_up(now, excess) else {
            return AnswerGrowth::Refused;
        };
        for key in &given_up {
            self.give_up_answers(*key);
        }
        if let Some(answer) = self.answers.get_mut(&answer) {
            answer.bytes = bytes;
            self.answer_bytes += more;
        }
        AnswerGrowth::Granted { given_up }
    }

    /// Returns the connections whose callers haven't read their answers for longest and hold
    /// `excess` bytes of them; `None` if there aren't enough.
    fn unread_answers_to_give_up(&self, now: Instant, excess: usize) -> Option<Vec<ConnectionKey>> {
        if excess == 0 {
            return Some(Vec::new());
        }
        let mut unread: HashMap<ConnectionKey, usize> = HashMap::new();
        for answer in self.answers.values() {
            *unread.entry(answer.connection).or_default() += answer.bytes;
        }
        let unread = unread.into_iter().filter_map(|(key, bytes)| {
            let connection = self.connections.get(&key)?;
            let quiet = now.saturating_duration_since(connection.quiet_since);
            let is_unread =
                connection.calls == 0 && !connection.is_given_up && quiet >= STALLED_AFTER;
            is_unread.then_some((connection.quiet_since, key, bytes))
        });
        let mut unread: Vec<_> = unread.collect();
        unread.sort_unstable();
        let mut freed = 0;
        let mut given_up = Vec::new();
        for (_, key, bytes) in unread {
            if freed >= excess {
                break;
            }
            freed += bytes;
            given_up.push(key);
        }
        (freed >= excess).then_some(given_up)
    }

    fn give_up_answers(&mut self, connection: ConnectionKey) {
        let answers = self.answers.iter();
        let of_connection = answers.filter(|(_, answer)| answer.connection == connection);
        let keys: Vec<AnswerKey> = of_connection.map(|(key, _)| *key).collect();
        for key in keys {
            self.release_answer(key);
        }
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.is_given_up = true;
        }
    }

    /// Frees the room of an answer; does nothing for one that was given up before.
    pub fn release_answer(&mut self, answer: AnswerKey) {
        if let Some(removed) = self.answers.remove(&answer) {
            self.answer_bytes -= removed.bytes;
        }
    }

    /// Decides on a new connection.
    pub fn open(&mut self, now: Instant) -> Opening {
        let is_full = self.connections.len() >= self.limits.connections;
        let given_up = is_full.then(|| self.first_to_close(now)).flatten();
        if is_full && given_up.is_none() {
            return Opening::Refused;
        }
        let connection = ConnectionKey(self.new_key());
        let opened = Connection {
            quiet_since: now,
            has_served: false,
            calls: 0,
            unfinished: None,
            is_given_up: false,
        };
        self.connections.insert(connection, opened);
        let closing = given_up.and_then(|key| self.connections.get_mut(&key));
        if let Some(closing) = closing {
            closing.is_given_up = true;
        }
        Opening::Accepted {
            connection,
            given_up,
        }
    }

    /// Returns the connection that is closed first when there is no room for a new one.
    fn first_to_close(&self, now: Instant) -> Option<ConnectionKey> {
        let ranked = self.connections.iter().filter_map(|(key, connection)| {
            let (rank, since) = self.close_rank(connection, now)?;
            Some((rank, since, *key))
        });
        ranked.min().map(|(_, _, key)| key)
    }

    /// Returns how readily a connection is closed, `None` for one that must stay.
    fn close_rank(&self, connection: &Connection, now: Instant) -> Option<(CloseRank, Instant)> {
        if connection.is_given_up {
            return None;
        }
        if let Some(body) = connection.unfinished.and_then(|key| self.bodies.get(&key)) {
            let rank = if is_stalled(body, now) {
                CloseRank::Stalled
            } else {
                CloseRank::Fresh
            };
            let progress = body.expires.checked_sub(BODY_PATIENCE);
            return Some((rank, progress.unwrap_or(body.expires)));
        }
        if connection.calls > 0 {
            return None;
        }
        let since = connection.quiet_since;
        let rank = if connection.has_served {
            CloseRank::Idle
        } else if now.saturating_duration_since(since) >= STALLED_AFTER {
            CloseRank::SilentSinceOpened
        } else {
            CloseRank::Fresh
        };
        Some((rank, since))
    }

    /// Removes a connection that is closed.
    pub fn close(&mut self, connection: ConnectionKey) {
        self.connections.remove(&connection);
    }

    /// Starts the body of a request on a connection; returns `None` if the connection was given
    /// up: the request must not run.
    pub fn begin(&mut self, now: Instant, connection: ConnectionKey) -> Option<BodyKey> {
        self.connections
            .get(&connection)
            .filter(|connection| !connection.is_given_up)?;
        let key = BodyKey(self.new_key());
        let body = Body {
            connection,
            bytes: 0,
            is_whole: false,
            expires: now + BODY_PATIENCE,
        };
        self.bodies.insert(key, body);
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.calls += 1;
            connection.unfinished = Some(key);
        }
        Some(key)
    }

    /// Returns the time until which a body must go on; `now` for one that was given up.
    #[must_use]
    pub fn expires(&self, now: Instant, body: BodyKey) -> Instant {
        self.bodies.get(&body).map_or(now, |body| body.expires)
    }

    /// Records bytes of a body that have arrived, which move the time on until which it must go
    /// on.
    pub fn receive(&mut self, now: Instant, body: BodyKey, bytes: usize) {
        if let Some(body) = self.bodies.get_mut(&body) {
            let earned = body.expires + time_earned_by(bytes);
            body.expires = earned.min(now + BODY_PATIENCE);
        }
    }

    /// Decides on `more` bytes of room for a body.
    pub fn grow(&mut self, now: Instant, body: BodyKey, more: usize) -> Growth {
        let Some(bytes) = self.bodies.get(&body).map(|body| body.bytes + more) else {
            return Growth::Refused;
        };
        let room = room_for(self.limits.body_bytes, bytes);
        let excess = (self.body_bytes + more).saturating_sub(room);
        let Some(given_up) = self.bodies_to_give_up(now, body, bytes, excess) else {
            return Growth::Refused;
        };
        for key in &given_up {
            self.release(*key);
        }
        if let Some(body) = self.bodies.get_mut(&body) {
            body.bytes = bytes;
            self.body_bytes += more;
        }
        Growth::Granted { given_up }
    }

    /// Returns the unfinished bodies that make `excess` bytes of room for one that grows to
    /// `size`: those without progress, the longest first, and for a small body also the
    /// largest ones. Returns `None` if they aren't enough.
    fn bodies_to_give_up(
        &self,
        now: Instant,
        growing: BodyKey,
        size: usize,
        excess: usize,
    ) -> Option<Vec<BodyKey>> {
        if excess == 0 {
            return Some(Vec::new());
        }
        let is_small = |bytes: usize| bytes <= SMALL_BODY_BYTES;
        let mut candidates: Vec<_> = self
            .bodies
            .iter()
            .filter(|(key, body)| **key != growing && !body.is_whole && body.bytes > 0)
            .filter_map(|(key, body)| {
                let order = if is_stalled(body, now) {
                    (0, Some(body.expires), 0)
                } else if is_small(size) && !is_small(body.bytes) {
                    (1, None, usize::MAX - body.bytes)
                } else {
                    return None;
                };
                Some((order, *key, body.bytes))
            })
            .collect();
        candidates.sort_unstable();
        let mut freed = 0;
        let mut given_up = Vec::new();
        for (_, key, bytes) in candidates {
            if freed >= excess {
                break;
            }
            freed += bytes;
            given_up.push(key);
        }
        (freed >= excess).then_some(given_up)
    }

    /// Records that a body is whole and uses `unused` bytes less than its room.
    ///
    /// Returns `false` if the body was given up before: it must be dropped.
    pub fn complete(&mut self, body: BodyKey, unused: usize) -> bool {
        let Some(found) = self.bodies.get_mut(&body) else {
            return false;
        };
        let unused = unused.min(found.bytes);
        found.bytes -= unused;
        found.is_whole = true;
        self.body_bytes -= unused;
        let connection = found.connection;
        self.forget_unfinished(connection, body);
        true
    }

    /// Frees the room of a body; does nothing for one that was given up before.
    pub fn release(&mut self, body: BodyKey) {
        if let Some(removed) = self.bodies.remove(&body) {
            self.body_bytes -= removed.bytes;
            self.forget_unfinished(removed.connection, body);
        }
    }

    fn forget_unfinished(&mut self, connection: ConnectionKey, body: BodyKey) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection
                .unfinished
                .take_if(|unfinished| *unfinished == body);
        }
    }

    /// Records that the answer to a request on a connection has ended.
    pub fn end_call(&mut self, now: Instant, connection: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.calls = connection.calls.saturating_sub(1);
            connection.has_served = true;
            connection.quiet_since = now;
        }
    }

    fn new_key(&mut self) -> u64 {
        self.next_key += 1;
        self.next_key
    }
}

/// Returns the part of the room that all bodies, or all answers, may take together while one
/// grows to a size.
fn room_for(room: usize, bytes: usize) -> usize {
    if bytes <= SMALL_BODY_BYTES {
        room
    } else {
        room - room / SMALL_BODIES_SHARE
    }
}

fn is_stalled(body: &Body, now: Instant) -> bool {
    let left = body.expires.saturating_duration_since(now);
    left + STALLED_AFTER <= BODY_PATIENCE
}

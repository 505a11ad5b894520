//! The stand-in for the platform's append-only log.

use crate::server::{Reply, StandInHandler, StandInRequest, serve};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Most records in one answer.
const MAX_PAGE: usize = 1_000;

/// Limits of the log.
#[derive(Clone, Copy, Debug)]
pub struct AppendLogOptions {
    /// Appends a second over which the log refuses.
    pub appends_per_second: u32,
    /// How long records are kept.
    pub retention: Duration,
}

impl Default for AppendLogOptions {
    fn default() -> Self {
        Self {
            appends_per_second: 400,
            retention: Duration::from_hours(1),
        }
    }
}

/// Faults that a test switches on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendLogFaults {
    /// The log refuses every call with status 503.
    #[serde(default)]
    pub down: bool,
    /// Appends take effect, but their answers are lost.
    #[serde(default)]
    pub lose_append_answers: bool,
    /// Reads don't show this many of a stream's last records, as a stale
    /// replica does.
    #[serde(default)]
    pub stale_records: u64,
    /// Every answer waits this long, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

#[derive(Clone, Debug, Serialize)]
struct StoredRecord {
    offset: u64,
    id: String,
    data: serde_json::Value,
    #[serde(skip)]
    at: Instant,
}

#[derive(Deserialize)]
struct Append {
    id: String,
    data: serde_json::Value,
}

#[derive(Debug, Default)]
struct Stream {
    dropped: u64,
    records: VecDeque<StoredRecord>,
    /// All records ever appended, for the checks of a test.
    appended: Vec<(u64, serde_json::Value)>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.dropped + self.records.len() as u64 + 1
    }

    fn expire(&mut self, now: Instant, retention: Duration) {
        while let Some(first) = self.records.front() {
            if now.duration_since(first.at) <= retention {
                return;
            }
            self.records.pop_front();
            self.dropped += 1;
        }
    }

    fn page(&self, from: u64, next: u64) -> serde_json::Value {
        let skip = from.saturating_sub(self.dropped + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let shown = self.records.iter().take_while(|r| r.offset < next);
        let records: Vec<_> = shown.skip(skip).take(MAX_PAGE).collect();
        serde_json::json!({
            "first": self.dropped + 1,
            "next": next,
            "records": records,
        })
    }
}

#[derive(Debug)]
struct State {
    streams: HashMap<String, Stream>,
    faults: AppendLogFaults,
    second: Instant,
    appends_this_second: u32,
}

/// The stand-in for the platform's append-only log.
#[derive(Debug)]
pub struct AppendLogStandIn {
    options: AppendLogOptions,
    state: Mutex<State>,
    appended: Notify,
}

impl AppendLogStandIn {
    /// Starts the log on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be used.
    pub fn start(
        address: SocketAddr,
        options: AppendLogOptions,
    ) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let log = Arc::new(Self {
            options,
            state: Mutex::new(State {
                streams: HashMap::new(),
                faults: AppendLogFaults::default(),
                second: Instant::now(),
                appends_this_second: 0,
            }),
            appended: Notify::new(),
        });
        let address = serve(address, Arc::clone(&log))?;
        Ok((log, address))
    }

    /// Switches faults on or off.
    pub fn set_faults(&self, faults: AppendLogFaults) {
        self.lock().faults = faults;
    }

    /// Returns the records that a stream holds.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<serde_json::Value> {
        let state = self.lock();
        let records = state.streams.get(stream).map(|s| &s.records);
        let records = records.into_iter().flatten();
        records.map(|r| r.data.clone()).collect()
    }

    /// Returns all records ever appended to a stream with their offsets, also
    /// those that have expired.
    #[must_use]
    pub fn appended(&self, stream: &str) -> Vec<(u64, serde_json::Value)> {
        let state = self.lock();
        let stream = state.streams.get(stream);
        stream.map_or_else(Vec::new, |stream| stream.appended.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: &str, body: &[u8]) -> Reply {
        let Ok(append) = serde_json::from_slice::<Append>(body) else {
            return Reply::error(400, "not an append");
        };
        let mut state = self.lock();
        let now = Instant::now();
        if now.duration_since(state.second) >= Duration::from_secs(1) {
            state.second = now;
            state.appends_this_second = 0;
        }
        if state.appends_this_second >= self.options.appends_per_second {
            return Reply::error(429, "too many appends");
        }
        state.appends_this_second += 1;
        let lost = state.faults.lose_append_answers;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next();
        stream.appended.push((offset, append.data.clone()));
        stream.records.push_back(StoredRecord {
            offset,
            id: append.id,
            data: append.data,
            at: now,
        });
        drop(state);
        self.appended.notify_waiters();
        if lost {
            Reply::CloseConnection
        } else {
            Reply::ok(&serde_json::json!({ "offset": offset }))
        }
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Reply {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            {
                let mut state = self.lock();
                let stale_records = state.faults.stale_records;
                let stream = state.streams.entry(stream.to_owned()).or_default();
                stream.expire(Instant::now(), self.options.retention);
                let next = stream.next().saturating_sub(stale_records);
                let next = next.max(stream.dropped + 1);
                if next > from || tokio::time::Instant::now() >= deadline {
                    return Reply::Json(200, stream.page(from, next));
                }
            }
            let _ = tokio::time::timeout_at(deadline, appended).await;
        }
    }
}

impl StandInHandler for AppendLogStandIn {
    async fn answer(&self, call: StandInRequest) -> Reply {
        if call.path == "/faults" {
            return match serde_json::from_slice(&call.body) {
                Ok(faults) => {
                    self.set_faults(faults);
                    Reply::ok(&faults)
                }
                Err(e) => Reply::error(400, &e.to_string()),
            };
        }
        let faults = self.lock().faults;
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.down {
            return Reply::error(503, "the log is down");
        }
        let stream = call
            .path
            .strip_prefix("/streams/")
            .and_then(|rest| rest.strip_suffix("/records"));
        match (stream, call.method.as_str()) {
            (Some(stream), "POST") => self.append(stream, &call.body),
            (Some(stream), "GET") => {
                let from = call.query_number("from").unwrap_or(1);
                let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0));
                self.read(stream, from, wait).await
            }
            _ => Reply::error(404, "no such path"),
        }
    }
}

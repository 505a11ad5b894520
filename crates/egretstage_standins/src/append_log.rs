//! Stand-in for the platform's append-only log.

use crate::server::{Reply, StandInHandler, StandInRequest, serve};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Maximum number of records in one answer.
const MAX_PAGE_RECORDS: usize = 1_000;

/// Limits of the log.
#[derive(Clone, Copy, Debug)]
pub struct AppendLogOptions {
    /// Maximum appends per second; further ones are refused with status 429.
    pub appends_per_second: u32,
    /// Time after which records expire.
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

/// Faults that a test injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendLogFaults {
    /// The log refuses every call with status 503.
    #[serde(default)]
    pub down: bool,
    /// Appends take effect, but their answers are lost.
    #[serde(default)]
    pub lose_append_answers: bool,
    /// Reads omit this many of a stream's last records, like those of a stale
    /// replica.
    #[serde(default)]
    pub stale_records: u64,
    /// Delay of every answer, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

#[derive(Clone, Debug, Serialize)]
struct StoredRecord {
    offset: u64,
    id: String,
    data: serde_json::Value,
    #[serde(skip)]
    appended_at: Instant,
}

#[derive(Deserialize)]
struct AppendRequest {
    id: String,
    data: serde_json::Value,
}

#[derive(Debug, Default)]
struct Stream {
    /// Number of expired records, which is also the offset of the last of them.
    dropped: u64,
    records: VecDeque<StoredRecord>,
    /// Offsets and data of all records ever appended, for the checks of a test.
    appended: Vec<(u64, serde_json::Value)>,
}

impl Stream {
    /// Returns the offset of the next record.
    fn next_offset(&self) -> u64 {
        self.dropped + self.records.len() as u64 + 1
    }

    fn expire(&mut self, now: Instant, retention: Duration) {
        while let Some(first) = self.records.front() {
            if now.duration_since(first.appended_at) <= retention {
                return;
            }
            self.records.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns the records from `from` up to, but not including, `next`.
    fn page(&self, from: u64, next: u64) -> serde_json::Value {
        let skip = from.saturating_sub(self.dropped + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let visible = self.records.iter().take_while(|r| r.offset < next);
        let records: Vec<_> = visible.skip(skip).take(MAX_PAGE_RECORDS).collect();
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
    second_start: Instant,
    appends_this_second: u32,
}

/// Stand-in for the platform's append-only log.
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
                second_start: Instant::now(),
                appends_this_second: 0,
            }),
            appended: Notify::new(),
        });
        let address = serve(address, Arc::clone(&log))?;
        Ok((log, address))
    }

    /// Replaces the active faults.
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

    /// Returns the offsets and data of all records ever appended to a stream,
    /// including expired ones.
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
        let Ok(append) = serde_json::from_slice::<AppendRequest>(body) else {
            return Reply::error(400, "not an append");
        };
        let mut state = self.lock();
        let now = Instant::now();
        if now.duration_since(state.second_start) >= Duration::from_secs(1) {
            state.second_start = now;
            state.appends_this_second = 0;
        }
        if state.appends_this_second >= self.options.appends_per_second {
            return Reply::error(429, "too many appends");
        }
        state.appends_this_second += 1;
        let lose_answer = state.faults.lose_append_answers;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next_offset();
        stream.appended.push((offset, append.data.clone()));
        stream.records.push_back(StoredRecord {
            offset,
            id: append.id,
            data: append.data,
            appended_at: now,
        });
        drop(state);
        self.appended.notify_waiters();
        if lose_answer {
            Reply::CloseConnection
        } else {
            Reply::ok(&serde_json::json!({ "offset": offset }))
        }
    }

    /// Returns a page of records; waits up to `wait` for the first of them.
    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Reply {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            {
                let mut state = self.lock();
                let stale_records = state.faults.stale_records;
                let stream = state.streams.entry(stream.to_owned()).or_default();
                stream.expire(Instant::now(), self.options.retention);
                let next = stream.next_offset().saturating_sub(stale_records);
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
    async fn answer(&self, request: StandInRequest) -> Reply {
        if request.path == "/faults" {
            return match serde_json::from_slice(&request.body) {
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
        let stream = request
            .path
            .strip_prefix("/streams/")
            .and_then(|rest| rest.strip_suffix("/records"));
        match (stream, request.method.as_str()) {
            (Some(stream), "POST") => self.append(stream, &request.body),
            (Some(stream), "GET") => {
                let from = request.query_number("from").unwrap_or(1);
                let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
                self.read(stream, from, wait).await
            }
            _ => Reply::error(404, "no such path"),
        }
    }
}

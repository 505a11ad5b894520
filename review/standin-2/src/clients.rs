//! Stand-ins of the platform's clients.

use crate::http::{Connection, Head};
use crate::record::Log;
use crate::wire::name;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time that a client waits for an answer, in milliseconds.
pub const DEADLINE_MS: &str = "3000";

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub enum End {
    /// With a whole answer.
    Answered(Head),
    /// The connection was closed without an answer.
    Closed,
    /// No connection could be opened.
    NotSent,
}

/// A request and how it ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub at: Instant,
    pub end: End,
}

impl Outcome {
    /// Returns the status of the answer, 0 if there is none.
    pub fn status(&self) -> u16 {
        match &self.end {
            End::Answered(head) => head.status(),
            End::Closed | End::NotSent => 0,
        }
    }
}

/// The key of the only organisation in the configuration.
pub const KEY: &str = "k1";

/// A client with one kept connection to an entry.
pub struct Client {
    address: SocketAddr,
    key: &'static str,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self::with_key(address, KEY)
    }

    /// Creates a client that sends this key.
    pub fn with_key(address: SocketAddr, key: &'static str) -> Self {
        let connection = None;
        Self {
            address,
            key,
            connection,
        }
    }

    /// Sends a request on the kept connection, or on a new one if there is none.
    pub fn send(&mut self, method: &str, path: &str, deadline: &str, body: &[u8]) -> Outcome {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let (request, time) = (name("request-id"), name("deadline"));
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\n{request}: {id}\r\n{time}: {deadline}\r\n\
             Authorization: Token {}\r\nContent-Length: {}\r\n\r\n",
            self.key,
            body.len()
        );
        if self.connection.is_none() {
            self.connection = Connection::open(self.address).ok();
        }
        let at = Instant::now();
        let Some(connection) = &mut self.connection else {
            return Outcome {
                id,
                at,
                end: End::NotSent,
            };
        };
        let end = match connection.ask(&head, body) {
            Ok(Some((answer, _))) => {
                if answer
                    .header("connection")
                    .is_some_and(|value| value.contains("close"))
                {
                    self.connection = None;
                }
                End::Answered(answer)
            }
            Ok(None) | Err(_) => {
                self.connection = None;
                End::Closed
            }
        };
        Outcome { id, at, end }
    }
}

/// Ordinary clients, each with one kept connection, and the outcomes of their requests.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Crowd {
    /// Starts `count` clients of each entry, which send one request after the other.
    pub fn start(
        entries: &[SocketAddr],
        count: usize,
        (method, path): (&'static str, &'static str),
        body: &Arc<Vec<u8>>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
        let addresses = entries.iter().flat_map(|address| vec![*address; count]);
        let start = |address| {
            let (stop, outcomes, body) =
                (Arc::clone(&stop), Arc::clone(&outcomes), Arc::clone(body));
            std::thread::spawn(move || {
                let mut client = Client::new(address);
                while !stop.load(Ordering::Relaxed) {
                    let outcome = client.send(method, path, DEADLINE_MS, &body);
                    std::thread::sleep(pause_after(&outcome));
                    outcomes.lock().expect("not poisoned").push(outcome);
                }
            })
        };
        let threads = addresses.map(start).collect();
        Self {
            stop,
            outcomes,
            threads,
        }
    }

    /// Stops the clients once their requests have ended.
    pub fn stop(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a client's thread ends");
        }
        self.outcomes.lock().expect("not poisoned").clone()
    }
}

/// Returns how long a client waits before its next request: as long as it is told, up to a
/// third of its time.
fn pause_after(outcome: &Outcome) -> Duration {
    match &outcome.end {
        End::Answered(head) => {
            let told = head
                .header("retry-after")
                .and_then(|text| text.parse::<f64>().ok());
            Duration::from_secs_f64(told.unwrap_or(0.0).clamp(0.0, 1.0))
        }
        End::Closed | End::NotSent => Duration::from_millis(300),
    }
}

/// Writes how many requests ended with each status, 0 for none.
pub fn record_statuses(log: &Log, who: &str, outcomes: &[Outcome]) {
    let mut counts = std::collections::BTreeMap::new();
    for outcome in outcomes {
        *counts.entry(outcome.status()).or_insert(0) += 1;
    }
    log.line(&format!("{who}: answers by status (0: none): {counts:?}"));
}

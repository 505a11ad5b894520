//! Stand-in for the platform's store: keyed topics of a log.

use crate::http::{Request, listen, read_request, serve, write_answer};
use crate::wire::wire;
use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Topic = Vec<(String, Vec<u8>)>;

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// Whether the store is away: it closes connections without an answer.
    is_away: bool,
    /// Number of times that the store was restored from a copy, plus one.
    era: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let (listener, address) = listen();
        let store = Self {
            address,
            state: Arc::default(),
        };
        store.lock().era = 1;
        let handler = store.clone();
        serve(listener, move |tcp| handler.serve_connection(tcp));
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("not poisoned")
    }

    /// Lets the store go away: nothing is answered, and waiting reads are cut.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.state.1.notify_all();
    }

    /// Returns the numbers of records of all topics, as a copy of the store holds them.
    pub fn copy(&self) -> HashMap<String, usize> {
        let state = self.lock();
        let topics = state.topics.iter();
        topics
            .map(|(name, topic)| (name.clone(), topic.len()))
            .collect()
    }

    /// Lets the store come back from a copy; what was written since is lost.
    pub fn come_back(&self, copy: &HashMap<String, usize>) {
        let mut state = self.lock();
        for (name, topic) in &mut state.topics {
            topic.truncate(copy.get(name).copied().unwrap_or(0));
        }
        state.era += 1;
        state.is_away = false;
    }

    /// Appends a record, as the operator or a runner does; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("not poisoned");
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        changed.notify_all();
        records.len()
    }

    fn serve_connection(&self, mut tcp: TcpStream) {
        tcp.set_nodelay(true).expect("an option");
        let mut reader = BufReader::new(tcp.try_clone().expect("a second handle"));
        while let Some(req) = read_request(&mut reader) {
            let (status, body) = self.answer(&req);
            std::thread::sleep(ANSWER_TIME);
            let (is_away, era) = {
                let state = self.lock();
                (state.is_away, state.era.to_string())
            };
            if is_away {
                return;
            }
            let written = write_answer(&mut tcp, status, &[(wire("era"), &era)], &body);
            if written.is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Request) -> (&'static str, Vec<u8>) {
        let topic = req.parameter("topic").unwrap_or_default().to_owned();
        if req.path() == wire("newest") {
            ("200 OK", self.newest(&topic))
        } else if req.path() == wire("read") {
            self.read(&topic, req)
        } else if req.path() == wire("append") {
            self.append(&topic, req)
        } else {
            ("404 Not Found", Vec::new())
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = self.state.0.lock().expect("not poisoned");
        let records = state.topics.get(topic).cloned().unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.clone(), (offset, value.clone()));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let items = newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        });
        let items: Vec<String> = items.collect();
        let (items, end) = (items.join(","), records.len());
        format!(r#"{{"items":[{items}],"has-more":false,"end-offset":{end}}}"#).into_bytes()
    }

    fn read(&self, topic: &str, req: &Request) -> (&'static str, Vec<u8>) {
        let number = |name| req.parameter(name).and_then(|text| text.parse().ok());
        let source: usize = number("source").unwrap_or(0);
        let wait = number("wait-ms").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait as u64);
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("not poisoned");
        loop {
            let end = state.topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end < source {
                return ("410 Gone", br#"{"first-offset":0}"#.to_vec());
            }
            if end > source || left.is_zero() || state.is_away {
                break;
            }
            state = changed.wait_timeout(state, left).expect("not poisoned").0;
        }
        let records = state.topics.get(topic).cloned().unwrap_or_default();
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(source) {
            let length = u32::try_from(1 + key.len() + value.len()).expect("a short record");
            body.extend(length.to_be_bytes());
            body.push(u8::try_from(key.len()).expect("a short key"));
            body.extend(key.as_bytes());
            body.extend(value);
        }
        ("200 OK", body)
    }

    fn append(&self, topic: &str, req: &Request) -> (&'static str, Vec<u8>) {
        let end = {
            let state = self.state.0.lock().expect("not poisoned");
            state.topics.get(topic).map_or(0, Vec::len)
        };
        let at = req.parameter("at").and_then(|text| text.parse().ok());
        if at.is_some_and(|at: usize| at != end) {
            let body = format!(r#"{{"end-offset":{end}}}"#).into_bytes();
            return ("412 Precondition Failed", body);
        }
        let mut rest = req.body.as_slice();
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (record, next) = tail.split_at(length);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            self.put(topic, &String::from_utf8_lossy(key), value);
            rest = next;
        }
        let body = format!(r#"{{"offset":{end},"end-offset":{}}}"#, end + 1);
        ("200 OK", body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            let is_padding = digit > chunk.len();
            let digit = if is_padding {
                b'='
            } else {
                DIGITS[index as usize]
            };
            text.push(char::from(digit));
        }
    }
    text
}

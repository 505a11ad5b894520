//! A stand-in of the platform's store: topics of keyed records with one partition each.

use crate::http::{Head, read_body, read_head};
use crate::wire::name;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

type Record = (String, Vec<u8>);

#[derive(Default)]
struct State {
    topics: Mutex<HashMap<String, Vec<Record>>>,
    changed: Condvar,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for tcp in listener.incoming().map_while(Result::ok) {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(tcp));
            }
        });
        Ok(store)
    }

    /// Appends a record.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.state.topics.lock().expect("not poisoned");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.state.changed.notify_all();
    }

    /// Returns the newest value of a topic.
    pub fn newest(&self, topic: &str) -> Option<Vec<u8>> {
        let topics = self.state.topics.lock().expect("not poisoned");
        topics.get(topic)?.last().map(|(_, value)| value.clone())
    }

    fn serve(&self, tcp: TcpStream) {
        let mut reader = BufReader::new(tcp);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(sent) = read_body(&mut reader, head.length()) else {
                return;
            };
            let (status, body) = self.answer(&head, &sent);
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let tcp = reader.get_mut();
            if tcp
                .write_all(answer.as_bytes())
                .and_then(|()| tcp.write_all(&body))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, sent: &[u8]) -> (&'static str, Vec<u8>) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let topic = query.get("topic").copied().unwrap_or("");
        let number = |key| query.get(key).and_then(|text| text.parse::<u64>().ok());
        if path == name("list") {
            (OK, self.list(topic, query.get("after").copied()))
        } else if path == name("read") {
            let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
            (OK, self.read(topic, number("source").unwrap_or(0), wait))
        } else if path == name("append") {
            self.append(topic, number("at"), sent)
        } else {
            ("404 Not Found", Vec::new())
        }
    }

    fn list(&self, topic: &str, after: Option<&str>) -> Vec<u8> {
        let topics = self.state.topics.lock().expect("not poisoned");
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.as_str(), (value, offset));
        }
        newest
            .retain(|key, (value, _)| !value.is_empty() && after.is_none_or(|after| *key > after));
        let items = newest.iter().map(|(key, (value, offset))| {
            format!(
                r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#,
                base64(value)
            )
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.len();
        format!(r#"{{"items":[{items}],"has-more":false,"end-offset":{end}}}"#).into_bytes()
    }

    fn read(&self, topic: &str, source: u64, wait: Duration) -> Vec<u8> {
        let deadline = Instant::now() + wait;
        let from = usize::try_from(source).expect("few records");
        let mut topics = self.state.topics.lock().expect("not poisoned");
        loop {
            let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = [(records.len() as u64).to_be_bytes(), [0; 8]].concat();
                for (key, value) in records.get(from..).unwrap_or_default() {
                    body.extend(encode(key, value));
                }
                return body;
            }
            topics = self
                .state
                .changed
                .wait_timeout(topics, left)
                .expect("not poisoned")
                .0;
        }
    }

    fn append(&self, topic: &str, at: Option<u64>, sent: &[u8]) -> (&'static str, Vec<u8>) {
        let mut topics = self.state.topics.lock().expect("not poisoned");
        let records = topics.entry(topic.to_owned()).or_default();
        let end = records.len() as u64;
        if at.is_some_and(|at| at != end) {
            return (
                "412 Precondition Failed",
                format!(r#"{{"end-offset":{end}}}"#).into_bytes(),
            );
        }
        let mut rest = sent;
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (record, tail) = tail.split_at(length.min(tail.len()));
            let key_length = usize::from(record.first().copied().unwrap_or(0));
            let (key, value) = record[1..].split_at(key_length);
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = tail;
        }
        let after = records.len();
        self.state.changed.notify_all();
        (
            OK,
            format!(r#"{{"offset":{end},"end-offset":{after}}}"#).into_bytes(),
        )
    }
}

const OK: &str = "200 OK";

fn encode(key: &str, value: &[u8]) -> Vec<u8> {
    let length = u32::try_from(1 + key.len() + value.len()).expect("a short record");
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.push(u8::try_from(key.len()).expect("a short key"));
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(value);
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = group >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

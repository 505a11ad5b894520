//! Stand-ins of the platform's runners.

use crate::http::{Head, read_head};
use crate::store::Store;
use crate::wire::{self, name};
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How a runner behaves.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Works on each request for this time, then answers with success.
    Sound(Duration),
    /// Is full: rejects each request as not run. If `early`, it answers a long request before
    /// it has read the body, and reads on at `bytes_per_s`.
    Full { early: bool, bytes_per_s: u32 },
    /// Answers with success. After each `every`-th response it sends the head of another
    /// response, which arrives where the next response on the connection is expected.
    Additional { every: Option<u32> },
}

/// Length from which a full runner answers before it has read the body.
const LONG_BODY: usize = 100_000;

/// Bytes of one read of a slow reader.
const SLOW_READ_BYTES: usize = 32 * 1024;

/// Time of a request at a runner that may send additional bytes.
const SHORT_WORK: Duration = Duration::from_millis(60);

/// Bytes that belong to no request.
const ADDITIONAL_BYTES: &[u8] = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";

/// A runner.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    behaviour: Behaviour,
    /// Ids of the requests that were run.
    pub run: Arc<Mutex<Vec<String>>>,
    /// Ids of the requests that were received.
    pub received: Arc<Mutex<Vec<String>>>,
    answers: Arc<Mutex<u32>>,
    /// Number of open connections, and the most that were open at once.
    connections: Arc<Mutex<(usize, usize)>>,
}

impl Runner {
    /// Starts a runner and registers it in the store.
    pub fn start(store: &Store, service: &str, id: &str, behaviour: Behaviour) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let runner = Self {
            id: id.to_owned(),
            behaviour,
            run: Arc::default(),
            received: Arc::default(),
            answers: Arc::default(),
            connections: Arc::default(),
        };
        let accepting = runner.clone();
        std::thread::spawn(move || {
            for tcp in listener.incoming().map_while(Result::ok) {
                let runner = accepting.clone();
                std::thread::spawn(move || {
                    runner.count_connection(true);
                    // The connection ends with its caller, or with the process.
                    drop(runner.serve(tcp));
                    runner.count_connection(false);
                });
            }
        });
        runner.register(store, service, address);
        Ok(runner)
    }

    fn register(&self, store: &Store, service: &str, address: SocketAddr) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = now.map_or(0, |time| time.as_millis());
        let record = wire::UPSTREAM
            .replace("{service}", service)
            .replace("{address}", &address.to_string())
            .replace("{slots}", "6")
            .replace("{born}", &born.to_string());
        store.put(name("upstream-topic"), &self.id, record.trim());
    }

    fn serve(&self, tcp: TcpStream) -> io::Result<()> {
        tcp.set_nodelay(true)?;
        let mut reader = BufReader::new(tcp);
        let mut additional = false;
        while let Some(head) = read_head(&mut reader)? {
            let id = head
                .header(name("request-id"))
                .unwrap_or_default()
                .to_owned();
            self.received.lock().expect("not poisoned").push(id.clone());
            match self.behaviour {
                Behaviour::Sound(work) => {
                    skip(&mut reader, head.length(), None)?;
                    std::thread::sleep(work);
                    self.succeed(reader.get_mut(), &id)?;
                }
                Behaviour::Full { early, bytes_per_s } if early && head.length() > LONG_BODY => {
                    self.reject(reader.get_mut(), &id)?;
                    skip(&mut reader, head.length(), Some(bytes_per_s))?;
                }
                Behaviour::Full { .. } => {
                    skip(&mut reader, head.length(), None)?;
                    self.reject(reader.get_mut(), &id)?;
                }
                Behaviour::Additional { every } => {
                    skip(&mut reader, head.length(), None)?;
                    std::thread::sleep(SHORT_WORK);
                    if std::mem::take(&mut additional) {
                        reader.get_mut().write_all(ADDITIONAL_BYTES)?;
                    }
                    self.succeed(reader.get_mut(), &id)?;
                    additional = every.is_some_and(|every| self.count_answer() % every == 0);
                }
            }
        }
        Ok(())
    }

    fn count_connection(&self, opened: bool) {
        let mut connections = self.connections.lock().expect("not poisoned");
        if opened {
            connections.0 += 1;
            connections.1 = connections.1.max(connections.0);
        } else {
            connections.0 -= 1;
        }
    }

    /// Returns the most connections that were open at once.
    pub fn most_connections(&self) -> usize {
        self.connections.lock().expect("not poisoned").1
    }

    fn count_answer(&self) -> u32 {
        let mut answers = self.answers.lock().expect("not poisoned");
        *answers += 1;
        *answers
    }

    fn succeed(&self, tcp: &mut TcpStream, id: &str) -> io::Result<()> {
        self.run.lock().expect("not poisoned").push(id.to_owned());
        let body = "b".repeat(800);
        let (request, stamp) = (name("request-id"), name("stamp"));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{request}: {id}\r\n{stamp}: {}\r\nContent-Length: {}\r\n\r\n",
            self.id,
            body.len()
        );
        tcp.write_all((head + &body).as_bytes())
    }

    fn reject(&self, tcp: &mut TcpStream, id: &str) -> io::Result<()> {
        let (request, not_run) = (name("request-id"), name("not-run"));
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{request}: {id}\r\n{not_run}: 1\r\n\
             Content-Length: 0\r\n\r\n"
        );
        tcp.write_all(head.as_bytes())
    }
}

/// Reads and discards a body, at most `bytes_per_s` if that is given.
fn skip(reader: &mut impl Read, length: usize, bytes_per_s: Option<u32>) -> io::Result<()> {
    let mut buf = vec![0; SLOW_READ_BYTES];
    let mut left = length;
    while left > 0 {
        let wanted = left.min(buf.len());
        let count = reader.read(&mut buf[..wanted])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        left -= count;
        if let Some(rate) = bytes_per_s {
            std::thread::sleep(Duration::from_secs_f64(count as f64 / f64::from(rate)));
        }
    }
    Ok(())
}

/// Returns the status and whether a runner signed an answer.
pub fn describe(answer: &Head) -> (u16, bool) {
    (answer.status(), answer.header(name("stamp")).is_some())
}

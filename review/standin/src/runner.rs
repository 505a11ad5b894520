//! Stand-in for a runner, which registers itself in the store.

use crate::http::{Request, listen, read_request, serve, write_answer};
use crate::record::Record;
use crate::store::Store;
use crate::wire::wire;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How a runner answers a request that is meant for it.
pub type Behaviour =
    Arc<dyn Fn(&Runner, &mut TcpStream, &Request) -> std::io::Result<()> + Send + Sync>;

/// Time between two records of a runner.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub is_draining: Arc<AtomicBool>,
    /// Ids of the requests that it began to run.
    pub ran: Arc<Mutex<Vec<String>>>,
    behaviour: Behaviour,
    born: u128,
    sequence: Arc<AtomicU64>,
    pub record: Record,
}

/// Runs each request for a time and answers it with success.
pub fn working(work: Duration) -> Behaviour {
    Arc::new(move |runner, tcp, req| {
        let id = runner.begin(req);
        std::thread::sleep(work);
        runner.finish(tcp, &id)
    })
}

impl Runner {
    /// Starts a runner.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        behaviour: Behaviour,
        record: &Record,
    ) -> Self {
        let (listener, address) = listen();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let runner = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            is_draining: Arc::default(),
            ran: Arc::default(),
            behaviour,
            born: now.expect("after 1970").as_millis(),
            sequence: Arc::default(),
            record: record.clone(),
        };
        let handler = runner.clone();
        serve(listener, move |tcp| handler.serve_connection(tcp));
        runner.beat(store);
        let (beating, store) = (runner.clone(), store.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                beating.beat(&store);
            }
        });
        runner
    }

    /// Writes the runner's record.
    pub fn beat(&self, store: &Store) {
        let is_draining = self.is_draining.load(Ordering::Relaxed);
        let state = if is_draining { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let record = include_str!("../record.json")
            .replace("SERVICE", &self.service)
            .replace("ADDRESS", &self.address.to_string())
            .replace("STATE", state)
            .replace("BORN", &self.born.to_string())
            .replace("SEQUENCE", &sequence.to_string());
        store.put(wire("runners-topic"), &self.id, record.trim().as_bytes());
    }

    fn serve_connection(&self, mut tcp: TcpStream) {
        tcp.set_nodelay(true).expect("an option");
        let mut reader = BufReader::new(tcp.try_clone().expect("a second handle"));
        while let Some(req) = read_request(&mut reader) {
            if self.answer(&mut tcp, &req).is_err() {
                return;
            }
        }
    }

    fn answer(&self, tcp: &mut TcpStream, req: &Request) -> std::io::Result<()> {
        let is_other = req
            .header(wire("expect"))
            .is_some_and(|expected| expected != self.id);
        if is_other {
            let headers = [(wire("instance"), self.id.as_str())];
            return write_answer(tcp, "421 Misdirected Request", &headers, b"");
        }
        (self.behaviour)(self, tcp, req)
    }

    /// Notes that the runner begins to run a request, and returns its id.
    pub fn begin(&self, req: &Request) -> String {
        let id = req
            .header(wire("request-id"))
            .unwrap_or_default()
            .to_owned();
        let deadline = req.header(wire("deadline")).unwrap_or("none");
        self.record.note(&format!(
            "runner {} begins to run {id} ({} {}, {} bytes, deadline {deadline} ms)",
            self.id,
            req.method,
            req.target,
            req.body.len()
        ));
        self.ran.lock().expect("not poisoned").push(id.clone());
        id
    }

    /// Answers a request with success.
    pub fn finish(&self, tcp: &mut TcpStream, id: &str) -> std::io::Result<()> {
        let stamp = self.stamp(id);
        let headers = [
            (wire("request-id"), id),
            (wire("stamp"), stamp.as_str()),
            (wire("load"), "1,0,6"),
        ];
        let body = format!("done {id}");
        let written = write_answer(tcp, "200 OK", &headers, body.as_bytes());
        self.note_end(id, written.is_ok());
        written
    }

    /// Returns the signature of an answer.
    pub fn stamp(&self, id: &str) -> String {
        format!("s.{}.{id}", self.id)
    }

    /// Notes whether the runner could answer a request.
    pub fn note_end(&self, id: &str, is_written: bool) {
        let end = if is_written {
            "has answered"
        } else {
            "can't answer, its caller is gone:"
        };
        self.record.note(&format!("runner {} {end} {id}", self.id));
    }
}

//! The connection pool of the upstream.

use crate::UpstreamFailure;
use crate::write_gate::{GatedStream, WriteGate};
use egretstage_runtime::reset_on_close;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum wait for a connection to become ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    gate: WriteGate,
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, UpstreamFailure> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(tcp)) = connected else {
            return Err(UpstreamFailure::NotSent);
        };
        if let Err(e) = tcp.set_nodelay(true).and_then(|()| reset_on_close(&tcp)) {
            log::warn!(
                address:display, error:display = e;
                "socket options of the upstream's connection can't be set"
            );
        }
        let gate = WriteGate::new();
        let stream = GatedStream::new(tcp, gate.clone());
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| UpstreamFailure::NotSent)?;
        tokio::spawn(connection);
        Ok(Self { sender, gate })
    }

    /// Sends a request whose first byte must be written before `not_after`.
    ///
    /// # Errors
    ///
    /// Returns a failure that counts as not run only if nothing of the request was
    /// written.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        not_after: Instant,
    ) -> Result<Response<Incoming>, UpstreamFailure> {
        self.gate.arm(not_after);
        self.sender.send_request(req).await.map_err(|_| {
            if !self.gate.close_if_unwritten() {
                UpstreamFailure::Broken
            } else if Instant::now() < not_after {
                UpstreamFailure::NotSent
            } else {
                UpstreamFailure::TooLate
            }
        })
    }
}

/// Pool of idle connections to one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl Connections {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
        }
    }

    /// Opens a connection, or reuses an idle one if the request may be repeated.
    ///
    /// An idle connection may turn out to be closed only after the request was
    /// written, and then it is unknown whether the request ran.
    pub(crate) async fn acquire(&self, repeatable: bool) -> Result<Connection, UpstreamFailure> {
        if repeatable && let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        Connection::open(self.address).await
    }

    /// Returns a connection to the pool after its answer was read to the end.
    pub(crate) async fn release(&self, mut connection: Connection) {
        let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
        let mut idle = self.lock();
        if matches!(ready, Ok(Ok(()))) && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

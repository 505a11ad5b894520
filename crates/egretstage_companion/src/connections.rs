//! The connections to the upstream.

use crate::UpstreamFailure;
use crate::write_gate::{GatedStream, WriteGate};
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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a connection to be ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    gate: WriteGate,
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, UpstreamFailure> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(tcp)) = connect else {
            return Err(UpstreamFailure::NotSent);
        };
        let _ = tcp.set_nodelay(true);
        let gate = WriteGate::new();
        let stream = GatedStream::new(tcp, gate.clone());
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| UpstreamFailure::NotSent)?;
        tokio::spawn(connection);
        Ok(Self { sender, gate })
    }

    /// Sends a request whose first byte leaves before an instant.
    ///
    /// A failure counts as not run only if nothing of it was written.
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

/// Idle connections to one upstream.
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

    /// Opens a connection, or takes an idle one if the call may be repeated.
    ///
    /// An idle connection may turn out to be closed after the request was
    /// written, which leaves open whether it ran.
    pub(crate) async fn take(&self, repeatable: bool) -> Result<Connection, UpstreamFailure> {
        if repeatable && let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        Connection::open(self.address).await
    }

    /// Gives a connection back whose answer was read to its end.
    pub(crate) async fn give_back(&self, mut connection: Connection) {
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

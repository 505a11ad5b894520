//! Pool of idle connections to upstreams.
//!
//! A new connection may occupy a slot of an upstream and is expensive on some
//! platforms, so a connection is reused for as long as the upstream keeps it
//! open.

use crate::upstream_stream::{InterimLimit, UpstreamStream};
use egretstage_dispatch::NotRunCause;
use egretstage_runtime::reset_on_close;
use egretstage_wire::{InstanceId, RequestId};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HeaderMap, HeaderName};
use hyper_util::rt::TokioIo;
use smallvec::SmallVec;
use socket2::{SockRef, TcpKeepalive};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for a new connection: several round trips between availability
/// zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for a connection that shows whether an upstream has ended: its callers
/// wait for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time without an acknowledgement after which the kernel closes a connection:
/// shorter than the time after which callers give up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the kernel's first keepalive probe, and time between
/// probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Time before the end of an upstream's idle timeout from which a connection
/// is no longer reused.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);

/// Idle time after which a connection is no longer reused if the upstream
/// states no idle timeout.
const DEFAULT_MAX_IDLE: Duration = Duration::from_secs(15);

/// Maximum number of refused requests that are remembered for a connection.
const MAX_REFUSED: usize = 8;

/// Largest head of an answer and largest read-ahead of its body, in bytes. It
/// limits the memory that an endless head takes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// A connection to one upstream.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) interim_limit: InterimLimit,
    /// Idle time after which the connection is no longer reused.
    max_idle: Duration,
    /// Whether it has carried a request before the present one.
    pub(crate) is_reused: bool,
    /// Requests that the upstream refused on it, the newest last. A copy of such a
    /// refusal may still arrive.
    refused: SmallVec<[RequestId; 1]>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// The idle connections to all upstreams.
#[derive(Debug, Default)]
pub(crate) struct UpstreamPool {
    idle: RefCell<HashMap<InstanceId, Vec<IdleConnection>>>,
}

impl UpstreamPool {
    /// Returns whether an upstream's address refuses connections, as it does once the
    /// upstream's process has ended. A connection that can be opened is kept.
    pub(crate) async fn refuses_connections(
        &self,
        instance: &InstanceId,
        address: SocketAddr,
    ) -> bool {
        match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(tcp)) => {
                if let Ok(connection) = handshake(address, tcp).await {
                    self.add_idle(instance, connection);
                }
                false
            }
            Ok(Err(e)) => {
                let kind = e.kind();
                matches!(
                    kind,
                    ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
                )
            }
            Err(_) => false,
        }
    }

    /// Returns an idle connection on which the request wasn't refused before, or opens a
    /// new one if there is none.
    pub(crate) async fn checkout(
        &self,
        instance: &InstanceId,
        address: SocketAddr,
        request: &RequestId,
    ) -> Result<Connection, NotRunCause> {
        match self.take_idle(instance, request) {
            Some(connection) => Ok(connection),
            None => connect(address).await,
        }
    }

    fn take_idle(&self, instance: &InstanceId, request: &RequestId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(instance)?;
        let now = Instant::now();
        connections.retain(|idle| {
            let age = now.saturating_duration_since(idle.since);
            !idle.connection.sender.is_closed() && age < idle.connection.max_idle
        });
        let newest = connections.iter().rposition(|idle| {
            let connection = &idle.connection;
            connection.sender.is_ready() && !connection.refused.contains(request)
        })?;
        Some(connections.remove(newest).connection)
    }

    /// Puts back a connection whose last answer was read to its end.
    pub(crate) fn put_back(&self, instance: &InstanceId, mut connection: Connection) {
        connection.is_reused = true;
        self.add_idle(instance, connection);
    }

    fn add_idle(&self, instance: &InstanceId, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(instance.clone()).or_default();
        connections.push(IdleConnection { connection, since });
    }

    /// Closes the idle connections to an upstream.
    pub(crate) fn close_idle(&self, instance: &InstanceId) {
        self.idle.borrow_mut().remove(instance);
    }
}

impl Connection {
    /// Records that the upstream refused a request on this connection.
    pub(crate) fn record_refusal(&mut self, request: RequestId) {
        if self.refused.len() == MAX_REFUSED {
            self.refused.remove(0);
        }
        self.refused.push(request);
    }

    /// Applies the idle timeout that the upstream states in its `Keep-Alive`
    /// header.
    pub(crate) fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        let name = HeaderName::from_static("keep-alive");
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        let seconds = value.and_then(|text| {
            let mut parts = text.split(',').map(str::trim);
            parts.find_map(|part| part.strip_prefix("timeout=")?.parse().ok())
        });
        if let Some(seconds) = seconds {
            self.max_idle = Duration::from_secs(seconds).saturating_sub(IDLE_TIMEOUT_MARGIN);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, NotRunCause> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let tcp = match connected {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(e)) => {
            log::debug!(address:display, error:display = e; "connecting to an upstream failed");
            return Err(NotRunCause::NoConnection);
        }
        Err(_) => {
            log::debug!(address:display; "connecting to an upstream timed out");
            return Err(NotRunCause::NoConnection);
        }
    };
    handshake(address, tcp).await
}

/// Starts HTTP on a connection.
async fn handshake(address: SocketAddr, tcp: TcpStream) -> Result<Connection, NotRunCause> {
    if let Err(e) = set_socket_options(&tcp) {
        log::warn!(
            address:display, error:display = e;
            "socket options of an upstream connection can't be set"
        );
    }
    let interim_limit = InterimLimit::default();
    let stream = UpstreamStream::new(tcp, interim_limit.clone());
    let (sender, connection) = Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| NotRunCause::NoConnection)?;
    tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            log::debug!(
                address:display, error:display = e;
                "a connection to an upstream ended with an error"
            );
        }
    });
    Ok(Connection {
        sender,
        interim_limit,
        max_idle: DEFAULT_MAX_IDLE,
        is_reused: false,
        refused: SmallVec::new(),
    })
}

fn set_socket_options(tcp: &TcpStream) -> std::io::Result<()> {
    tcp.set_nodelay(true)?;
    reset_on_close(tcp)?;
    let socket = SockRef::from(tcp);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

//! Kept connections to upstreams.
//!
//! A new connection may hold a slot of an upstream and is dear on some
//! platforms, so a connection is used again as long as the upstream keeps it.

use egretstage_dispatch::NotRunCause;
use egretstage_wire::InstanceId;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HeaderMap, HeaderName};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for a new connection: several round trips between
/// availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without any acknowledgement after which the kernel ends a connection:
/// below the time in which callers give up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time before, and between, the kernel's probes of an idle connection.
const KEEPALIVE: Duration = Duration::from_secs(2);

/// Time before the end of an upstream's idle timeout at which a connection is
/// no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// Idle time after which a connection is no longer used, for upstreams that
/// state none.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Largest head of an answer, and most that is read ahead of a body, in bytes:
/// a head without an end takes no more memory than that.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// A connection to one upstream, between two requests.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    keep: Duration,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// The idle connections to all upstreams, and what is read of their answers.
#[derive(Debug, Default)]
pub(crate) struct UpstreamPool {
    idle: RefCell<HashMap<InstanceId, Vec<Idle>>>,
    /// Bytes of answers that are not passed on yet.
    held: Rc<Cell<usize>>,
}

/// What one answer holds of the memory for all answers; returned at its drop.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    all: Rc<Cell<usize>>,
    own: usize,
}

impl HeldBytes {
    /// Takes more; returns whether all answers together stay within a limit.
    pub(crate) fn add(&mut self, bytes: usize, limit: usize) -> bool {
        self.own += bytes;
        self.all.set(self.all.get() + bytes);
        self.all.get() <= limit
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.own);
    }
}

impl UpstreamPool {
    /// Starts to count what one answer holds.
    pub(crate) fn held_bytes(&self) -> HeldBytes {
        HeldBytes {
            all: Rc::clone(&self.held),
            own: 0,
        }
    }

    /// Returns a connection, a kept one if there is any.
    pub(crate) async fn checkout(
        &self,
        instance: &InstanceId,
        address: SocketAddr,
    ) -> Result<Connection, NotRunCause> {
        match self.take_idle(instance) {
            Some(connection) => Ok(connection),
            None => connect(address).await,
        }
    }

    fn take_idle(&self, instance: &InstanceId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(instance)?;
        let now = Instant::now();
        kept.retain(|idle| {
            let age = now.saturating_duration_since(idle.since);
            !idle.connection.sender.is_closed() && age < idle.connection.keep
        });
        let newest = kept
            .iter()
            .rposition(|idle| idle.connection.sender.is_ready())?;
        Some(kept.remove(newest).connection)
    }

    /// Keeps a connection whose last answer was whole.
    pub(crate) fn keep(&self, instance: &InstanceId, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(instance.clone()).or_default();
        kept.push(Idle { connection, since });
    }

    /// Closes the idle connections to an upstream.
    pub(crate) fn close_idle(&self, instance: &InstanceId) {
        self.idle.borrow_mut().remove(instance);
    }
}

impl Connection {
    /// Takes over how long the upstream keeps an idle connection.
    pub(crate) fn note_keep_alive(&mut self, headers: &HeaderMap) {
        let name = HeaderName::from_static("keep-alive");
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        let seconds = value.and_then(|text| {
            let mut parts = text.split(',').map(str::trim);
            parts.find_map(|part| part.strip_prefix("timeout=")?.parse().ok())
        });
        if let Some(seconds) = seconds {
            self.keep = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, NotRunCause> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let tcp = match connected {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(e)) => {
            log::debug!(address:display, error:display = e; "no connection to an upstream");
            return Err(NotRunCause::NoConnection);
        }
        Err(_) => {
            log::debug!(address:display; "no connection to an upstream in time");
            return Err(NotRunCause::NoConnection);
        }
    };
    if let Err(e) = set_options(&tcp) {
        log::warn!(address:display, error:display = e; "a connection keeps the system's defaults");
    }
    let (sender, connection) = Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(tcp))
        .await
        .map_err(|_| NotRunCause::NoConnection)?;
    tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            log::debug!(address:display, error:display = e; "a connection to an upstream ended");
        }
    });
    Ok(Connection {
        sender,
        keep: DEFAULT_IDLE,
    })
}

fn set_options(tcp: &TcpStream) -> std::io::Result<()> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

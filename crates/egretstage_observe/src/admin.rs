//! The health and metrics endpoints of a daemon.

use crate::Metrics;
use egretstage_caller_io::{CallerBounds, CallerLimits, KeepingBody, OpenConnection};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum number of connections. A new one takes the place of the one that is used least.
const MAX_CONNECTIONS: usize = 16;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Longest time for the head of a request, and between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why the admin endpoints can't be served.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The address can't be bound, or the server's thread can't be started.
    #[error("can't serve admin endpoints on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The HTTP server can't be started.
    #[error("can't start the admin HTTP server: {0}")]
    Server(String),
}

/// Readiness of a process, shared between its reducer's driver and the admin
/// server.
#[derive(Clone, Debug, Default)]
pub struct Health(Arc<AtomicBool>);

impl Health {
    /// Sets whether the process accepts new work.
    pub fn set_ready(&self, ready: bool) {
        self.0.store(ready, Ordering::Release);
    }

    /// Returns whether the process accepts new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Renders the JSON text that `/status` serves.
pub type StatusPage = Box<dyn Fn() -> String + Send + Sync>;

/// Serves `/livez`, `/readyz`, `/metrics` and `/status`.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
}

impl AdminServer {
    /// Starts the endpoints on a separate thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound or the server can't be
    /// started.
    pub fn start(
        address: SocketAddr,
        health: Health,
        metrics: Metrics,
        status: StatusPage,
    ) -> Result<Self, AdminError> {
        let listener =
            TcpListener::bind(address).map_err(|source| AdminError::Listen { address, source })?;
        let address = listener
            .local_addr()
            .map_err(|source| AdminError::Listen { address, source })?;
        listener
            .set_nonblocking(true)
            .map_err(|source| AdminError::Listen { address, source })?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| AdminError::Server(e.to_string()))?;
        let endpoints = Arc::new(Endpoints {
            health,
            metrics,
            status,
        });
        std::thread::Builder::new()
            .name("admin".to_owned())
            .spawn(move || runtime.block_on(serve(listener, endpoints)))
            .map_err(|source| AdminError::Listen { address, source })?;
        Ok(Self { address })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// What the endpoints answer with.
struct Endpoints {
    health: Health,
    metrics: Metrics,
    status: StatusPage,
}

/// Serves the endpoints for as long as the process runs, on a limited number of connections.
async fn serve(listener: TcpListener, endpoints: Arc<Endpoints>) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!(error:display = e; "the admin endpoints can't be served");
            return;
        }
    };
    let limits = CallerLimits {
        connections: MAX_CONNECTIONS,
        body_bytes: 0,
        answer_bytes: 0,
    };
    let bounds = CallerBounds::new("admin", limits, Box::new(|_| ()));
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                let Some(open) = bounds.open() else {
                    continue;
                };
                tokio::spawn(serve_connection(tcp, open, Arc::clone(&endpoints)));
                bounds.has_room().await;
            }
            Err(e) => {
                log::warn!(error:display = e; "an admin client's connection can't be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(tcp: TcpStream, open: OpenConnection, endpoints: Arc<Endpoints>) {
    let open = &open;
    let service = service_fn(move |req| {
        let endpoints = Arc::clone(&endpoints);
        // The body of a request isn't read.
        let kept = open.begin().map(|(kept, _)| kept);
        async move {
            let resp = endpoints.answer(&req);
            Ok::<_, Infallible>(resp.map(|body| KeepingBody::new(body, kept)))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(tcp), service);
    tokio::select! {
        biased;
        () = open.given_up() => log::debug!("an admin client's connection is closed for a new one"),
        end = connection => if let Err(e) = end {
            log::debug!(error:display = e; "an admin client's connection ended with an error");
        }
    }
}

impl Endpoints {
    fn answer(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        let (code, text) = match (req.method(), req.uri().path()) {
            (&Method::GET, "/livez") => (StatusCode::OK, "ok\n".to_owned()),
            (&Method::GET, "/readyz") if self.health.is_ready() => {
                (StatusCode::OK, "ready\n".to_owned())
            }
            (&Method::GET, "/readyz") => {
                (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
            }
            (&Method::GET, "/status") => (StatusCode::OK, (self.status)()),
            (&Method::GET, "/metrics") => match self.metrics.render() {
                Ok(text) => (StatusCode::OK, text),
                Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{e}\n")),
            },
            _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
        };
        let mut resp = Response::new(Full::new(Bytes::from(text)));
        *resp.status_mut() = code;
        let plain = HeaderValue::from_static("text/plain; charset=utf-8");
        resp.headers_mut().insert(CONTENT_TYPE, plain);
        resp
    }
}

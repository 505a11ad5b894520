//! The health and metrics endpoints of a daemon.

use crate::Metrics;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tiny_http::{Method, Request, Response, Server};

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
        let server =
            Server::from_listener(listener, None).map_err(|e| AdminError::Server(e.to_string()))?;
        std::thread::Builder::new()
            .name("admin".to_owned())
            .spawn(move || {
                for req in server.incoming_requests() {
                    respond(req, &health, &metrics, &status);
                }
            })
            .map_err(|source| AdminError::Listen { address, source })?;
        Ok(Self { address })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn respond(req: Request, health: &Health, metrics: &Metrics, status: &StatusPage) {
    let path = req.url().split('?').next().unwrap_or_default();
    let (code, text) = match (req.method(), path) {
        (Method::Get, "/livez") => (200, "ok\n".to_owned()),
        (Method::Get, "/readyz") if health.is_ready() => (200, "ready\n".to_owned()),
        (Method::Get, "/readyz") => (503, "not ready\n".to_owned()),
        (Method::Get, "/status") => (200, status()),
        (Method::Get, "/metrics") => match metrics.render() {
            Ok(text) => (200, text),
            Err(e) => (500, format!("{e}\n")),
        },
        _ => (404, "not found\n".to_owned()),
    };
    if let Err(e) = req.respond(Response::from_string(text).with_status_code(code)) {
        log::debug!("an admin client disconnected before its response was written: {e}");
    }
}

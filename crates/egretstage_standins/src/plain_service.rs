//! The stand-in for a plain service, such as a ledger or a booking desk.

use crate::server::{Reply, StandInHandler, StandInRequest, serve};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Behaviour of the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainServiceOptions {
    /// How long each call takes.
    pub work: Duration,
}

/// A call that really ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedCall {
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The request's identity.
    pub request: Option<String>,
    /// The body.
    pub body: String,
    /// When it ran, in milliseconds since the service started.
    pub at_ms: u64,
}

/// Faults that a test switches on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainServiceFaults {
    /// Calls take effect, but their answers are lost.
    #[serde(default)]
    pub lose_answers: bool,
    /// Every call takes this much longer, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    ran: Vec<ExecutedCall>,
    faults: PlainServiceFaults,
}

/// The stand-in for a plain service.
///
/// It runs every call that it gets, also a repeated one, and records it.
/// `GET /ran` answers with the record.
#[derive(Debug)]
pub struct PlainServiceStandIn {
    options: PlainServiceOptions,
    started: Instant,
    state: Mutex<State>,
}

impl PlainServiceStandIn {
    /// Starts the service on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be used.
    pub fn start(
        address: SocketAddr,
        options: PlainServiceOptions,
    ) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let service = Arc::new(Self {
            options,
            started: Instant::now(),
            state: Mutex::default(),
        });
        let address = serve(address, Arc::clone(&service))?;
        Ok((service, address))
    }

    /// Returns the calls that really ran.
    #[must_use]
    pub fn executed_calls(&self) -> Vec<ExecutedCall> {
        self.lock().ran.clone()
    }

    /// Returns the time since the service started, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Switches faults on or off.
    pub fn set_faults(&self, faults: PlainServiceFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a call: the effect comes first, then the time that it takes.
    fn run(&self, call: &StandInRequest) -> (usize, PlainServiceFaults) {
        let text = |name: &str| call.header(name).map(ToOwned::to_owned);
        let ran = ExecutedCall {
            method: call.method.to_string(),
            path: call.path.clone(),
            key: text("idempotency-key"),
            request: text("egret-request-id"),
            body: String::from_utf8_lossy(&call.body).into_owned(),
            at_ms: self.now_ms(),
        };
        let mut state = self.lock();
        state.ran.push(ran);
        (state.ran.len(), state.faults)
    }
}

impl StandInHandler for PlainServiceStandIn {
    async fn answer(&self, call: StandInRequest) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/ran") => return Reply::ok(&self.executed_calls()),
            ("PUT", "/faults") => {
                return match serde_json::from_slice(&call.body) {
                    Ok(faults) => {
                        self.set_faults(faults);
                        Reply::ok(&faults)
                    }
                    Err(e) => Reply::error(400, &e.to_string()),
                };
            }
            _ => {}
        }
        let (run, faults) = self.run(&call);
        tokio::time::sleep(self.options.work + Duration::from_millis(faults.delay_ms)).await;
        if faults.lose_answers {
            return Reply::CloseConnection;
        }
        Reply::ok(&serde_json::json!({
            "run": run,
            "method": call.method.as_str(),
            "path": call.path,
            "key": call.header("idempotency-key"),
            "body": String::from_utf8_lossy(&call.body),
        }))
    }
}

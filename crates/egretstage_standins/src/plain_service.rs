//! Stand-in for a plain service, such as a ledger or a booking desk.

use crate::server::{Reply, StandInHandler, StandInRequest, serve};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Options of the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainServiceOptions {
    /// Duration of each call.
    pub work: Duration,
}

/// A call that the service executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedCall {
    /// HTTP method.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// The `Idempotency-Key` header of the request.
    pub key: Option<String>,
    /// The `Egret-Request-Id` header of the request.
    pub request: Option<String>,
    /// Body of the request.
    pub body: String,
    /// Time of execution, in milliseconds since the service started.
    pub at_ms: u64,
}

/// Faults that a test injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainServiceFaults {
    /// Calls take effect, but their answers are lost.
    #[serde(default)]
    pub lose_answers: bool,
    /// Extra duration of every call, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    executed: Vec<ExecutedCall>,
    faults: PlainServiceFaults,
}

/// Stand-in for a plain service.
///
/// It executes and records every call, including repeated ones. `GET /ran`
/// returns the record.
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

    /// Returns the calls that the service executed.
    #[must_use]
    pub fn executed_calls(&self) -> Vec<ExecutedCall> {
        self.lock().executed.clone()
    }

    /// Returns the time since the service started, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: PlainServiceFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a call before its duration has passed, so that its effect comes
    /// first. Returns the number of calls so far and the active faults.
    fn execute(&self, request: &StandInRequest) -> (usize, PlainServiceFaults) {
        let text = |name: &str| request.header(name).map(ToOwned::to_owned);
        let executed_call = ExecutedCall {
            method: request.method.to_string(),
            path: request.path.clone(),
            key: text("idempotency-key"),
            request: text("egret-request-id"),
            body: String::from_utf8_lossy(&request.body).into_owned(),
            at_ms: self.now_ms(),
        };
        let mut state = self.lock();
        state.executed.push(executed_call);
        (state.executed.len(), state.faults)
    }
}

impl StandInHandler for PlainServiceStandIn {
    async fn answer(&self, request: StandInRequest) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/ran") => return Reply::ok(&self.executed_calls()),
            ("PUT", "/faults") => {
                return match serde_json::from_slice(&request.body) {
                    Ok(faults) => {
                        self.set_faults(faults);
                        Reply::ok(&faults)
                    }
                    Err(e) => Reply::error(400, &e.to_string()),
                };
            }
            _ => {}
        }
        let (call_count, faults) = self.execute(&request);
        tokio::time::sleep(self.options.work + Duration::from_millis(faults.delay_ms)).await;
        if faults.lose_answers {
            return Reply::CloseConnection;
        }
        Reply::ok(&serde_json::json!({
            "run": call_count,
            "method": request.method.as_str(),
            "path": request.path,
            "key": request.header("idempotency-key"),
            "body": String::from_utf8_lossy(&request.body),
        }))
    }
}

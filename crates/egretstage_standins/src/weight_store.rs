//! Stand-in for the platform's rate-limited weight store.

use crate::server::{Reply, StandInHandler, StandInRequest, serve};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreOptions {
    /// Bytes per second over all transfers.
    pub bytes_per_second: u64,
    /// Longest wait in the queue; transfers that would wait longer are refused.
    pub max_wait: Duration,
}

impl Default for WeightStoreOptions {
    fn default() -> Self {
        Self {
            bytes_per_second: 1 << 30,
            max_wait: Duration::from_secs(2),
        }
    }
}

/// A completed transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The model group.
    pub group: String,
    /// Index of the layer.
    pub layer: u16,
    /// The rank that received the weights.
    pub rank: u16,
    /// Index of the expert.
    pub expert: u16,
    /// Size in bytes.
    pub bytes: u64,
}

#[derive(Debug)]
struct State {
    next_start: Instant,
    completed: Vec<Transfer>,
}

/// Stand-in for the platform's rate-limited weight store.
#[derive(Debug)]
pub struct WeightStoreStandIn {
    options: WeightStoreOptions,
    state: Mutex<State>,
}

impl WeightStoreStandIn {
    /// Starts the store on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be used.
    pub fn start(
        address: SocketAddr,
        options: WeightStoreOptions,
    ) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self {
            options,
            state: Mutex::new(State {
                next_start: Instant::now(),
                completed: Vec::new(),
            }),
        });
        let address = serve(address, Arc::clone(&store))?;
        Ok((store, address))
    }

    /// Returns the completed transfers.
    #[must_use]
    pub fn completed_transfers(&self) -> Vec<Transfer> {
        self.lock().completed.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a transfer and returns the time at which it is completed, or `None`
    /// if it would wait longer than the limit.
    fn reserve(&self, bytes: u64) -> Option<Instant> {
        let mut state = self.lock();
        let now = Instant::now();
        let start = state.next_start.max(now);
        if start - now > self.options.max_wait {
            return None;
        }
        let nanos = u128::from(bytes) * 1_000_000_000 / u128::from(self.options.bytes_per_second);
        state.next_start = start + Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        Some(state.next_start)
    }
}

impl StandInHandler for WeightStoreStandIn {
    async fn answer(&self, request: StandInRequest) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/transfers") => Reply::ok(&self.completed_transfers()),
            ("POST", "/transfers") => {
                let transfer: Transfer = match serde_json::from_slice(&request.body) {
                    Ok(transfer) => transfer,
                    Err(e) => return Reply::error(400, &e.to_string()),
                };
                let Some(completed_at) = self.reserve(transfer.bytes) else {
                    return Reply::error(429, "the store's rate is used up");
                };
                tokio::time::sleep_until(completed_at.into()).await;
                self.lock().completed.push(transfer);
                Reply::ok(&serde_json::json!({}))
            }
            _ => Reply::error(404, "no such path"),
        }
    }
}

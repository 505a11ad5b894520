//! Stand-in for the platform's instance list, which lags behind changes.

use crate::server::{Reply, StandInHandler, StandInRequest, serve};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A change of the list that becomes visible after the lag.
#[derive(Clone, Debug)]
struct PendingChange {
    visible_at: Instant,
    instance: String,
    /// The new list entry; `None` removes the instance.
    list_entry: Option<serde_json::Value>,
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<String, serde_json::Value>,
    pending: Vec<PendingChange>,
}

/// Stand-in for the platform's instance list, which lags behind changes.
///
/// `GET /instances` returns the list. `PUT /instances/NAME` with the list entry
/// as JSON adds or changes an instance, and `DELETE /instances/NAME` removes
/// it; both changes become visible after the lag.
#[derive(Debug)]
pub struct InstanceListStandIn {
    lag: Duration,
    state: Mutex<State>,
}

impl InstanceListStandIn {
    /// Starts the list on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be used.
    pub fn start(address: SocketAddr, lag: Duration) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let list = Arc::new(Self {
            lag,
            state: Mutex::default(),
        });
        let address = serve(address, Arc::clone(&list))?;
        Ok((list, address))
    }

    /// Adds or changes an instance; visible after the lag.
    pub fn put(&self, instance: &str, list_entry: serde_json::Value) {
        self.add_change(instance, Some(list_entry));
    }

    /// Removes an instance; visible after the lag.
    pub fn remove(&self, instance: &str) {
        self.add_change(instance, None);
    }

    fn add_change(&self, instance: &str, list_entry: Option<serde_json::Value>) {
        self.lock().pending.push(PendingChange {
            visible_at: Instant::now() + self.lag,
            instance: instance.to_owned(),
            list_entry,
        });
    }

    /// Applies the changes whose lag has passed and returns the list.
    fn visible_entries(&self) -> Vec<serde_json::Value> {
        let mut state = self.lock();
        let now = Instant::now();
        let (due, pending) = std::mem::take(&mut state.pending)
            .into_iter()
            .partition::<Vec<_>, _>(|pending| pending.visible_at <= now);
        state.pending = pending;
        for due_change in due {
            match due_change.list_entry {
                Some(list_entry) => state.entries.insert(due_change.instance, list_entry),
                None => state.entries.remove(&due_change.instance),
            };
        }
        state.entries.values().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandInHandler for InstanceListStandIn {
    async fn answer(&self, request: StandInRequest) -> Reply {
        let name = request.path.strip_prefix("/instances/");
        match (request.method.as_str(), name) {
            ("GET", None) if request.path == "/instances" => Reply::ok(&self.visible_entries()),
            ("PUT", Some(name)) => match serde_json::from_slice(&request.body) {
                Ok(list_entry) => {
                    self.put(name, list_entry);
                    Reply::ok(&"noted")
                }
                Err(e) => Reply::error(400, &e.to_string()),
            },
            ("DELETE", Some(name)) => {
                self.remove(name);
                Reply::ok(&"noted")
            }
            _ => Reply::error(404, "no such path"),
        }
    }
}

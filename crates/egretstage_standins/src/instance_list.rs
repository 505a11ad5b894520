//! The stand-in for the platform's lagging list of instances.

use crate::server::{Reply, StandInHandler, StandInRequest, serve};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// One change of the list, visible after the lag.
#[derive(Clone, Debug)]
struct Change {
    visible: Instant,
    instance: String,
    entry: Option<serde_json::Value>,
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<String, serde_json::Value>,
    pending: Vec<Change>,
}

/// The stand-in for the platform's lagging list of instances.
///
/// `GET /instances` answers with the list. `PUT /instances/NAME` with the
/// entry as JSON adds or changes an instance and `DELETE /instances/NAME`
/// removes it; both show after the lag.
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

    /// Adds or changes an instance, visible after the lag.
    pub fn put(&self, instance: &str, entry: serde_json::Value) {
        self.change(instance, Some(entry));
    }

    /// Removes an instance, visible after the lag.
    pub fn remove(&self, instance: &str) {
        self.change(instance, None);
    }

    fn change(&self, instance: &str, entry: Option<serde_json::Value>) {
        self.lock().pending.push(Change {
            visible: Instant::now() + self.lag,
            instance: instance.to_owned(),
            entry,
        });
    }

    fn visible(&self) -> Vec<serde_json::Value> {
        let mut state = self.lock();
        let now = Instant::now();
        let (due, pending) = std::mem::take(&mut state.pending)
            .into_iter()
            .partition::<Vec<_>, _>(|change| change.visible <= now);
        state.pending = pending;
        for change in due {
            match change.entry {
                Some(entry) => state.entries.insert(change.instance, entry),
                None => state.entries.remove(&change.instance),
            };
        }
        state.entries.values().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandInHandler for InstanceListStandIn {
    async fn answer(&self, call: StandInRequest) -> Reply {
        let name = call.path.strip_prefix("/instances/");
        match (call.method.as_str(), name) {
            ("GET", None) if call.path == "/instances" => Reply::ok(&self.visible()),
            ("PUT", Some(name)) => match serde_json::from_slice(&call.body) {
                Ok(entry) => {
                    self.put(name, entry);
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

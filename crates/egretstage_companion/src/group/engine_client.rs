//! The HTTP client of an engine rank.
//!
//! Published protocol: `POST /rank` with an [`EngineCall`] returns an
//! [`EngineReply`].

use egretstage_group::{EngineCall, EngineReply, MemberEvent, NoEngineReply};
use egretstage_platform::limited_agent;
use egretstage_runtime::EventSender;
use miette::IntoDiagnostic;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

/// Timeout of a call that isn't an order and may be repeated at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of an order, which may load weights.
const ORDER_TIMEOUT: Duration = Duration::from_mins(10);

/// Largest body of an answer.
const MAX_ANSWER_BYTES: u64 = 1024 * 1024;

/// Sends calls to an engine rank, one at a time.
#[derive(Debug)]
pub(crate) struct EngineClient(Sender<EngineCall>);

impl EngineClient {
    /// Starts the client's thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub(crate) fn start(
        address: SocketAddr,
        events: EventSender<MemberEvent>,
    ) -> miette::Result<Self> {
        let (tx, rx) = channel();
        let url = format!("http://{address}/rank");
        let config = ureq::Agent::config_builder().build();
        let agent = limited_agent(config, MAX_ANSWER_BYTES);
        let thread = std::thread::Builder::new().name("rank-engine".to_owned());
        let spawned = thread.spawn(move || {
            for call in rx {
                let result = post(&agent, &url, &call);
                events.send(MemberEvent::EngineCallEnded(result.map_err(|e| {
                    log::debug!(error:display = e; "call to the engine failed");
                    NoEngineReply
                })));
            }
        });
        spawned.into_diagnostic()?;
        Ok(Self(tx))
    }

    /// Requests a call; its result arrives as an event.
    pub(crate) fn call(&self, call: EngineCall) {
        let _ = self.0.send(call);
    }
}

fn post(agent: &ureq::Agent, url: &str, call: &EngineCall) -> Result<EngineReply, ureq::Error> {
    let timeout = match call {
        EngineCall::Order(_) => ORDER_TIMEOUT,
        _ => CALL_TIMEOUT,
    };
    let req = agent.post(url).config().timeout_global(Some(timeout));
    req.build().send_json(call)?.body_mut().read_json()
}

//! Calls engines, each client on its own thread.

use crossbeam_channel::{Receiver, Sender, unbounded};
use egretstage_passes::{
    EngineCounts, EngineReport, ExpertLists, FencedOrder, MemberEvent, OrderEnd,
};
use egretstage_platform::PlatformError;
use egretstage_runtime::EventSender;
use std::net::SocketAddr;

/// Client of the engines of ranks.
pub trait PassEngine: Send {
    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine gives no answer or an invalid one.
    fn read_report(&self, engine: SocketAddr) -> Result<EngineReport, PlatformError>;

    /// Reads the version of the map in use and the experts that the rank holds.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine gives no answer or an invalid one.
    fn read_expert_lists(&self, engine: SocketAddr) -> Result<(u64, ExpertLists), PlatformError>;

    /// Reads how often each expert was chosen.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine gives no answer or an invalid one.
    fn read_expert_counts(&self, engine: SocketAddr) -> Result<EngineCounts, PlatformError>;

    /// Sends an order to an engine and returns how it ended.
    fn send_order(&self, engine: SocketAddr, order: &FencedOrder) -> OrderEnd;
}

/// A call to an engine.
#[derive(Debug)]
pub(crate) enum EngineCall {
    /// Reads the own engine's report, to which the followed decider's fencing
    /// number is attached.
    Report(u64),
    /// Reads the experts that the rank holds.
    ExpertLists,
    /// Reads the own engine's expert counts.
    ExpertCounts,
    /// Reads the report of another rank's engine.
    RemoteReport(SocketAddr),
    /// Sends an order, and reads the engine's report if the result isn't known.
    Order {
        engine: SocketAddr,
        issuer: Option<SocketAddr>,
        number: u64,
        order: Box<FencedOrder>,
    },
}

/// Queue of calls to engines, which a thread makes one after the other.
#[derive(Debug)]
pub(crate) struct EngineCalls(Sender<EngineCall>);

impl EngineCalls {
    /// Starts a thread for calls to the own engine or to others.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread can't be started.
    pub(crate) fn start(
        name: &str,
        client: Box<dyn PassEngine>,
        own_engine: SocketAddr,
        events: EventSender<MemberEvent>,
    ) -> std::io::Result<Self> {
        let (tx, rx) = unbounded();
        let thread = std::thread::Builder::new().name(name.to_owned());
        thread.spawn(move || run(&*client, own_engine, &rx, &events))?;
        Ok(Self(tx))
    }

    /// Queues a call. A read is skipped if several calls wait already.
    pub(crate) fn call(&self, call: EngineCall) {
        let may_skip = !matches!(call, EngineCall::Order { .. });
        if may_skip && self.0.len() > MAX_QUEUED_CALLS {
            return;
        }
        // The send can't fail: the thread ends only with the process.
        drop(self.0.send(call));
    }
}

/// Queued calls above which a read is skipped: the next read returns newer
/// data.
const MAX_QUEUED_CALLS: usize = 2;

/// Makes the queued calls and sends their results to the member.
fn run(
    client: &dyn PassEngine,
    own_engine: SocketAddr,
    rx: &Receiver<EngineCall>,
    events: &EventSender<MemberEvent>,
) {
    let mut reachable = true;
    for call in rx {
        let event = match call {
            EngineCall::Report(followed_fence) => client
                .read_report(own_engine)
                .map(|report| MemberEvent::ReportRead(Box::new(report), followed_fence)),
            EngineCall::ExpertLists => client
                .read_expert_lists(own_engine)
                .map(|(version, lists)| MemberEvent::ListsRead(version, lists)),
            EngineCall::ExpertCounts => client
                .read_expert_counts(own_engine)
                .map(MemberEvent::CountsRead),
            EngineCall::RemoteReport(engine) => client
                .read_report(engine)
                .map(|report| MemberEvent::RemoteReportRead(engine, Box::new(report))),
            EngineCall::Order {
                engine,
                issuer,
                number,
                order,
            } => {
                let end = client.send_order(engine, &order);
                // The issuer waits for the answer and knows the effect of an
                // accepted order, and a read from another instance has a cost.
                let is_remote = issuer.is_some() || engine != own_engine;
                let is_result_known = is_remote && end == OrderEnd::Accepted;
                let report = if is_result_known {
                    None
                } else {
                    client.read_report(engine).ok().map(Box::new)
                };
                Ok(MemberEvent::OrderEnded {
                    issuer,
                    number,
                    end,
                    report,
                })
            }
        };
        match event {
            Ok(event) => {
                if !reachable {
                    log::info!(dependency = "engine"; "regained");
                }
                reachable = true;
                events.send(event);
            }
            Err(e) => {
                if reachable {
                    log::warn!(dependency = "engine", error:display = e; "lost");
                }
                reachable = false;
            }
        }
    }
}

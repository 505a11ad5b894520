//! Calls to engines, on threads of their own.

use crossbeam_channel::{Receiver, Sender, unbounded};
use egretstage_passes::{
    EngineCounts, EngineReport, ExpertLists, FencedOrder, MemberEvent, OrderEnd,
};
use egretstage_platform::PlatformError;
use egretstage_runtime::EventSender;
use std::net::SocketAddr;

/// The engine of a rank.
pub trait PassEngine: Send {
    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine doesn't answer as it should.
    fn read_report(&self, engine: SocketAddr) -> Result<EngineReport, PlatformError>;

    /// Reads the version of the map in use and the experts that the rank holds.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine doesn't answer as it should.
    fn read_expert_lists(&self, engine: SocketAddr) -> Result<(u64, ExpertLists), PlatformError>;

    /// Reads how often each expert was chosen.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine doesn't answer as it should.
    fn read_expert_counts(&self, engine: SocketAddr) -> Result<EngineCounts, PlatformError>;

    /// Gives an order.
    fn send_order(&self, engine: SocketAddr, order: &FencedOrder) -> OrderEnd;
}

/// A call to an engine.
#[derive(Debug)]
pub(crate) enum EngineCall {
    /// Comes back with the report.
    Report(u64),
    Lists,
    Counts,
    Look(SocketAddr),
    Order {
        engine: SocketAddr,
        giver: Option<SocketAddr>,
        number: u64,
        order: Box<FencedOrder>,
    },
}

/// Makes the calls to engines, one after the other.
#[derive(Debug)]
pub(crate) struct EngineCalls(Sender<EngineCall>);

impl EngineCalls {
    /// Starts a thread that calls the engine beside the companion, or others.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread can't be started.
    pub(crate) fn start(
        name: &str,
        client: Box<dyn PassEngine>,
        own: SocketAddr,
        events: EventSender<MemberEvent>,
    ) -> std::io::Result<Self> {
        let (tx, rx) = unbounded();
        let thread = std::thread::Builder::new().name(name.to_owned());
        thread.spawn(move || run(&*client, own, &rx, &events))?;
        Ok(Self(tx))
    }

    /// Makes a call, unless several wait already.
    pub(crate) fn call(&self, call: EngineCall) {
        let may_skip = !matches!(call, EngineCall::Order { .. });
        if may_skip && self.0.len() > MAX_WAITING_READS {
            return;
        }
        // The thread ends with the process.
        drop(self.0.send(call));
    }
}

/// Calls that may wait before a read is left out: the next one tells more.
const MAX_WAITING_READS: usize = 2;

fn run(
    client: &dyn PassEngine,
    own: SocketAddr,
    rx: &Receiver<EngineCall>,
    events: &EventSender<MemberEvent>,
) {
    let mut reachable = true;
    for call in rx {
        let event = match call {
            EngineCall::Report(follows) => client
                .read_report(own)
                .map(|report| MemberEvent::Reported(Box::new(report), follows)),
            EngineCall::Lists => client
                .read_expert_lists(own)
                .map(|(version, lists)| MemberEvent::Listed(version, lists)),
            EngineCall::Counts => client.read_expert_counts(own).map(MemberEvent::Counted),
            EngineCall::Look(engine) => client
                .read_report(engine)
                .map(|report| MemberEvent::Looked(engine, Box::new(report))),
            EngineCall::Order {
                engine,
                giver,
                number,
                order,
            } => {
                let end = client.send_order(engine, &order);
                // The giver waits, and knows what an accepted order does; to read
                // from another instance has its price.
                let is_elsewhere = giver.is_some() || engine != own;
                let known = is_elsewhere && end == OrderEnd::Accepted;
                let report = if known {
                    None
                } else {
                    client.read_report(engine).ok().map(Box::new)
                };
                Ok(MemberEvent::OrderEnded {
                    giver,
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

//! Runs the dispatcher and passes its effects to the tasks that carry them out.

use crate::configuration_fetch::ConfigurationFetcher;
use crate::metrics::GatewayMetrics;
use egretstage_dispatch::{
    Attempt, CallKey, DecisionLine, DispatchEffect, DispatchEvent, Dispatcher, LoadReport, Refusal,
    RoutingTable, UnknownCause,
};
use egretstage_observe::{DecisionRecord, DecisionWriter, Health};
use egretstage_runtime::LocalLoop;
use egretstage_wire::InstanceId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, watch};

/// Command of the dispatcher to the task of a call.
#[derive(Debug)]
pub(crate) enum Command {
    /// Send the call to an upstream.
    Send(Box<Attempt>),
    /// End the call without an upstream's answer.
    Refuse(Refusal),
    /// Pass on the error answer of the last failed attempt.
    PassOn,
    /// End the attempt of the stream, to resume it at another upstream.
    Abandon(UnknownCause),
}

/// A line of the decision log.
#[derive(Debug, serde::Serialize)]
#[serde(transparent)]
pub(crate) struct LoggedDecision(DecisionLine);

impl DecisionRecord for LoggedDecision {
    fn verb(&self) -> &'static str {
        self.0.verb
    }
}

/// Receivers of the effects that don't belong to a single call.
pub(crate) struct EffectTargets {
    pub(crate) reports: UnboundedSender<Box<LoadReport>>,
    pub(crate) close_idle: UnboundedSender<InstanceId>,
    pub(crate) fetcher: ConfigurationFetcher,
    pub(crate) table: watch::Sender<Option<Arc<RoutingTable>>>,
    pub(crate) closing: watch::Sender<bool>,
    pub(crate) stopped: Rc<Notify>,
    pub(crate) health: Health,
    pub(crate) decisions: DecisionWriter<LoggedDecision>,
    pub(crate) metrics: Rc<GatewayMetrics>,
}

type CommandSenders = Rc<RefCell<HashMap<CallKey, UnboundedSender<Command>>>>;

/// Runs a dispatcher on the entry's thread.
pub(crate) struct Driver {
    dispatch_loop: RefCell<LocalLoop<Dispatcher>>,
    calls: CommandSenders,
    next_call: Cell<u64>,
    /// Notifies the timer task that the next wake-up is earlier than before.
    wake_moved: Notify,
    wake_at: Cell<Instant>,
}

impl Driver {
    pub(crate) fn new(dispatcher: Dispatcher, targets: EffectTargets) -> Rc<Self> {
        let calls = CommandSenders::default();
        let sink_calls = Rc::clone(&calls);
        let sink = Box::new(move |effect| carry_out(effect, &sink_calls, &targets));
        Rc::new(Self {
            dispatch_loop: RefCell::new(LocalLoop::new(dispatcher, sink)),
            calls,
            next_call: Cell::new(0),
            wake_moved: Notify::new(),
            wake_at: Cell::new(Instant::now()),
        })
    }

    /// Opens a call and returns the receiver of its commands.
    pub(crate) fn open_call(&self) -> (CallKey, UnboundedReceiver<Command>) {
        let call = CallKey(self.next_call.get());
        self.next_call.set(call.0 + 1);
        let (tx, rx) = unbounded_channel();
        self.calls.borrow_mut().insert(call, tx);
        (call, rx)
    }

    /// Drops the command channel of a call that has ended.
    pub(crate) fn close_call(&self, call: CallKey) {
        self.calls.borrow_mut().remove(&call);
    }

    /// Passes an event to the dispatcher and updates the timer.
    pub(crate) fn handle_event(&self, event: DispatchEvent) {
        let now = Instant::now();
        let mut dispatch_loop = self.dispatch_loop.borrow_mut();
        dispatch_loop.event(now, event);
        let wake_at = dispatch_loop.next_wake(now);
        if wake_at < self.wake_at.get() {
            self.wake_at.set(wake_at);
            self.wake_moved.notify_one();
        }
    }

    /// Wakes the dispatcher at the times that it requests.
    pub(crate) async fn run_timer(self: Rc<Self>) {
        loop {
            let wake_at = tokio::time::Instant::from_std(self.wake_at.get());
            tokio::select! {
                () = tokio::time::sleep_until(wake_at) => {
                    let now = Instant::now();
                    let mut dispatch_loop = self.dispatch_loop.borrow_mut();
                    dispatch_loop.wake(now);
                    self.wake_at.set(dispatch_loop.next_wake(now));
                }
                () = self.wake_moved.notified() => {}
            }
        }
    }
}

fn carry_out(effect: DispatchEffect, calls: &CommandSenders, targets: &EffectTargets) {
    targets.metrics.count(&effect);
    match effect {
        DispatchEffect::Send { call, attempt } => send_to(calls, call, Command::Send(attempt)),
        DispatchEffect::Refuse { call, refusal } => send_to(calls, call, Command::Refuse(refusal)),
        DispatchEffect::PassOn { call } => send_to(calls, call, Command::PassOn),
        DispatchEffect::Abandon { call, cause } => {
            send_to(calls, call, Command::Abandon(cause));
        }
        DispatchEffect::Log(line) => targets.decisions.write(Box::new(LoggedDecision(*line))),
        DispatchEffect::Ready(ready) => targets.health.set_ready(ready),
        DispatchEffect::Configured(table) => {
            targets.table.send_replace(Some(table));
        }
        DispatchEffect::CloseConnections => {
            targets.closing.send_replace(true);
        }
        DispatchEffect::Stopped => targets.stopped.notify_one(),
        // The receiving tasks run as long as the process, so a send fails only
        // during shutdown.
        DispatchEffect::Report(report) => drop(targets.reports.send(report)),
        DispatchEffect::FetchConfiguration { peer } => targets.fetcher.fetch(&peer),
        DispatchEffect::CloseIdle(instance) => drop(targets.close_idle.send(instance)),
    }
}

/// Sends a command to the task of a call; does nothing if the call is closed.
fn send_to(calls: &CommandSenders, call: CallKey, command: Command) {
    if let Some(tx) = calls.borrow().get(&call) {
        drop(tx.send(command));
    }
}

//! Runs the dispatcher and hands its effects to the tasks that carry them out.

use crate::meters::GatewayMeters;
use egretstage_dispatch::{
    Attempt, CallKey, DecisionLine, DispatchEffect, DispatchEvent, Dispatcher, LoadReport, Refusal,
    RoutingTable,
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

/// What the dispatcher tells the task of a call.
#[derive(Debug)]
pub(crate) enum Command {
    /// Send it to an upstream.
    Send(Box<Attempt>),
    /// End it without an upstream's answer.
    Refuse(Refusal),
    /// Pass on the error answer that is held.
    PassOn,
    /// Take the stream from its upstream.
    Abandon,
}

/// A decision as a log line.
#[derive(Debug, serde::Serialize)]
#[serde(transparent)]
pub(crate) struct LoggedDecision(DecisionLine);

impl DecisionRecord for LoggedDecision {
    fn verb(&self) -> &'static str {
        self.0.verb
    }
}

/// What the dispatcher tells tasks that belong to no call.
pub(crate) struct Outlets {
    pub(crate) reports: UnboundedSender<Box<LoadReport>>,
    pub(crate) close_idle: UnboundedSender<InstanceId>,
    pub(crate) table: watch::Sender<Option<Arc<RoutingTable>>>,
    pub(crate) closing: watch::Sender<bool>,
    pub(crate) stopped: Rc<Notify>,
    pub(crate) health: Health,
    pub(crate) decisions: DecisionWriter<LoggedDecision>,
    pub(crate) meters: Rc<GatewayMeters>,
}

type Calls = Rc<RefCell<HashMap<CallKey, UnboundedSender<Command>>>>;

/// The running dispatcher.
pub(crate) struct Driver {
    run: RefCell<LocalLoop<Dispatcher>>,
    calls: Calls,
    next_call: Cell<u64>,
    /// Wakes the timer's task when the next wake-up has moved ahead.
    moved: Notify,
    wake_at: Cell<Instant>,
}

impl Driver {
    pub(crate) fn new(dispatcher: Dispatcher, outlets: Outlets) -> Rc<Self> {
        let calls = Calls::default();
        let known = Rc::clone(&calls);
        let sink = Box::new(move |effect| carry_out(effect, &known, &outlets));
        Rc::new(Self {
            run: RefCell::new(LocalLoop::new(dispatcher, sink)),
            calls,
            next_call: Cell::new(0),
            moved: Notify::new(),
            wake_at: Cell::new(Instant::now()),
        })
    }

    /// Opens a call and returns what it will be told.
    pub(crate) fn open(&self) -> (CallKey, UnboundedReceiver<Command>) {
        let call = CallKey(self.next_call.get());
        self.next_call.set(call.0 + 1);
        let (tx, rx) = unbounded_channel();
        self.calls.borrow_mut().insert(call, tx);
        (call, rx)
    }

    /// Forgets a call that has ended.
    pub(crate) fn close(&self, call: CallKey) {
        self.calls.borrow_mut().remove(&call);
    }

    /// Lets the dispatcher handle an event.
    pub(crate) fn event(&self, event: DispatchEvent) {
        let now = Instant::now();
        let mut run = self.run.borrow_mut();
        run.event(now, event);
        let wake_at = run.next_wake(now);
        if wake_at < self.wake_at.get() {
            self.wake_at.set(wake_at);
            self.moved.notify_one();
        }
    }

    /// Wakes the dispatcher whenever it has asked for it.
    pub(crate) async fn run_timer(self: Rc<Self>) {
        loop {
            let wake_at = tokio::time::Instant::from_std(self.wake_at.get());
            tokio::select! {
                () = tokio::time::sleep_until(wake_at) => {
                    let now = Instant::now();
                    let mut run = self.run.borrow_mut();
                    run.wake(now);
                    self.wake_at.set(run.next_wake(now));
                }
                () = self.moved.notified() => {}
            }
        }
    }
}

fn carry_out(effect: DispatchEffect, calls: &Calls, outlets: &Outlets) {
    outlets.meters.count(&effect);
    match effect {
        DispatchEffect::Send { call, attempt } => tell(calls, call, Command::Send(attempt)),
        DispatchEffect::Refuse { call, refusal } => tell(calls, call, Command::Refuse(refusal)),
        DispatchEffect::PassOn { call } => tell(calls, call, Command::PassOn),
        DispatchEffect::Abandon { call } => tell(calls, call, Command::Abandon),
        DispatchEffect::Log(line) => outlets.decisions.write(Box::new(LoggedDecision(*line))),
        DispatchEffect::Ready(ready) => outlets.health.set_ready(ready),
        DispatchEffect::Configured(table) => {
            outlets.table.send_replace(Some(table));
        }
        DispatchEffect::CloseConnections => {
            outlets.closing.send_replace(true);
        }
        DispatchEffect::Stopped => outlets.stopped.notify_one(),
        // These tasks live as long as the process; a send after their end is
        // part of the shutdown.
        DispatchEffect::Report(report) => drop(outlets.reports.send(report)),
        DispatchEffect::CloseIdle(instance) => drop(outlets.close_idle.send(instance)),
    }
}

/// Tells the task of a call; one whose caller is gone hears nothing more.
fn tell(calls: &Calls, call: CallKey, command: Command) {
    if let Some(tx) = calls.borrow().get(&call) {
        drop(tx.send(command));
    }
}

//! The entry as a process.

use crate::http::{Answers, CallerServer, bind};
use crate::{DecisionLine, EntryEffect, EntryEvent, EntryLimits, EntryReducer, feeds};
use egretstage_config::settings::EntrySettings;
use egretstage_link::{LinkIdentity, LinkKey, LinkObserver, LinkTable, dial};
use egretstage_observe::{AdminServer, DECISION_TARGET, Health, Metrics};
use egretstage_platform::{HttpAppendLog, HttpInstanceList};
use egretstage_routing::{PredictedFirstToken, PredictionLimits};
use egretstage_runtime::{EventLoop, EventSender, on_stop_signal};
use egretstage_wire::{Frame, Hello, Incarnation, InstanceId, PROTOCOL_VERSION, Role};
use miette::{IntoDiagnostic, WrapErr};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Threads for callers' connections and links.
const IO_THREADS: usize = 2;

/// Runs an entry until it has stopped.
///
/// # Errors
///
/// Returns an error when an address can't be used or a thread can't start.
pub fn run(settings: &EntrySettings) -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(IO_THREADS)
        .enable_all()
        .build()
        .into_diagnostic()?;
    let incarnation = Incarnation(rand::random());
    let (events, rx) = EventLoop::channel();
    let health = Health::default();
    let answers = Answers::default();
    let (stop_listening, listening) = watch::channel(false);
    let identity = LinkIdentity::new(
        hello(settings, incarnation),
        settings.process.link_key.expose(),
    )
    .into_diagnostic()?;
    let sink = Sink {
        answers: answers.clone(),
        table: LinkTable::default(),
        identity: Arc::new(identity),
        observer: Arc::new(Observer(events.clone())),
        events: events.clone(),
        io: runtime.handle().clone(),
        health: health.clone(),
        stop_listening,
    };
    let zone = settings.process.zone.clone();
    let limits = EntryLimits {
        not_ready_grace: Duration::from_millis(settings.callers.not_ready_grace_ms),
        ..EntryLimits::default()
    };
    let spawned = EventLoop::spawn("reducer", rx, move || {
        let policy = PredictedFirstToken::new(PredictionLimits::default(), rand::random());
        let policy = Box::new(policy);
        let reducer = EntryReducer::new(Instant::now(), zone, incarnation, limits, policy);
        let mut sink = sink;
        (reducer, Box::new(move |effect| sink.carry_out(effect)))
    });
    spawned.into_diagnostic()?;
    let admin = settings.process.admin_listen;
    let metrics = Metrics::new().into_diagnostic()?;
    AdminServer::start(admin, health, metrics, Box::new(|| "{}".to_owned())).into_diagnostic()?;
    start_feeds(settings, &events)?;
    let tx = events.clone();
    on_stop_signal(move || tx.send(EntryEvent::Stop)).into_diagnostic()?;
    let server = CallerServer::new(events, answers, incarnation, &settings.callers);
    runtime.block_on(async move {
        let address = settings.callers.listen;
        let listener = bind(address)
            .into_diagnostic()
            .wrap_err_with(|| format!("callers' address {address} can't be used"))?;
        log::info!(address:display = address; "entry started");
        Arc::new(server).run(listener, listening).await;
        Ok::<_, miette::Report>(())
    })?;
    runtime.shutdown_background();
    log::info!("entry stopped");
    Ok(())
}

fn hello(settings: &EntrySettings, incarnation: Incarnation) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        role: Role::Entry,
        instance: settings.process.instance.clone(),
        incarnation,
        zone: settings.process.zone.clone(),
        service: None,
    }
}

fn start_feeds(settings: &EntrySettings, events: &EventSender<EntryEvent>) -> miette::Result<()> {
    let log = HttpAppendLog::new(&settings.process.log_url);
    let tx = events.clone();
    std::thread::Builder::new()
        .name("log-feed".to_owned())
        .spawn(move || feeds::follow_log(&log, &tx))
        .into_diagnostic()?;
    let list = HttpInstanceList::new(&settings.process.list_url);
    let tx = events.clone();
    std::thread::Builder::new()
        .name("list-feed".to_owned())
        .spawn(move || feeds::follow_list(&list, &tx))
        .into_diagnostic()?;
    Ok(())
}

/// Turns what happens on links into events.
struct Observer(EventSender<EntryEvent>);

impl LinkObserver for Observer {
    fn link_up(&self, link: LinkKey, hello: Hello) {
        log::info!(link = link.0, peer = hello.instance.as_str(); "link up");
        let hello = Box::new(hello);
        self.0.send(EntryEvent::LinkUp { link, hello });
    }

    fn frame(&self, link: LinkKey, frame: Frame) {
        self.0.send(EntryEvent::Frame { link, frame });
    }

    fn link_down(&self, link: LinkKey, reason: String) {
        log::info!(link = link.0, reason = reason.as_str(); "link down");
        self.0.send(EntryEvent::LinkDown { link });
    }
}

/// Carries out the reducer's effects.
struct Sink {
    answers: Answers,
    table: LinkTable,
    identity: Arc<LinkIdentity>,
    observer: Arc<Observer>,
    events: EventSender<EntryEvent>,
    io: Handle,
    health: Health,
    stop_listening: watch::Sender<bool>,
}

impl Sink {
    fn carry_out(&mut self, effect: EntryEffect) {
        match effect {
            EntryEffect::Answer { call, part } => self.answers.send(call, part),
            EntryEffect::Send { link, frame } => self.table.send(link, frame),
            EntryEffect::Dial { instance, address } => self.dial(instance, address),
            EntryEffect::Close(link) => self.table.close(link),
            EntryEffect::Log(line) => log_decision(&line),
            EntryEffect::Ready(ready) => self.health.set_ready(ready),
            EntryEffect::StopListening => {
                self.stop_listening.send_replace(true);
            }
        }
    }

    fn dial(&self, instance: InstanceId, address: SocketAddr) {
        let identity = Arc::clone(&self.identity);
        let table = self.table.clone();
        let observer: Arc<Observer> = Arc::clone(&self.observer);
        let events = self.events.clone();
        self.io.spawn(async move {
            if let Err(e) = dial(address, identity, table, observer).await {
                log::debug!(peer = instance.as_str(), error:display = e; "dial failed");
                events.send(EntryEvent::DialFailed { instance });
            }
        });
    }
}

fn log_decision(line: &DecisionLine) {
    let message = if line.refused.is_some() {
        "refuse"
    } else {
        "route"
    };
    log::info!(target: DECISION_TARGET, decision:serde = line; "{message}");
}

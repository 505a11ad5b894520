//! The entry process: threads, sockets and the execution of effects.

use crate::http::{AnswerRouter, CallerServer};
use crate::metrics::EntryMetrics;
use crate::owners_append::{self, OwnersAppend};
use crate::{DecisionLine, EntryEffect, EntryEvent, EntryLimits, EntryReducer, feeds};
use crossbeam_channel::Sender;
use egretstage_caller_io::{CallerBounds, CallerLimits};
use egretstage_config::settings::EntrySettings;
use egretstage_link::{LinkId, LinkIdentity, LinkObserver, LinkTable, dial};
use egretstage_observe::{
    AdminServer, DecisionLog, DecisionRecord, DecisionWriter, Health, Metrics, NodeStatus,
    StatusBoard,
};
use egretstage_platform::{HttpAppendLog, HttpInstanceList};
use egretstage_relay::{ConfigurationUpdate, Relay};
use egretstage_routing::{PredictedFirstToken, PredictedFirstTokenParams};
use egretstage_runtime::{EventLoop, EventSender, bind_listener, on_stop_signal};
use egretstage_wire::{Frame, Hello, Incarnation, InstanceId, PROTOCOL_VERSION, Role};
use miette::{IntoDiagnostic, WrapErr};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Number of threads for callers' connections and links.
const IO_THREADS: usize = 2;

/// Runs an entry until its planned stop has completed.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a thread can't be started.
pub fn run(settings: &EntrySettings) -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(IO_THREADS)
        .enable_all()
        .build()
        .into_diagnostic()?;
    let incarnation = Incarnation(rand::random());
    let (events, rx) = EventLoop::channel();
    let health = Health::default();
    let metrics = Metrics::new().into_diagnostic()?;
    let decisions = DecisionLog::<DecisionLine>::start().into_diagnostic()?;
    let answers = AnswerRouter::default();
    let (stop_listening, listening) = watch::channel(false);
    let identity = LinkIdentity::new(
        local_hello(settings, incarnation),
        settings.process.link_key.expose(),
    )
    .into_diagnostic()?;
    let link_table = LinkTable::default();
    let board = StatusBoard::new(initial_status(settings, incarnation));
    let relay = start_relay(settings, &events, &link_table, &board)?;
    let observer = Observer {
        events: events.clone(),
        relay,
    };
    let owners_records = owners_append::start(&settings.process.log_url).into_diagnostic()?;
    let executor = EffectExecutor {
        owners_records,
        answers: answers.clone(),
        metrics: EntryMetrics::new(&metrics),
        decisions: decisions.writer(),
        link_table,
        board: board.clone(),
        identity: Arc::new(identity),
        observer: Arc::new(observer),
        events: events.clone(),
        io_runtime: runtime.handle().clone(),
        health: health.clone(),
        stop_listening,
    };
    let zone = settings.process.zone.clone();
    let limits = EntryLimits {
        not_ready_grace: Duration::from_millis(settings.callers.not_ready_grace_ms),
        remove_owner_after: Duration::from_millis(settings.callers.remove_owner_after_ms),
        ..EntryLimits::default()
    };
    let spawned = EventLoop::spawn("reducer", rx, move || {
        let policy = PredictedFirstToken::new(PredictedFirstTokenParams::default(), rand::random());
        let policy = Box::new(policy);
        let reducer = EntryReducer::new(Instant::now(), zone, incarnation, limits, policy);
        let mut executor = executor;
        (reducer, Box::new(move |effect| executor.execute(effect)))
    });
    spawned.into_diagnostic()?;
    let callers = CallerLimits {
        connections: settings.callers.max_connections,
        body_bytes: settings.callers.max_all_bodies_bytes,
        // Its answers are passed on in parts.
        answer_bytes: 0,
    };
    let (bounds, _caller_gauges) = CallerBounds::with_metrics(callers, &metrics.meter());
    let admin = settings.process.admin_listen;
    AdminServer::start(admin, health, metrics, board.page()).into_diagnostic()?;
    start_list_feed(settings, &events)?;
    let tx = events.clone();
    on_stop_signal(move || tx.send(EntryEvent::Stop)).into_diagnostic()?;
    let server = CallerServer::new(events, answers, incarnation, &settings.callers, bounds);
    runtime.block_on(async move {
        let address = settings.callers.listen;
        let listener = bind_listener(address)
            .and_then(TcpListener::from_std)
            .into_diagnostic()
            .wrap_err_with(|| format!("can't bind the callers' address {address}"))?;
        log::info!(address:display = address; "entry started");
        Arc::new(server).run(listener, listening).await;
        Ok::<_, miette::Report>(())
    })?;
    runtime.shutdown_background();
    decisions.finish();
    log::info!("entry stopped");
    Ok(())
}

fn local_hello(settings: &EntrySettings, incarnation: Incarnation) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        role: Role::Entry,
        instance: settings.process.instance.clone(),
        incarnation,
        zone: settings.process.zone.clone(),
        service: None,
    }
}

fn initial_status(settings: &EntrySettings, incarnation: Incarnation) -> NodeStatus {
    NodeStatus::starting(
        settings.process.instance.clone(),
        Role::Entry,
        settings.process.zone.clone(),
        None,
        incarnation,
    )
}

/// Starts the relay, which follows the configuration on the log, or on linked
/// companions while the log is down.
fn start_relay(
    settings: &EntrySettings,
    events: &EventSender<EntryEvent>,
    link_table: &LinkTable,
    board: &StatusBoard,
) -> miette::Result<Relay> {
    let log = Arc::new(HttpAppendLog::new(&settings.process.log_url));
    let interval = settings.configuration.checkpoint_interval();
    let tx = events.clone();
    let forward_update = move |update| {
        tx.send(match update {
            ConfigurationUpdate::Configured {
                offset,
                configuration,
            } => EntryEvent::ConfigurationChanged {
                offset,
                configuration,
            },
            ConfigurationUpdate::Incomplete => EntryEvent::ConfigurationIncomplete,
        });
    };
    Relay::start(
        Some(log),
        interval,
        link_table.clone(),
        board.clone(),
        forward_update,
    )
    .into_diagnostic()
}

fn start_list_feed(
    settings: &EntrySettings,
    events: &EventSender<EntryEvent>,
) -> miette::Result<()> {
    let list = HttpInstanceList::new(&settings.process.list_url);
    let tx = events.clone();
    std::thread::Builder::new()
        .name("list-feed".to_owned())
        .spawn(move || feeds::poll_list(&list, &tx))
        .into_diagnostic()?;
    Ok(())
}

/// Forwards link events to the reducer and to the configuration relay.
struct Observer {
    events: EventSender<EntryEvent>,
    relay: Relay,
}

impl LinkObserver for Observer {
    fn link_up(&self, link: LinkId, hello: Hello) {
        log::info!(link = link.0, peer = hello.instance.as_str(); "link up");
        let hello = Box::new(hello);
        self.events.send(EntryEvent::LinkUp { link, hello });
        self.relay.link_up(link);
    }

    fn frame(&self, link: LinkId, frame: Frame) {
        match frame {
            Frame::Configuration(frame) => self.relay.frame_received(link, frame),
            frame => self.events.send(EntryEvent::Frame { link, frame }),
        }
    }

    fn link_down(&self, link: LinkId, reason: String) {
        log::info!(link = link.0, reason = reason.as_str(); "link down");
        self.events.send(EntryEvent::LinkDown { link });
        self.relay.link_down(link);
    }
}

/// Executes the reducer's effects.
struct EffectExecutor {
    owners_records: Sender<OwnersAppend>,
    answers: AnswerRouter,
    metrics: EntryMetrics,
    decisions: DecisionWriter<DecisionLine>,
    link_table: LinkTable,
    board: StatusBoard,
    identity: Arc<LinkIdentity>,
    observer: Arc<Observer>,
    events: EventSender<EntryEvent>,
    io_runtime: Handle,
    health: Health,
    stop_listening: watch::Sender<bool>,
}

impl EffectExecutor {
    fn execute(&mut self, effect: EntryEffect) {
        self.metrics.count(&effect);
        match effect {
            EntryEffect::Answer { call, part } => self.answers.send(call, part),
            EntryEffect::Send { link, frame } => self.link_table.send(link, frame),
            EntryEffect::Dial { instance, address } => self.dial(instance, address),
            EntryEffect::Close(link) => self.link_table.close(link),
            EntryEffect::Log(line) => self.decisions.write(line),
            EntryEffect::AppendOwners { service, record } => {
                let _ = self.owners_records.send(OwnersAppend { service, record });
            }
            EntryEffect::SetReady(ready) => self.health.set_ready(ready),
            EntryEffect::PublishStatus(status) => self.board.set_work(*status),
            EntryEffect::StopListening => {
                self.stop_listening.send_replace(true);
            }
        }
    }

    fn dial(&self, instance: InstanceId, address: SocketAddr) {
        let identity = Arc::clone(&self.identity);
        let link_table = self.link_table.clone();
        let observer: Arc<Observer> = Arc::clone(&self.observer);
        let events = self.events.clone();
        self.io_runtime.spawn(async move {
            if let Err(e) = dial(address, identity, link_table, observer).await {
                log::debug!(peer = instance.as_str(), error:display = e; "can't dial the companion");
                events.send(EntryEvent::DialFailed { instance });
            }
        });
    }
}

impl DecisionRecord for DecisionLine {
    fn verb(&self) -> &'static str {
        if self.refused.is_some() {
            "refuse"
        } else {
            "route"
        }
    }
}

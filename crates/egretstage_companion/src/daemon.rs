//! The companion process: threads, sockets and the execution of effects.

use crate::group::{GroupHandle, SenderLock};
use crate::metrics::CompanionMetrics;
use crate::owners_feed;
use crate::upstream::UpstreamClient;
use crate::{
    CompanionEffect, CompanionEvent, CompanionLimits, CompanionReducer, DecisionLine, KeyOptions,
};
use crossbeam_channel::Sender;
use egretstage_config::settings::{CompanionSettings, UpstreamKind};
use egretstage_link::{LinkIdentity, LinkKey, LinkObserver, LinkTable, serve};
use egretstage_observe::{
    AdminServer, DecisionLog, DecisionRecord, DecisionWriter, Health, Metrics, NodeStatus,
    StatusBoard,
};
use egretstage_once::{KeyOwnerLimits, OwnersRecord};
use egretstage_relay::{ConfigurationUpdate, Relay};
use egretstage_runtime::{EventLoop, EventSender, on_stop_signal};
use egretstage_wire::{Frame, Hello, Incarnation, Member, PROTOCOL_VERSION, Role};
use miette::{IntoDiagnostic, WrapErr, miette};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Number of threads for the links and the connections to the upstream.
const IO_THREADS: usize = 2;

/// Runs a companion until it stops.
///
/// # Errors
///
/// Returns an error if an address can't be bound, a thread can't be started or
/// the reducer ends early.
pub fn run(settings: &CompanionSettings) -> miette::Result<()> {
    let rank = settings.rank.as_ref();
    let _sender_lock = rank
        .map(|rank| SenderLock::acquire(rank.sender_lock))
        .transpose()
        .into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(IO_THREADS)
        .enable_all()
        .build()
        .into_diagnostic()?;
    let (events, rx) = EventLoop::channel();
    let health = Health::default();
    let metrics = Metrics::new().into_diagnostic()?;
    let decisions = DecisionLog::<DecisionLine>::start().into_diagnostic()?;
    let link_table = LinkTable::default();
    let readiness = health.clone();
    let links = link_table.clone();
    let (exit, mut exited) = watch::channel(false);
    let incarnation = Incarnation(rand::random());
    let identity = LinkIdentity::new(
        local_hello(settings, incarnation),
        settings.process.link_key.expose(),
    );
    let identity = Arc::new(identity.into_diagnostic()?);
    let board = StatusBoard::new(initial_status(settings, incarnation));
    let io_runtime = runtime.handle();
    let group = rank
        .map(|rank| GroupHandle::start(settings, rank, &identity, &link_table, &board, io_runtime))
        .transpose()?;
    let client = UpstreamClient::new(
        settings.upstream.address,
        runtime.handle().clone(),
        events.clone(),
    );
    let relay = start_relay(&events, &link_table, &board)?;
    let keys = key_options(settings, incarnation);
    let owners = keys.as_ref().map(|keys| {
        let url = &settings.process.log_url;
        owners_feed::start(url, &keys.service, keys.limits.lease, &events)
    });
    let owners = owners.transpose().into_diagnostic()?;
    let mut executor = EffectExecutor {
        client,
        metrics: CompanionMetrics::new(&metrics),
        decisions: decisions.writer(),
        owners,
        link_table: link_table.clone(),
        board: board.clone(),
        health: health.clone(),
        exit,
    };
    let limits = CompanionLimits {
        slots: settings.upstream.slots,
    };
    let reducer_started = EventLoop::spawn("reducer", rx, move || {
        let mut reducer = CompanionReducer::new(Instant::now(), limits);
        if let Some(keys) = keys {
            reducer = reducer.with_keys(keys);
        }
        (reducer, Box::new(move |effect| executor.execute(effect)))
    });
    reducer_started.into_diagnostic()?;
    let admin = settings.process.admin_listen;
    AdminServer::start(admin, health, metrics, board.page()).into_diagnostic()?;
    let tx = events.clone();
    on_stop_signal(move || tx.send(CompanionEvent::Stop)).into_diagnostic()?;
    runtime.block_on(async move {
        let address = settings.listen;
        let listener = TcpListener::bind(address)
            .await
            .into_diagnostic()
            .wrap_err_with(|| format!("can't bind the link address {address}"))?;
        log::info!(address:display = address; "companion started");
        readiness.set_ready(true);
        let observer = Arc::new(Observer {
            events,
            relay,
            group,
        });
        tokio::spawn(serve(listener, identity, link_table, observer));
        exited
            .wait_for(|exit| *exit)
            .await
            .map_err(|_| miette!("the reducer thread ended before the stop was complete"))?;
        links.close_all().await;
        Ok::<_, miette::Report>(())
    })?;
    runtime.shutdown_background();
    decisions.finish();
    log::info!("companion stopped");
    Ok(())
}

fn initial_status(settings: &CompanionSettings, incarnation: Incarnation) -> NodeStatus {
    NodeStatus::starting(
        settings.process.instance.clone(),
        Role::Companion,
        settings.process.zone.clone(),
        Some(settings.upstream.service.clone()),
        incarnation,
    )
}

/// Starts the relay, which receives the configuration from the linked entries and
/// keeps no checkpoints.
fn start_relay(
    events: &EventSender<CompanionEvent>,
    link_table: &LinkTable,
    board: &StatusBoard,
) -> miette::Result<Relay> {
    let tx = events.clone();
    let forward_update = move |update| {
        if let ConfigurationUpdate::Configured {
            offset,
            configuration,
        } = update
        {
            tx.send(CompanionEvent::ConfigurationChanged {
                offset,
                configuration,
            });
        }
    };
    let no_checkpoints = Duration::MAX;
    Relay::start(
        None,
        no_checkpoints,
        link_table.clone(),
        board.clone(),
        forward_update,
    )
    .into_diagnostic()
}

fn local_hello(settings: &CompanionSettings, incarnation: Incarnation) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        role: Role::Companion,
        instance: settings.process.instance.clone(),
        incarnation,
        zone: settings.process.zone.clone(),
        service: Some(settings.upstream.service.clone()),
    }
}

/// Returns the options for idempotency keys; none unless the upstream is a plain
/// service.
fn key_options(settings: &CompanionSettings, incarnation: Incarnation) -> Option<KeyOptions> {
    let keys = &settings.keys;
    (settings.upstream.kind == UpstreamKind::Plain).then(|| KeyOptions {
        service: settings.upstream.service.clone(),
        member: Member {
            instance: settings.process.instance.clone(),
            incarnation,
        },
        limits: KeyOwnerLimits {
            window: Duration::from_millis(keys.window_ms),
            longest_budget: Duration::from_millis(keys.longest_budget_ms),
            lease: Duration::from_millis(keys.lease_ms),
            max_keys: keys.max_keys,
            refresh_interval: Duration::from_millis(keys.refresh_interval_ms),
        },
        max_answer_bytes: keys.max_answer_bytes,
        max_held_bytes: keys.max_held_bytes,
    })
}

/// Forwards link events to the reducer, the relay and the group member.
struct Observer {
    events: EventSender<CompanionEvent>,
    relay: Relay,
    group: Option<GroupHandle>,
}

impl LinkObserver for Observer {
    fn link_up(&self, link: LinkKey, hello: Hello) {
        log::info!(link = link.0, peer = hello.instance.as_str(); "link up");
        match &self.group {
            Some(group) if hello.role == Role::Companion => group.link_up(link, &hello),
            _ => {
                let hello = Box::new(hello);
                self.events.send(CompanionEvent::LinkUp { link, hello });
                self.relay.link_up(link);
            }
        }
    }

    fn frame(&self, link: LinkKey, frame: Frame) {
        match (&self.group, frame) {
            (_, Frame::Configuration(frame)) => self.relay.frame_received(link, frame),
            (Some(group), Frame::Group(frame)) => group.frame(link, *frame),
            (_, frame) => self.events.send(CompanionEvent::Frame { link, frame }),
        }
    }

    fn link_down(&self, link: LinkKey, reason: String) {
        log::info!(link = link.0, reason = reason.as_str(); "link down");
        if let Some(group) = &self.group {
            group.link_down(link);
        }
        self.events.send(CompanionEvent::LinkDown { link });
        self.relay.link_down(link);
    }
}

/// Executes the reducer's effects.
struct EffectExecutor {
    client: UpstreamClient,
    metrics: CompanionMetrics,
    decisions: DecisionWriter<DecisionLine>,
    owners: Option<Sender<OwnersRecord>>,
    link_table: LinkTable,
    board: StatusBoard,
    health: Health,
    exit: watch::Sender<bool>,
}

impl EffectExecutor {
    fn execute(&mut self, effect: CompanionEffect) {
        self.metrics.count(&effect);
        match effect {
            CompanionEffect::Send { link, frame } => self.link_table.send(link, frame),
            CompanionEffect::Close(link) => self.link_table.close(link),
            CompanionEffect::StartUpstream { run, req } => self.client.start(run, *req),
            CompanionEffect::ReadUpstream { run, chunks } => self.client.allow_chunks(run, chunks),
            CompanionEffect::CancelUpstream(run) => self.client.cancel(run),
            CompanionEffect::Log(line) => self.decisions.write(line),
            CompanionEffect::AppendOwners(record) => {
                if let Some(owners) = &self.owners {
                    let _ = owners.send(*record);
                }
            }
            CompanionEffect::SetReady(ready) => self.health.set_ready(ready),
            CompanionEffect::PublishStatus(status) => self.board.set_work(*status),
            CompanionEffect::Exit => {
                self.exit.send_replace(true);
            }
        }
    }
}

impl DecisionRecord for DecisionLine {
    fn verb(&self) -> &'static str {
        "place"
    }
}

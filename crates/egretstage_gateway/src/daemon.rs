//! Runs an entry as a process.

use crate::announcement::Announcement;
use crate::configuration_fetch::ConfigurationFetcher;
use crate::dialect::Platform;
use crate::driver::{Driver, EffectTargets, LoggedDecision};
use crate::exchange::Gateway;
use crate::feeds::Feed;
use crate::metrics::GatewayMetrics;
use crate::peers::{self, PeerDirectory};
use crate::record_relay::{self, RecordCache};
use crate::settings::GatewaySettings;
use crate::upstream_pool::UpstreamPool;
use crate::{RecordDecoder, server};
use egretstage_caller_io::{CallerBounds, CallerLimits};
use egretstage_dispatch::{DispatchEvent, DispatchLimits, Dispatcher};
use egretstage_observe::{AdminServer, DecisionLog, Health, Metrics};
use egretstage_platform::KeyedStore;
use egretstage_runtime::{bind_listener, on_stop_signal};
use egretstage_wire::InstanceId;
use miette::{IntoDiagnostic, WrapErr};
use opentelemetry::metrics::Counter;
use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, channel, unbounded_channel};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Time between the latest end of a planned stop and the kill.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Longest wait for callers' connections to close after the latest end of the calls: shorter
/// than [`STOP_MARGIN`].
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs an entry until it stops.
///
/// # Errors
///
/// Returns an error when an address can't be used or a thread can't start.
pub fn run(settings: &GatewaySettings, platform: Platform) -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    let decisions = DecisionLog::<LoggedDecision>::start().into_diagnostic()?;
    let local = LocalSet::new();
    let served = local.block_on(&runtime, serve(settings, platform, &decisions));
    decisions.finish();
    served?;
    log::info!("entry stopped");
    Ok(())
}

async fn serve(
    settings: &GatewaySettings,
    platform: Platform,
    decisions: &DecisionLog<LoggedDecision>,
) -> miette::Result<()> {
    let health = Health::default();
    let metrics = Metrics::new().into_diagnostic()?;
    let cache = RecordCache::default();
    let peers = PeerDirectory::new(settings.instance.clone());
    let gateway_metrics = Rc::new(GatewayMetrics::new(&metrics, cache.clone()));
    let (reports, reports_rx) = unbounded_channel();
    let (close_idle, close_idle_rx) = unbounded_channel();
    let (table, table_rx) = watch::channel(None);
    let (closing, closing_rx) = watch::channel(false);
    let (ending, ending_rx) = watch::channel(false);
    let (events, events_rx) = unbounded_channel();
    let stopped = Rc::new(Notify::new());
    let passed_over = gateway_metrics.passed_over_records();
    let driver = Driver::new(
        new_dispatcher(settings),
        EffectTargets {
            reports,
            close_idle,
            fetcher: ConfigurationFetcher {
                cache: cache.clone(),
                peers: peers.clone(),
                decoder: Arc::clone(&platform.decoder),
                tx: events.clone(),
            },
            table,
            closing,
            stopped: Rc::clone(&stopped),
            health: health.clone(),
            decisions: decisions.writer(),
            metrics: gateway_metrics,
        },
    );
    let pool = Rc::new(UpstreamPool::default());
    let machine = settings.limits;
    let limits = CallerLimits::for_machine(machine.memory_bytes(), machine.descriptors());
    let (bounds, _caller_gauges) = CallerBounds::with_metrics(limits, &metrics.meter());
    let gateway = Rc::new(Gateway {
        bounds,
        driver: Rc::clone(&driver),
        pool: Rc::clone(&pool),
        dialect: Rc::from(platform.dialect),
        table: table_rx,
        closing: closing_rx,
        ending: ending_rx,
    });
    let address = settings.callers.listen;
    let listener = bind_listener(address)
        .and_then(TcpListener::from_std)
        .into_diagnostic()
        .wrap_err_with(|| format!("callers' address {address} can't be used"))?;
    let admin = settings.callers.admin_listen;
    AdminServer::start(admin, health, metrics, Box::new(|| "{}\n".to_owned())).into_diagnostic()?;
    start_feeds(
        settings,
        &platform.decoder,
        &*platform.new_store,
        &cache,
        &peers,
        &events,
        &passed_over,
    )?;
    let signalled_at = Arc::new(OnceLock::new());
    stop_on_signal(events, Arc::clone(&signalled_at))?;
    let socket = UdpSocket::bind(settings.peers.listen).await;
    let socket = Rc::new(socket.into_diagnostic()?);
    spawn_local(Rc::clone(&driver).run_timer());
    spawn_local(peers::send_reports(
        Rc::clone(&socket),
        reports_rx,
        peers.clone(),
    ));
    spawn_local(peers::receive_reports(socket, Rc::clone(&driver), peers));
    let records_listener = bind_listener(settings.peers.listen).and_then(TcpListener::from_std);
    let records_listener = records_listener.into_diagnostic()?;
    spawn_local(record_relay::serve(
        records_listener,
        cache,
        machine.descriptors(),
    ));
    spawn_local(handle_events(events_rx, Rc::clone(&driver)));
    spawn_local(close_idle_connections(close_idle_rx, pool));
    let (connection_guard, mut all_closed) = channel(1);
    let accepting = spawn_local(server::accept(listener, gateway, connection_guard));
    log::info!(address:display = address; "entry started");
    stopped.notified().await;
    accepting.abort();
    ending.send_replace(true);
    // Heads are still being read, and the last answers written.
    let signalled_at = signalled_at.get().copied().unwrap_or_else(Instant::now);
    let latest_end = signalled_at + stop_within(settings) + LAST_ANSWERS_TIMEOUT;
    let left = latest_end.saturating_duration_since(Instant::now());
    if timeout(left, all_closed.recv()).await.is_err() {
        log::warn!("callers' connections are still open at the end of the stop");
    }
    Ok(())
}

/// Returns the longest time of the calls in a planned stop.
fn stop_within(settings: &GatewaySettings) -> Duration {
    Duration::from_millis(settings.stop.grace_ms.get()).saturating_sub(STOP_MARGIN)
}

fn new_dispatcher(settings: &GatewaySettings) -> Dispatcher {
    let cost_ms = settings.zones.map(|zones| zones.cross_zone_cost_ms);
    let limits = DispatchLimits {
        stop_within: stop_within(settings),
        cross_zone_cost: cost_ms.map(|cost| Duration::from_millis(cost.get())),
        ..DispatchLimits::default()
    };
    let (entry, zone) = (settings.instance.clone(), settings.zone.clone());
    Dispatcher::new(Instant::now(), entry, zone, rand::random(), limits)
}

/// Starts the threads that follow the store's topics.
fn start_feeds(
    settings: &GatewaySettings,
    decoder: &Arc<dyn RecordDecoder>,
    new_store: &dyn Fn() -> Box<dyn KeyedStore>,
    cache: &RecordCache,
    peers: &PeerDirectory,
    events: &UnboundedSender<DispatchEvent>,
    passed_over: &Counter<u64>,
) -> miette::Result<()> {
    let (name, address) = (settings.instance.as_str(), settings.peers.listen);
    let announcement = Arc::new(Announcement::new(name, address, new_store()));
    let new_feed = || Feed {
        store: new_store(),
        decoder: Arc::clone(decoder),
        cache: cache.clone(),
        peers: peers.clone(),
        announcement: Arc::clone(&announcement),
        tx: events.clone(),
        passed_over: passed_over.clone(),
    };
    let freshness = settings.freshness;
    let feed = new_feed();
    spawn_thread("configuration", move || {
        feed.follow_configuration(freshness.max_configuration_delay());
    })?;
    let feed = new_feed();
    spawn_thread("upstreams", move || {
        feed.follow_upstreams(freshness.max_leaving_delay());
    })?;
    let feed = new_feed();
    spawn_thread("entries", move || feed.follow_entries())
}

fn spawn_thread(name: &str, body: impl FnOnce() + Send + 'static) -> miette::Result<()> {
    let thread = std::thread::Builder::new().name(name.to_owned());
    thread.spawn(body).into_diagnostic()?;
    Ok(())
}

fn stop_on_signal(
    events: UnboundedSender<DispatchEvent>,
    signalled_at: Arc<OnceLock<Instant>>,
) -> miette::Result<()> {
    on_stop_signal(move || {
        signalled_at.get_or_init(Instant::now);
        // The send fails only after the end of the entry's loop, when nothing
        // is left to stop.
        drop(events.send(DispatchEvent::Stop));
    })
    .into_diagnostic()
}

async fn handle_events(mut events: UnboundedReceiver<DispatchEvent>, driver: Rc<Driver>) {
    while let Some(event) = events.recv().await {
        driver.handle_event(event);
    }
}

async fn close_idle_connections(
    mut instances: UnboundedReceiver<InstanceId>,
    pool: Rc<UpstreamPool>,
) {
    while let Some(instance) = instances.recv().await {
        pool.close_idle(&instance);
    }
}

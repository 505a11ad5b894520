//! The entry as a process.

use crate::announcement::Announcement;
use crate::dialect::Platform;
use crate::driver::{Driver, LoggedDecision, Outlets};
use crate::exchange::Gateway;
use crate::feeds::{Feed, FeedNews};
use crate::meters::GatewayMeters;
use crate::peers::{self, PeerAddresses};
use crate::record_relay::{self, RecordBoard};
use crate::settings::GatewaySettings;
use crate::upstream_pool::UpstreamPool;
use crate::{RecordDecoder, server};
use egretstage_dispatch::{DispatchEvent, DispatchLimits, Dispatcher};
use egretstage_observe::{AdminServer, DecisionLog, Health, Metrics};
use egretstage_platform::KeyedStore;
use egretstage_runtime::{bind_listener, on_stop_signal};
use egretstage_wire::InstanceId;
use miette::{IntoDiagnostic, WrapErr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, channel, unbounded_channel};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Time before the kill at which a stop ends in any case.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Longest time after the last call's end until callers' connections close:
/// below the margin before the kill.
const LAST_ANSWERS: Duration = Duration::from_millis(300);

/// Runs an entry until it has stopped.
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
    let done = local.block_on(&runtime, serve(settings, platform, &decisions));
    decisions.finish();
    done?;
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
    let meters = Rc::new(GatewayMeters::new(&metrics));
    let (reports, report_rx) = unbounded_channel();
    let (close_idle, close_idle_rx) = unbounded_channel();
    let (table, table_rx) = watch::channel(None);
    let (closing, closing_rx) = watch::channel(false);
    let stopped = Rc::new(Notify::new());
    let driver = Driver::new(
        dispatcher(settings),
        Outlets {
            reports,
            close_idle,
            table,
            closing,
            stopped: Rc::clone(&stopped),
            health: health.clone(),
            decisions: decisions.writer(),
            meters,
        },
    );
    let pool = Rc::new(UpstreamPool::default());
    let gateway = Rc::new(Gateway {
        driver: Rc::clone(&driver),
        pool: Rc::clone(&pool),
        dialect: Rc::from(platform.dialect),
        table: table_rx,
        closing: closing_rx,
    });
    let address = settings.callers.listen;
    let listener = bind_listener(address)
        .and_then(TcpListener::from_std)
        .into_diagnostic()
        .wrap_err_with(|| format!("callers' address {address} can't be used"))?;
    let admin = settings.callers.admin_listen;
    AdminServer::start(admin, health, metrics, Box::new(|| "{}\n".to_owned())).into_diagnostic()?;
    let (news, news_rx) = unbounded_channel();
    let board = RecordBoard::default();
    start_feeds(
        settings,
        &platform.decoder,
        &*platform.new_store,
        &board,
        &news,
    )?;
    stop_on_signal(news)?;
    let socket = UdpSocket::bind(settings.peers.listen).await;
    let socket = Rc::new(socket.into_diagnostic()?);
    let (addresses, addresses_rx) = watch::channel(PeerAddresses::default());
    spawn_local(Rc::clone(&driver).run_timer());
    spawn_local(peers::send_reports(
        Rc::clone(&socket),
        report_rx,
        addresses_rx,
    ));
    spawn_local(peers::receive_reports(socket, Rc::clone(&driver)));
    let records = bind_listener(settings.peers.listen).and_then(TcpListener::from_std);
    let records = records.into_diagnostic()?;
    spawn_local(record_relay::show(records, board.clone()));
    spawn_local(take_news(news_rx, Rc::clone(&driver), addresses, board));
    spawn_local(close_idle_connections(close_idle_rx, pool));
    let (open, mut all_closed) = channel(1);
    let accepting = spawn_local(server::accept(listener, gateway, open));
    log::info!(address:display = address; "entry started");
    stopped.notified().await;
    accepting.abort();
    // The last answers are still on their way to callers' connections.
    if timeout(LAST_ANSWERS, all_closed.recv()).await.is_err() {
        log::warn!("callers' connections are open at the end of the stop");
    }
    Ok(())
}

fn dispatcher(settings: &GatewaySettings) -> Dispatcher {
    let grace = Duration::from_millis(settings.stop.grace_ms.get());
    let limits = DispatchLimits {
        stop_within: grace.saturating_sub(STOP_MARGIN),
        ..DispatchLimits::default()
    };
    let (entry, zone) = (settings.instance.clone(), settings.zone.clone());
    Dispatcher::new(Instant::now(), entry, zone, rand::random(), limits)
}

/// Starts the threads that read the store.
fn start_feeds(
    settings: &GatewaySettings,
    decoder: &Arc<dyn RecordDecoder>,
    store: &dyn Fn() -> Box<dyn KeyedStore>,
    board: &RecordBoard,
    news: &UnboundedSender<FeedNews>,
) -> miette::Result<()> {
    let announcement = Announcement::new(settings.instance.as_str(), settings.peers.listen);
    let announcement = Arc::new(announcement);
    let feed = || Feed {
        store: store(),
        board: board.clone(),
        announcement: Arc::clone(&announcement),
        tx: news.clone(),
    };
    let freshness = settings.freshness;
    let (reader, decode) = (feed(), Arc::clone(decoder));
    spawn("configuration", move || {
        reader.follow_configuration(&*decode, freshness.max_configuration_delay());
    })?;
    let (reader, decode) = (feed(), Arc::clone(decoder));
    spawn("upstreams", move || {
        reader.follow_upstreams(&*decode, freshness.max_leaving_delay());
    })?;
    let (reader, own) = (feed(), settings.instance.clone());
    spawn("entries", move || reader.follow_entries(&own))
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> miette::Result<()> {
    let thread = std::thread::Builder::new().name(name.to_owned());
    thread.spawn(run).into_diagnostic()?;
    Ok(())
}

fn stop_on_signal(news: UnboundedSender<FeedNews>) -> miette::Result<()> {
    on_stop_signal(move || {
        // A signal after the end of the loop has nothing left to stop.
        drop(news.send(FeedNews::Event(DispatchEvent::Stop)));
    })
    .into_diagnostic()
}

async fn take_news(
    mut news: UnboundedReceiver<FeedNews>,
    driver: Rc<Driver>,
    addresses: watch::Sender<PeerAddresses>,
    board: RecordBoard,
) {
    while let Some(news) = news.recv().await {
        match news {
            FeedNews::Event(event) => driver.event(event),
            FeedNews::Entry(name, address) => {
                board.add_peer(name.clone(), address);
                addresses.send_modify(|known| {
                    known.insert(name, address);
                });
            }
        }
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

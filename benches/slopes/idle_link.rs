//! What an open link costs while nothing is sent on it.

use super::measure::row;
use egretstage_link::{LinkId, LinkIdentity, LinkObserver, LinkTable, dial, serve};
use egretstage_wire::{Frame, Hello, Incarnation, InstanceId, PROTOCOL_VERSION, Role, ZoneName};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Links that are open.
const LINKS: u32 = 200;

/// How long they are watched.
const WATCHED: Duration = Duration::from_secs(5);

/// Time until all are open.
const OPENING: Duration = Duration::from_secs(2);

/// Bytes of the headers of a TCP segment on IPv4 with time stamps.
const SEGMENT_HEADERS: f64 = 52.0;

/// Clock ticks of the kernel's processor-time counters, in a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// What crossed one direction of all links.
#[derive(Debug, Default)]
struct Traffic {
    bytes: AtomicU64,
    reads: AtomicU64,
}

struct Quiet;

impl LinkObserver for Quiet {
    fn link_up(&self, _: LinkId, _: Hello) {}
    fn frame(&self, _: LinkId, _: Frame) {}
    fn link_down(&self, _: LinkId, _: String) {}
}

pub(crate) fn print() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(watch());
    runtime.shutdown_background();
}

async fn watch() {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let served = listen().await;
    let address = served.local_addr().expect("a bound address");
    tokio::spawn(serve(
        served,
        identity(),
        LinkTable::default(),
        Arc::new(Quiet),
    ));
    open_links(address).await;
    let change = region.change();
    let held = change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated);
    let held = u32::try_from(held).map_or(f64::NAN, f64::from);
    row(
        "link, memory of one end",
        held / f64::from(LINKS) / 2.0,
        "B",
    );
    let before = processor_seconds();
    tokio::time::sleep(WATCHED).await;
    let used = processor_seconds() - before;
    let each = used / WATCHED.as_secs_f64() / f64::from(LINKS) / 2.0;
    row("idle link, processor time of one end", each * 1e6, "µs/s");
    count_one(address).await;
}

/// Counts the bytes of one link through a forwarder.
async fn count_one(address: SocketAddr) {
    let forwarder = listen().await;
    let through = forwarder.local_addr().expect("a bound address");
    let (up, down) = (Arc::<Traffic>::default(), Arc::<Traffic>::default());
    let (counted_up, counted_down) = (Arc::clone(&up), Arc::clone(&down));
    tokio::spawn(async move {
        let (near, _) = forwarder.accept().await.expect("the link dials");
        let far = TcpStream::connect(address)
            .await
            .expect("the server listens");
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(forward(near_read, far_write, counted_up));
        forward(far_read, near_write, counted_down).await;
    });
    tokio::spawn(dial(
        through,
        identity(),
        LinkTable::default(),
        Arc::new(Quiet),
    ));
    tokio::time::sleep(OPENING).await;
    for (name, traffic) in [("entry to companion", up), ("companion to entry", down)] {
        let before = (read(&traffic.bytes), read(&traffic.reads));
        tokio::time::sleep(WATCHED).await;
        let bytes = (read(&traffic.bytes) - before.0) / WATCHED.as_secs_f64();
        let segments = (read(&traffic.reads) - before.1) / WATCHED.as_secs_f64();
        row(&format!("idle link, {name}"), bytes, "B/s");
        let with_headers = bytes + segments * SEGMENT_HEADERS;
        row(
            &format!("idle link, {name}, with TCP/IP headers"),
            with_headers,
            "B/s",
        );
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback is there")
}

async fn open_links(address: SocketAddr) {
    for _ in 0..LINKS {
        tokio::spawn(dial(
            address,
            identity(),
            LinkTable::default(),
            Arc::new(Quiet),
        ));
    }
    tokio::time::sleep(OPENING).await;
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, traffic: Arc<Traffic>) {
    let mut buf = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buf).await {
        traffic.bytes.fetch_add(count as u64, Ordering::Relaxed);
        traffic.reads.fetch_add(1, Ordering::Relaxed);
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

fn read(counter: &AtomicU64) -> f64 {
    u32::try_from(counter.load(Ordering::Relaxed)).map_or(f64::NAN, f64::from)
}

fn identity() -> Arc<LinkIdentity> {
    let hello = Hello {
        version: PROTOCOL_VERSION,
        role: Role::Entry,
        instance: InstanceId::try_from("entry-1").expect("valid"),
        incarnation: Incarnation(1),
        zone: ZoneName::try_from("zone-1").expect("valid"),
        service: None,
    };
    Arc::new(LinkIdentity::new(hello, "key").expect("a valid key"))
}

/// Returns the processor time of this process, user and system.
fn processor_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
    (ticks(11).unwrap_or(f64::NAN) + ticks(12).unwrap_or(f64::NAN)) / TICKS_PER_SECOND
}

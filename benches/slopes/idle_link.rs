//! Memory, processor time and traffic of a link on which no frames are sent.

use super::measure::print_slope;
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

/// Number of open links.
const OPEN_LINKS: u32 = 200;

/// Time over which the links are measured.
const MEASURED_TIME: Duration = Duration::from_secs(5);

/// Wait until all links are open.
const OPENING_TIME: Duration = Duration::from_secs(2);

/// Length of the headers of a TCP segment on IPv4 with time stamps.
const SEGMENT_HEADER_BYTES: f64 = 52.0;

/// Ticks per second of the kernel's processor-time counters.
const TICKS_PER_SECOND: f64 = 100.0;

/// Traffic in one direction, as counted by the forwarder.
#[derive(Debug, Default)]
struct Traffic {
    bytes: AtomicU64,
    reads: AtomicU64,
}

/// Ignores all events of links.
struct IgnoreEvents;

impl LinkObserver for IgnoreEvents {
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
    runtime.block_on(measure_links());
    runtime.shutdown_background();
}

async fn measure_links() {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let listener = listen().await;
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(serve(
        listener,
        identity(),
        LinkTable::default(),
        Arc::new(IgnoreEvents),
    ));
    open_links(address).await;
    let change = region.change();
    let held = change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated);
    let held = u32::try_from(held).map_or(f64::NAN, f64::from);
    print_slope(
        "link, memory of one end",
        held / f64::from(OPEN_LINKS) / 2.0,
        "B",
    );
    let before = processor_seconds();
    tokio::time::sleep(MEASURED_TIME).await;
    let processor_time = processor_seconds() - before;
    let per_end = processor_time / MEASURED_TIME.as_secs_f64() / f64::from(OPEN_LINKS) / 2.0;
    print_slope(
        "idle link, processor time of one end",
        per_end * 1e6,
        "µs/s",
    );
    measure_traffic(address).await;
}

/// Measures the traffic of one link through a forwarder.
async fn measure_traffic(address: SocketAddr) {
    let forwarder = listen().await;
    let forwarder_address = forwarder.local_addr().expect("a bound address");
    let (up, down) = (Arc::<Traffic>::default(), Arc::<Traffic>::default());
    let (counted_up, counted_down) = (Arc::clone(&up), Arc::clone(&down));
    tokio::spawn(async move {
        let (dialler, _) = forwarder.accept().await.expect("the link dials");
        let server = TcpStream::connect(address)
            .await
            .expect("the server listens");
        let (dialler_read, dialler_write) = dialler.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::spawn(forward(dialler_read, server_write, counted_up));
        forward(server_read, dialler_write, counted_down).await;
    });
    tokio::spawn(dial(
        forwarder_address,
        identity(),
        LinkTable::default(),
        Arc::new(IgnoreEvents),
    ));
    tokio::time::sleep(OPENING_TIME).await;
    for (name, traffic) in [("entry to companion", up), ("companion to entry", down)] {
        let before = (load_counter(&traffic.bytes), load_counter(&traffic.reads));
        tokio::time::sleep(MEASURED_TIME).await;
        let bytes = (load_counter(&traffic.bytes) - before.0) / MEASURED_TIME.as_secs_f64();
        let segments = (load_counter(&traffic.reads) - before.1) / MEASURED_TIME.as_secs_f64();
        print_slope(&format!("idle link, {name}"), bytes, "B/s");
        let with_headers = bytes + segments * SEGMENT_HEADER_BYTES;
        print_slope(
            &format!("idle link, {name}, with TCP/IP headers"),
            with_headers,
            "B/s",
        );
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback is available")
}

async fn open_links(address: SocketAddr) {
    for _ in 0..OPEN_LINKS {
        tokio::spawn(dial(
            address,
            identity(),
            LinkTable::default(),
            Arc::new(IgnoreEvents),
        ));
    }
    tokio::time::sleep(OPENING_TIME).await;
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

fn load_counter(counter: &AtomicU64) -> f64 {
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

/// Returns the user and system time of this process, in seconds.
fn processor_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    // The process's name ends field 2, so that `utime` and `stime`, fields 14 and 15,
    // are at the indices 11 and 12.
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
    (ticks(11).unwrap_or(f64::NAN) + ticks(12).unwrap_or(f64::NAN)) / TICKS_PER_SECOND
}

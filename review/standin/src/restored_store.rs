//! The operator writes a configuration a second after the store has come back from a copy.

use crate::Bench;
use crate::http::{Exchange, read_answer};
use crate::process::Entry;
use crate::runner::{Runner, working};
use crate::store::Store;
use crate::wire::wire;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long the store is away.
const AWAY: Duration = Duration::from_secs(2);

/// Age of the copy that the store comes back from.
const COPY_AGE: Duration = Duration::from_secs(2);

/// Time from the store's return to the operator's write.
const WRITE_DELAY: Duration = Duration::from_secs(1);

/// Time after the acknowledgement from which requests are judged: later than
/// `config-apply-ms` of 2 s, and than `contact-ms` of 3 s after the store's return.
const JUDGED_AFTER: Duration = Duration::from_secs(5);

/// Number of judged requests at each entry.
const REQUESTS: u32 = 10;

/// Sends a lookup with a key and returns its status, or 0 without an answer.
fn ask(bench: &Bench, address: SocketAddr, id: &str, path: &str, key: &str) -> u16 {
    let mut tcp = TcpStream::connect(address).expect("a connection");
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: desk.example\r\n{}: {id}\r\n{}: 3000\r\n\
         Authorization: Token {key}\r\n\r\n",
        wire("request-id"),
        wire("deadline"),
    );
    tcp.write_all(head.as_bytes())
        .expect("a request can be sent");
    let status = match read_answer(&tcp, Duration::from_secs(3)) {
        Exchange::Answered(answer) => answer.status,
        Exchange::Cut(_) | Exchange::TimedOut => 0,
    };
    let record = &bench.record;
    record.note(&format!(
        "client asks {path} with key {key} ({id}): {status}"
    ));
    status
}

/// Returns the first configuration, in which the carrier has two keys.
fn first_configuration() -> String {
    let config = include_str!("../config.json").replace("VERSION", "3");
    config.replace(r#""api-keys":["k1"]"#, r#""api-keys":["k1","k2"]"#)
}

/// Returns the next configuration: one key is taken away and a route is added.
fn next_configuration() -> String {
    let config = include_str!("../config.json").replace("VERSION", "5");
    let (before, after) = config
        .split_once(r#"  {"name":"r-lookups""#)
        .expect("a route");
    let (route, _) = after.split_once('\n').expect("its end");
    let added = route.replace("lookups", "archive");
    let added = added.trim_end_matches("],").trim_end_matches(',');
    format!(
        r#"{before}  {{"name":"r-archive"{added},{}  {{"name":"r-lookups"{after}"#,
        '\n'
    )
}

/// Runs the case with two entries.
pub fn run(bench: &Bench) -> bool {
    let record = &bench.record;
    let store = Store::start();
    let topic = wire("operator-topic");
    store.put(topic, "config", first_configuration().as_bytes());
    let runners: Vec<Runner> = ["i-0", "i-1"]
        .map(|id| {
            Runner::start(
                &store,
                id,
                "desk",
                working(Duration::from_millis(30)),
                record,
            )
        })
        .into();
    let start = |name| Entry::start(&bench.root, &bench.folder, name, store.address);
    let entries = [start("edge-west-1"), start("edge-west-2")];
    record.note("two entries are ready with version 3: keys k1 and k2");
    for (index, entry) in entries.iter().enumerate() {
        for key in ["k1", "k2"] {
            let id = format!("before-{index}-{key}");
            let status = ask(bench, entry.address, &id, "/lookups/7", key);
            assert_eq!(status, 200, "a calm request isn't served");
        }
    }
    std::thread::sleep(Duration::from_secs(4));
    let copy = store.copy();
    std::thread::sleep(COPY_AGE);
    if bench.has_trouble {
        record.note("the store is away");
        store.go_away();
    }
    std::thread::sleep(AWAY);
    if bench.has_trouble {
        store.come_back(&copy);
        record.note("the store is back from a copy that is 4 s old");
        for runner in &runners {
            runner.beat(&store);
        }
    }
    std::thread::sleep(WRITE_DELAY);
    store.put(topic, "config", next_configuration().as_bytes());
    let acknowledged = Instant::now();
    record.note("the store acknowledges version 5: key k2 is taken away, /archive/ is added");
    std::thread::sleep(JUDGED_AFTER);
    let mut stale = 0;
    for number in 0..REQUESTS {
        for (index, entry) in entries.iter().enumerate() {
            let id = format!("revoked-{index}-{number}");
            let is_run = ask(bench, entry.address, &id, "/lookups/7", "k2") == 200;
            let id = format!("added-{index}-{number}");
            let is_refused = ask(bench, entry.address, &id, "/archive/7", "k1") == 404;
            stale += u32::from(is_run) + u32::from(is_refused);
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let age = acknowledged.elapsed().as_secs();
    if stale > 0 {
        record.note(&format!(
            "CONFIG: {stale} of {} requests sent 5 to {age} s after the acknowledgement were \
             handled as only version 3 allows",
            4 * REQUESTS
        ));
    }
    stale > 0
}

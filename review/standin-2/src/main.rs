//! Plays a case of the review: stand-ins of the platform around the project's own processes.
//!
//! Usage: `review_standin_2 CASE ROOT RECORD`. `TROUBLE=0` leaves out the disruption.
//! Exit codes: 0 the rule held; 1 it was broken; 2 the case couldn't run.

mod clients;
mod companion;
mod engines;
mod entry;
mod http;
mod record;
mod runner;
mod store;
mod wire;

use clients::{Client, Crowd, DEADLINE_MS, End, KEY, Outcome, record_statuses};
use companion::Companion;
use engines::{Engines, Fate, Order, RANKS};
use entry::{Entry, resident_bytes};
use record::Log;
use runner::{Behaviour, Runner, describe};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use store::Store;
use wire::name;

/// Time of an ordinary request at a sound runner.
const WORK: Duration = Duration::from_millis(300);

/// Requests that a machine may pass on and leave unanswered.
const MAX_LOST: usize = 3;

/// The stand-ins and the entries of a case. Dropping it ends the entries.
struct Site {
    entries: Vec<Entry>,
    runners: Vec<Runner>,
    store: Store,
    log: Log,
    _folder: Folder,
}

/// A temporary folder, removed at the end.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

impl Site {
    /// Starts the store, the runners and two entries, and waits until these are ready.
    fn start(root: &Path, log: &Log, runners: &[(&str, Behaviour)]) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        let folder = Folder(path);
        let store = Store::start()?;
        store.put(name("operator-topic"), "config", wire::CONFIGURATION.trim());
        let start_runner = |(index, (service, behaviour)): (usize, &(&str, Behaviour))| {
            Runner::start(&store, service, &format!("i-{index:04}"), *behaviour)
        };
        let runners = runners.iter().enumerate().map(start_runner);
        let runners = runners.collect::<io::Result<Vec<_>>>()?;
        let start_entry = |name| Entry::start(root, &folder.0, name, &store);
        let entries = ["edge-1", "edge-2"].map(start_entry);
        let entries = entries.into_iter().collect::<io::Result<Vec<_>>>()?;
        if !entries.iter().all(Entry::wait_until_ready) {
            return Err(io::Error::other("an entry isn't ready"));
        }
        log.line("two entries are ready");
        let log = log.clone();
        Ok(Self {
            entries,
            runners,
            store,
            log,
            _folder: folder,
        })
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }

    /// Does what the platform does to the entries for a time.
    fn watch_for(&mut self, time: Duration) -> io::Result<()> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            for entry in &mut self.entries {
                entry.watch(&self.log)?;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn ends(&self) -> u32 {
        self.entries.iter().map(|entry| entry.ends).sum()
    }

    /// Returns the ids of the requests that a runner received.
    fn received(&self) -> HashSet<String> {
        let lists = self
            .runners
            .iter()
            .map(|r| r.received.lock().expect("not poisoned").clone());
        lists.flatten().collect()
    }

    /// Returns the ids of the requests that a runner ran.
    fn run(&self) -> HashSet<String> {
        let lists = self
            .runners
            .iter()
            .map(|r| r.run.lock().expect("not poisoned").clone());
        lists.flatten().collect()
    }

    /// Checks the rule LOST: no more than three requests from kept connections are passed on to
    /// a sound runner and left without an answer as their connections close.
    fn is_lost_kept(&self, outcomes: &[Outcome]) -> bool {
        let received = self.received();
        let is_lost = |outcome: &&Outcome| {
            matches!(outcome.end, End::Closed) && received.contains(&outcome.id)
        };
        let lost: Vec<&Outcome> = outcomes.iter().filter(is_lost).collect();
        for outcome in &lost {
            self.log.line(&format!(
                "request {} reached a sound runner, and its connection was closed without an answer \
                 {:?} ago",
                outcome.id,
                outcome.at.elapsed()
            ));
        }
        self.log.line(&format!(
            "ordinary requests: {}, lost: {}, allowed: {MAX_LOST}; ends of entries: {}",
            outcomes.len(),
            lost.len(),
            self.ends()
        ));
        lost.len() <= MAX_LOST
    }
}

/// Clients send long bodies to a service that is full and rejects them before they are in.
fn early(root: &Path, log: &Log, trouble: bool) -> io::Result<bool> {
    let full = Behaviour::Full {
        early: trouble,
        bytes_per_s: 200_000,
    };
    let sound = Behaviour::Sound(WORK);
    let runners = [
        ("core", full),
        ("core", full),
        ("core", full),
        ("archive", sound),
        ("archive", sound),
        ("archive", sound),
    ];
    let mut site = Site::start(root, log, &runners)?;
    let addresses = site.addresses();
    let ordinary = Crowd::start(&addresses, 6, ("POST", "/records/7"), &Arc::default());
    site.watch_for(Duration::from_secs(2))?;
    log.line("ten clients of each entry begin to send bodies of 4,000,000 bytes");
    let long_body = Arc::new(vec![b'x'; 4_000_000]);
    let pressing = Crowd::start(&addresses, 10, ("POST", "/bookings/7"), &long_body);
    for _ in 0..20 {
        site.watch_for(Duration::from_secs(1))?;
        for entry in &site.entries {
            let bytes = resident_bytes(entry.process_id()).unwrap_or(0);
            log.line(&format!("{}: {} MiB of memory", entry.name, bytes >> 20));
        }
        if site.ends() >= 3 {
            break;
        }
    }
    record_statuses(log, "clients with long bodies", &pressing.stop());
    let most = site.runners.iter().map(Runner::most_connections).max();
    log.line(&format!(
        "most connections at one runner: {}",
        most.unwrap_or(0)
    ));
    let outcomes = ordinary.stop();
    record_statuses(log, "ordinary clients", &outcomes);
    Ok(site.is_lost_kept(&outcomes))
}

/// One client states a very long time that it will wait.
fn deadline(root: &Path, log: &Log, trouble: bool) -> io::Result<bool> {
    let sound = Behaviour::Sound(WORK);
    let mut site = Site::start(
        root,
        log,
        &[("core", sound), ("core", sound), ("core", sound)],
    )?;
    let addresses = site.addresses();
    let ordinary = Crowd::start(&addresses, 6, ("GET", "/lookups/7"), &Arc::default());
    site.watch_for(Duration::from_secs(8))?;
    let time = if trouble {
        "16000000000000000000000"
    } else {
        DEADLINE_MS
    };
    // Retries of a client reach other nodes, each on a new connection.
    for address in addresses {
        let outcome = Client::new(address).send("GET", "/lookups/8", time, &[]);
        log.line(&format!(
            "a client that waits for {time} ms: {:?}",
            outcome.end
        ));
        site.watch_for(Duration::from_secs(1))?;
        if matches!(outcome.end, End::Answered(_)) {
            break;
        }
    }
    site.watch_for(Duration::from_secs(2))?;
    let outcomes = ordinary.stop();
    record_statuses(log, "ordinary clients", &outcomes);
    Ok(site.is_lost_kept(&outcomes))
}

/// Runners send additional bytes after some of their responses.
fn additional(root: &Path, log: &Log, trouble: bool) -> io::Result<bool> {
    let sound = Behaviour::Additional { every: None };
    // Three in a hundred responses of three runners in five.
    let faulty = Behaviour::Additional {
        every: trouble.then_some(33),
    };
    let runners = [
        ("core", faulty),
        ("core", faulty),
        ("core", faulty),
        ("core", sound),
        ("core", sound),
    ];
    let mut site = Site::start(root, log, &runners)?;
    let body = Arc::new(b"book".to_vec());
    let clients = Crowd::start(&site.addresses(), 10, ("POST", "/bookings/7"), &body);
    site.watch_for(Duration::from_secs(15))?;
    let outcomes = clients.stop();
    record_statuses(log, "clients", &outcomes);
    let run = site.run();
    let is_own_error = |outcome: &&Outcome| match &outcome.end {
        End::Answered(head) => {
            let (status, is_signed) = describe(head);
            (300..500).contains(&status) && ![408, 421, 429].contains(&status) && !is_signed
        }
        End::Closed | End::NotSent => false,
    };
    let denied: Vec<&Outcome> = outcomes.iter().filter(is_own_error).collect();
    for outcome in &denied {
        let was_run = run.contains(&outcome.id);
        log.line(&format!(
            "request {}: {}, unsigned; run: {was_run}",
            outcome.id,
            outcome.status()
        ));
    }
    let allowed = 5 + outcomes.len() / 500;
    log.line(&format!(
        "requests: {}, denied: {}, allowed: {allowed}",
        outcomes.len(),
        denied.len()
    ));
    Ok(denied.len() <= allowed)
}

/// Time after which a configuration is in force, with half a second to spare.
const CONFIGURATION_TIME: Duration = Duration::from_millis(2_500);

/// A key that no configuration ever held.
const UNKNOWN_KEY: &str = "k9";

/// The operator takes away the only organisation of a deployment, or only its keys.
fn keys(root: &Path, log: &Log, trouble: bool) -> io::Result<bool> {
    let sound = Behaviour::Sound(Duration::from_millis(20));
    let site = Site::start(root, log, &[("core", sound), ("core", sound)])?;
    let ask = |when: &str, key| {
        let mut outcomes = Vec::new();
        for address in site.addresses() {
            let mut client = Client::with_key(address, key);
            outcomes
                .extend((0..10).map(|_| client.send("POST", "/bookings/7", DEADLINE_MS, b"book")));
        }
        record_statuses(log, &format!("{when}, key {key}"), &outcomes);
        let run = site.run();
        outcomes
            .iter()
            .filter(|outcome| run.contains(&outcome.id))
            .count()
    };
    let (allowed, unknown) = (ask("at first", KEY), ask("at first", UNKNOWN_KEY));
    if allowed == 0 || unknown > 0 {
        return Err(io::Error::other("the first configuration isn't in force"));
    }
    // The organisations stand last in the configuration.
    let (first, organisations) = wire::CONFIGURATION
        .split_once("\"tenants\":")
        .ok_or_else(|| io::Error::other("the configuration has no organisations"))?;
    let without_keys = organisations.replace("\"k1\"", "");
    let fewer = if trouble { "[]}" } else { without_keys.trim() };
    let next = first.replace("\"version\":1,", "\"version\":2,") + "\"tenants\":" + fewer;
    site.store.put(name("operator-topic"), "config", &next);
    log.line(&format!(
        "version 2 is acknowledged, which ends with \"tenants\":{fewer}"
    ));
    std::thread::sleep(CONFIGURATION_TIME);
    let run = ask("after the change", KEY) + ask("after the change", UNKNOWN_KEY);
    log.line(&format!(
        "requests that were run without a valid key: {run}, allowed: 0"
    ));
    Ok(run == 0)
}

/// Topic in which the companions keep their claims to decide.
const CLAIMS_TOPIC: &str = "keyed.egret-deciders";

/// Time for which a killed process stays away.
const KILLED_FOR: Duration = Duration::from_millis(3_500);

/// Shortest time after which a late order is carried out.
const MIN_LATENESS: Duration = Duration::from_millis(2_200);

/// The rank that carries out an order to disarm late.
const LATE_RANK: usize = RANKS - 1;

/// The companions of a group.
struct Members {
    companions: Mutex<Vec<Companion>>,
    store: Store,
    log: Log,
}

impl Members {
    /// Kills the companion that decides, and starts it again later.
    fn kill_decider(self: &Arc<Self>) {
        let claim = self.store.newest(CLAIMS_TOPIC).unwrap_or_default();
        let claim = String::from_utf8_lossy(&claim).into_owned();
        let mut companions = self.companions.lock().expect("not poisoned");
        let Some(rank) = companions.iter().position(|c| claim.contains(&c.name)) else {
            return;
        };
        companions[rank].kill();
        self.log.line(&format!(
            "{}, which decides, is killed",
            companions[rank].name
        ));
        let members = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(KILLED_FOR);
            let mut companions = members.companions.lock().expect("not poisoned");
            if let Some(companion) = companions.get_mut(rank) {
                let started = companion.restart().is_ok();
                members
                    .log
                    .line(&format!("{} is started again: {started}", companion.name));
            }
        });
    }
}

/// How far the disruption of a switch has got.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Fencing number of the decider that was killed first, and when.
    first: Option<(u64, Instant)>,
    /// Fencing number of the second one, and when.
    second: Option<(u64, Instant)>,
}

/// Waits until a condition holds, for at most `limit`.
fn wait_for(limit: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_met() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Two deciders are killed one after the other in a switch, and orders to some ranks get no
/// answer and are carried out late.
fn disarm(root: &Path, log: &Log, trouble: bool) -> io::Result<bool> {
    let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&path)?;
    let folder = Folder(path);
    let store = Store::start()?;
    store.put(
        name("operator-topic"),
        "config",
        wire::GROUP_CONFIGURATION.trim(),
    );
    let engines = Engines::start(log)?;
    let start = |(rank, engine): (usize, &SocketAddr)| {
        Companion::start(root, &folder.0, &format!("side-{rank}"), *engine, &store)
    };
    let companions = engines.addresses.iter().enumerate().map(start);
    let companions = companions.collect::<io::Result<Vec<_>>>()?;
    let members = Arc::new(Members {
        companions: Mutex::new(companions),
        store: store.clone(),
        log: log.clone(),
    });
    if !wait_for(Duration::from_secs(15), || engines.newest_map() > 0) {
        return Err(io::Error::other("the group doesn't switch its map"));
    }
    log.line("the group has switched its map once");
    let progress: Arc<Mutex<Progress>> = Arc::default();
    if trouble {
        let (progress, members) = (Arc::clone(&progress), Arc::clone(&members));
        engines.set_script(Box::new(move |rank, order: &Order| {
            let mut progress = progress.lock().expect("not poisoned");
            let now = Instant::now();
            let Some((first, _)) = progress.first else {
                if order.operation == "arm" {
                    progress.first = Some((order.fence, now));
                    members.kill_decider();
                }
                return Fate::CarriedOut;
            };
            let is_of_second = match progress.second {
                Some((second, _)) => order.fence == second,
                None => order.fence > first,
            };
            match order.operation.as_str() {
                "prepare" if is_of_second => Fate::Unanswered,
                "disarm" if is_of_second && rank == LATE_RANK => {
                    if progress.second.is_none() {
                        progress.second = Some((order.fence, now));
                        members.kill_decider();
                    }
                    Fate::Unanswered
                }
                _ => Fate::CarriedOut,
            }
        }));
    }
    let before = engines.newest_map();
    engines.shift_demand();
    if trouble {
        let first = || progress.lock().expect("not poisoned").first;
        let second = || progress.lock().expect("not poisoned").second;
        if !wait_for(Duration::from_secs(15), || first().is_some()) {
            return Err(io::Error::other("no switch began"));
        }
        // Clients leave after two seconds without an event.
        std::thread::sleep(Duration::from_secs(2));
        engines.set_work(false);
        if !wait_for(Duration::from_secs(10), || second().is_some()) {
            log.line("the second decider didn't disarm the late rank");
        }
        let is_released = || engines.armed() == RANKS && !engines.is_held();
        let released = wait_for(Duration::from_secs(10), is_released);
        log.line(&format!(
            "all ranks are armed and the group isn't held: {released}"
        ));
        if let Some((_, at)) = second() {
            std::thread::sleep((at + MIN_LATENESS).saturating_duration_since(Instant::now()));
        }
        engines.carry_out_late("disarm");
        std::thread::sleep(Duration::from_millis(300));
    } else {
        wait_for(Duration::from_secs(15), || engines.newest_map() > before);
        engines.set_work(false);
        std::thread::sleep(Duration::from_secs(3));
    }
    engines.set_work(true);
    std::thread::sleep(Duration::from_secs(2));
    engines.carry_out_late("prepare");
    std::thread::sleep(Duration::from_secs(1));
    for companion in members.companions.lock().expect("not poisoned").iter() {
        let lines = companion.output();
        let decisions = lines.lines().filter(|line| line.contains("\"decision\""));
        log.line(&format!(
            "{}: {} lines on decisions",
            companion.name,
            decisions.count()
        ));
    }
    let (orders, unanswered) = engines.orders();
    log.line(&format!(
        "orders: {orders}, without an answer: {unanswered}"
    ));
    let broken = engines.broken();
    log.line(&format!("passes with different maps: {broken:?}"));
    members.companions.lock().expect("not poisoned").clear();
    Ok(broken.is_none())
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, record] = args.as_slice() else {
        eprintln!("usage: review_standin_2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = Log::create(Path::new(record)).and_then(|log| {
        log.line(&format!("case {case}, disruption: {trouble}"));
        let root = Path::new(root);
        let is_kept = match case.as_str() {
            "early" => early(root, &log, trouble),
            "deadline" => deadline(root, &log, trouble),
            "additional" => additional(root, &log, trouble),
            "keys" => keys(root, &log, trouble),
            "disarm" => disarm(root, &log, trouble),
            _ => Err(io::Error::other("no such case")),
        };
        match &is_kept {
            Ok(is_kept) => log.line(if *is_kept {
                "the rule held"
            } else {
                "the rule was broken"
            }),
            Err(e) => log.line(&format!("the case couldn't run: {e}")),
        }
        is_kept
    });
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}

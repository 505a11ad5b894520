//! A stand-in of a group of model runners that make their passes together.
//!
//! Orders are carried out as PROTOCOL.md says. A script decides which orders get no answer;
//! these are carried out later, or not at all before the end.

use crate::http::{Head, read_body, read_head};
use crate::record::Log;
use crate::wire::name;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

const REPORT: &str = include_str!("../wire/report.json");

/// Time of a pass.
const PASS_TIME: Duration = Duration::from_millis(50);

/// Time in which a rank copies the experts of a map: 2,200 MB over 44,000 Mbit/s.
const COPY_TIME: Duration = Duration::from_millis(400);

/// Number of ranks, of sets of layers, and of experts of a set.
pub const RANKS: usize = 12;
const SETS: usize = 3;
const EXPERTS: usize = 96;

/// The experts by set and rank.
type Mapping = Vec<Vec<Vec<u16>>>;

/// An order to a rank.
#[derive(Clone, Debug)]
pub struct Order {
    pub operation: String,
    version: u64,
    step: u64,
    epoch: u64,
    pub fence: u64,
    precondition: u64,
    mapping: Mapping,
}

#[derive(Default)]
struct Rank {
    sequence: u64,
    fence: u64,
    highest_version: u64,
    map: u64,
    prepared: Option<u64>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

/// What a rank does with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    CarriedOut,
    /// It gets no answer, and is kept to be carried out later.
    Unanswered,
}

/// Decides on the fate of an order to a rank, before it is carried out.
pub type Script = Box<dyn Fn(usize, &Order) -> Fate + Send + Sync>;

struct State {
    ranks: Vec<Rank>,
    step: u64,
    maps: BTreeMap<u64, Mapping>,
    counts: Vec<u64>,
    hot: usize,
    has_work: bool,
    late: Vec<(usize, Order)>,
    /// Number of orders, and of those that got no answer.
    orders: (u32, u32),
    /// The versions of the ranks' maps, if a pass began while they differed.
    broken: Option<Vec<u64>>,
}

/// The group.
#[derive(Clone)]
pub struct Engines {
    state: Arc<Mutex<State>>,
    script: Arc<Mutex<Option<Script>>>,
    pub addresses: Vec<SocketAddr>,
    log: Log,
}

impl Engines {
    /// Starts the engines of all ranks.
    pub fn start(log: &Log) -> io::Result<Self> {
        let in_turn = |rank: usize| (0..EXPERTS).filter(move |e| e % RANKS == rank);
        let ranks = || (0..RANKS).map(|rank| in_turn(rank).map(|e| e as u16).collect());
        let initial: Mapping = (0..SETS).map(|_| ranks().collect()).collect();
        let state = State {
            ranks: (0..RANKS).map(|_| Rank::default()).collect(),
            step: 0,
            maps: [(0, initial)].into(),
            counts: vec![0; SETS * EXPERTS],
            hot: 0,
            has_work: true,
            late: Vec::new(),
            orders: (0, 0),
            broken: None,
        };
        let listeners = (0..RANKS).map(|_| TcpListener::bind("127.0.0.1:0"));
        let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr);
        let engines = Self {
            state: Arc::new(Mutex::new(state)),
            script: Arc::default(),
            addresses: addresses.collect::<io::Result<_>>()?,
            log: log.clone(),
        };
        for (rank, listener) in listeners.into_iter().enumerate() {
            let engines = engines.clone();
            std::thread::spawn(move || {
                for tcp in listener.incoming().map_while(Result::ok) {
                    let engines = engines.clone();
                    std::thread::spawn(move || drop(engines.serve(rank, tcp)));
                }
            });
        }
        let passing = engines.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(PASS_TIME);
                passing.begin_pass();
            }
        });
        Ok(engines)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Sets the script of the fates of orders.
    pub fn set_script(&self, script: Script) {
        *self.script.lock().expect("not poisoned") = Some(script);
    }

    /// Sets whether requests arrive. A group without work makes no passes.
    pub fn set_work(&self, has_work: bool) {
        self.state().has_work = has_work;
        self.log.line(&format!("requests arrive: {has_work}"));
    }

    /// Moves the demand to another expert.
    pub fn shift_demand(&self) {
        let mut state = self.state();
        state.hot = (state.hot + 5) % EXPERTS;
    }

    /// Carries out the late orders of an operation.
    pub fn carry_out_late(&self, operation: &str) {
        let mut state = self.state();
        let (due, later) = std::mem::take(&mut state.late)
            .into_iter()
            .partition(|(_, order)| order.operation == operation);
        state.late = later;
        for (rank, order) in Vec::<(usize, Order)>::from(due) {
            let status = state.apply(rank, &order, self);
            self.record(&state, rank, &order, &format!("carried out late: {status}"));
        }
    }

    /// Returns the versions of the ranks' maps, if a pass began while they differed.
    pub fn broken(&self) -> Option<Vec<u64>> {
        self.state().broken.clone()
    }

    /// Returns the number of orders, and of those that got no answer.
    pub fn orders(&self) -> (u32, u32) {
        self.state().orders
    }

    /// Returns whether a rank holds the group.
    pub fn is_held(&self) -> bool {
        self.state().ranks.iter().any(|rank| rank.held.is_some())
    }

    /// Returns the number of ranks that are armed.
    pub fn armed(&self) -> usize {
        let state = self.state();
        state
            .ranks
            .iter()
            .filter(|rank| rank.armed.is_some())
            .count()
    }

    /// Returns the highest version that a rank uses.
    pub fn newest_map(&self) -> u64 {
        let state = self.state();
        state.ranks.iter().map(|rank| rank.map).max().unwrap_or(0)
    }

    fn begin_pass(&self) {
        let mut state = self.state();
        let step = state.step + 1;
        if !state.has_work || state.ranks.iter().any(|rank| rank.held == Some(step)) {
            return;
        }
        state.step = step;
        for rank in &mut state.ranks {
            if let Some((version, at)) = rank.armed
                && at <= step
            {
                rank.map = version;
                rank.armed = None;
            }
        }
        let maps: Vec<u64> = state.ranks.iter().map(|rank| rank.map).collect();
        if maps.iter().any(|map| *map != maps[0]) && state.broken.is_none() {
            self.log.line(&format!(
                "pass {step} begins; versions of the ranks' maps: {maps:?}"
            ));
            state.broken = Some(maps);
        }
        let hot = state.hot;
        for (index, count) in state.counts.iter_mut().enumerate() {
            *count += if index % EXPERTS == hot { 60 } else { 5 };
        }
    }

    fn record(&self, state: &State, rank: usize, order: &Order, what: &str) {
        let Order {
            operation,
            version,
            step,
            fence,
            ..
        } = order;
        let pass = state.step;
        self.log.line(&format!(
            "pass {pass}, rank {rank}: {operation} version {version} step {step} fence {fence}: {what}"
        ));
    }

    fn serve(&self, rank: usize, tcp: TcpStream) -> io::Result<()> {
        tcp.set_nodelay(true)?;
        let mut reader = BufReader::new(tcp);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, head.length())?;
            let Some((status, body)) = self.answer(rank, &head, &body) else {
                // The connection returns nothing further; its caller closes it.
                std::thread::sleep(Duration::from_secs(1));
                return Ok(());
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            reader.get_mut().write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, rank: usize, head: &Head, body: &[u8]) -> Option<(&'static str, String)> {
        match head.path() {
            "/report" => Some((OK, self.state().report(rank))),
            "/picked" => Some((OK, self.state().counts())),
            "/order" => {
                let order = parse_order(&String::from_utf8_lossy(body));
                let script = self.script.lock().expect("not poisoned");
                let fate = script
                    .as_ref()
                    .map_or(Fate::CarriedOut, |script| script(rank, &order));
                let mut state = self.state();
                state.orders.0 += 1;
                if fate == Fate::Unanswered {
                    state.orders.1 += 1;
                    self.record(&state, rank, &order, "no answer");
                    state.late.push((rank, order));
                    return None;
                }
                let status = state.apply(rank, &order, self);
                self.record(&state, rank, &order, status);
                Some((status, "{}".to_owned()))
            }
            path if path.starts_with("/picked?") => Some((OK, self.state().lists(rank))),
            _ => Some(("404 Not Found", String::new())),
        }
    }
}

const OK: &str = "200 OK";
const BEGUN: &str = "202 Accepted";
const CONFLICT: &str = "409 Conflict";

impl State {
    fn report(&self, rank: usize) -> String {
        let optional = |value: Option<u64>| value.map_or("null".to_owned(), |v| v.to_string());
        let state = &self.ranks[rank];
        REPORT
            .replace("{sequence}", &state.sequence.to_string())
            .replace("{running}", if self.has_work { "1" } else { "0" })
            .replace("{rank}", &rank.to_string())
            .replace("{size}", &RANKS.to_string())
            .replace("{step}", &self.step.to_string())
            .replace("{map}", &state.map.to_string())
            .replace("{prepared}", &optional(state.prepared))
            .replace(
                "{armed}",
                &optional(state.armed.map(|(version, _)| version)),
            )
            .replace("{held}", &optional(state.held))
    }

    fn counts(&self) -> String {
        format!(
            r#"{{"step":{},"epoch":1,"counts":{:?}}}"#,
            self.step, self.counts
        )
    }

    fn lists(&self, rank: usize) -> String {
        let version = self.ranks[rank].map;
        let sets = self.maps[&version].iter().map(|ranks| &ranks[rank]);
        let experts: Vec<&Vec<u16>> = sets.collect();
        format!(
            r#"{{"step":{},"epoch":1,"mapping":{{"version":{version},"experts":{experts:?}}}}}"#,
            self.step
        )
    }

    /// Carries out an order, and returns the status of its answer.
    fn apply(&mut self, rank: usize, order: &Order, engines: &Engines) -> &'static str {
        let next = self.step + 1;
        let state = &mut self.ranks[rank];
        if order.fence < state.fence {
            return "412 Precondition Failed";
        }
        state.fence = order.fence;
        if order.epoch != 1 || order.precondition != state.sequence {
            return CONFLICT;
        }
        let (fits, status) = match order.operation.as_str() {
            "prepare" => (
                order.version > state.highest_version && state.armed.is_none(),
                BEGUN,
            ),
            "arm" => (
                state.prepared == Some(order.version) && order.step >= next,
                OK,
            ),
            "disarm" => (
                state
                    .armed
                    .is_some_and(|(version, _)| version == order.version),
                OK,
            ),
            "retention" => (order.step >= next && state.held.is_none(), OK),
            "go" => (state.held == Some(order.step), OK),
            _ => return "400 Bad Request",
        };
        if !fits {
            return CONFLICT;
        }
        // Each order that begins something counts, also one that is done at once.
        state.sequence += 1;
        match order.operation.as_str() {
            "prepare" => {
                state.highest_version = order.version;
                state.prepared = None;
                self.maps.insert(order.version, order.mapping.clone());
                let (engines, version) = (engines.clone(), order.version);
                std::thread::spawn(move || {
                    std::thread::sleep(COPY_TIME);
                    let mut state = engines.state();
                    let rank = &mut state.ranks[rank];
                    if rank.highest_version == version {
                        rank.prepared = Some(version);
                    }
                });
            }
            "arm" => state.armed = Some((order.version, order.step)),
            "disarm" => state.armed = None,
            "retention" => state.held = Some(order.step),
            _ => state.held = None,
        }
        status
    }
}

fn parse_order(body: &str) -> Order {
    let after = |key: &str| Some(body.split_once(&format!("\"{key}\":"))?.1);
    let number = |key: &str| {
        let digits = after(key)
            .unwrap_or("")
            .chars()
            .take_while(char::is_ascii_digit);
        digits.collect::<String>().parse().unwrap_or(0)
    };
    let operation = after("operation")
        .and_then(|text| text.split('"').nth(1))
        .unwrap_or("");
    Order {
        operation: operation.to_owned(),
        version: number("version"),
        step: number("step"),
        epoch: number("epoch"),
        fence: number(name("fence")),
        precondition: number("precondition"),
        mapping: after("mapping").map_or_else(Vec::new, parse_mapping),
    }
}

/// Parses the experts by set and rank: lists of lists of lists of numbers.
fn parse_mapping(text: &str) -> Mapping {
    let mut sets = Mapping::new();
    let (mut depth, mut digits) = (0, String::new());
    for c in text.chars() {
        if !c.is_ascii_digit()
            && let Ok(expert) = std::mem::take(&mut digits).parse()
            && let Some(experts) = sets.last_mut().and_then(|ranks| ranks.last_mut())
        {
            experts.push(expert);
        }
        match c {
            '[' => {
                depth += 1;
                if depth == 2 {
                    sets.push(Vec::new());
                } else if depth == 3
                    && let Some(ranks) = sets.last_mut()
                {
                    ranks.push(Vec::new());
                }
            }
            ']' => {
                depth -= 1;
                if depth == 0 {
                    return sets;
                }
            }
            '0'..='9' => digits.push(c),
            _ => {}
        }
    }
    sets
}

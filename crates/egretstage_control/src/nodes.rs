//! Asks nodes for their status.

use crate::table::Table;
use compact_str::{CompactString, ToCompactString, format_compact};
use egretstage_observe::NodeStatus;
use egretstage_platform::ListedInstance;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for one node's answer.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// An instance on the platform's list, with its admin address if the list
/// has it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedNode {
    /// The instance.
    #[serde(flatten)]
    pub listed: ListedInstance,
    /// Address of `/status`.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
}

/// What one node said of itself.
#[derive(Clone, Debug, Serialize)]
pub struct NodeReport {
    /// Address of `/status`.
    pub admin: SocketAddr,
    /// Its status; none if it didn't answer.
    pub status: Option<NodeStatus>,
    /// Why it didn't answer.
    pub error: Option<CompactString>,
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(NODE_TIMEOUT))
        .build()
        .into()
}

fn get<T: DeserializeOwned>(agent: &ureq::Agent, url: &str) -> Result<T, CompactString> {
    let mut resp = agent.get(url).call().map_err(|e| format_compact!("{e}"))?;
    let read = resp.body_mut().read_json();
    read.map_err(|e| format_compact!("{e}"))
}

/// Reads the platform's list of instances.
pub(crate) fn list(url: &str) -> Result<Vec<ListedNode>, CompactString> {
    let url = format!("{}/instances", url.trim_end_matches('/'));
    get(&agent(), &url).map_err(|e| format_compact!("{url}: {e}"))
}

/// Asks nodes for their status, all at once.
pub(crate) fn ask(addresses: &[SocketAddr]) -> Vec<NodeReport> {
    let agent = agent();
    std::thread::scope(|scope| {
        let asked: Vec<_> = addresses
            .iter()
            .map(|admin| scope.spawn(|| ask_one(&agent, *admin)))
            .collect();
        let answers = asked.into_iter().zip(addresses);
        answers
            .map(|(thread, admin)| {
                thread.join().unwrap_or_else(|_| NodeReport {
                    admin: *admin,
                    status: None,
                    error: Some("the request panicked".into()),
                })
            })
            .collect()
    })
}

fn ask_one(agent: &ureq::Agent, admin: SocketAddr) -> NodeReport {
    let answer = get(agent, &format!("http://{admin}/status"));
    let (status, error) = match answer {
        Ok(status) => (Some(status), None),
        Err(e) => (None, Some(e)),
    };
    NodeReport {
        admin,
        status,
        error,
    }
}

/// The state of the whole system, as far as its nodes answer.
#[derive(Clone, Debug, Serialize)]
pub struct SystemStatus {
    /// Offset of the log's last configuration record; none without a log.
    pub log_offset: Option<u64>,
    /// Instances on the platform's list.
    pub listed: Vec<ListedNode>,
    /// What the nodes said.
    pub nodes: Vec<NodeReport>,
}

impl SystemStatus {
    /// Tells whether each node answers and holds all of the configuration.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.nodes.iter().all(|node| {
            node.status.as_ref().is_some_and(|status| {
                let cfg = &status.configuration;
                let current = self.log_offset.is_none_or(|last| cfg.offset >= last);
                cfg.complete && !cfg.diverged && cfg.unreadable.is_empty() && current
            })
        })
    }
}

pub(crate) fn print_system(system: &SystemStatus) {
    match system.log_offset {
        Some(offset) => println!("configuration log: offset {offset}"),
        None => println!("configuration log: not readable"),
    }
    println!();
    print_nodes(system);
    print_listed(&system.listed);
    print_runners(&system.nodes);
    print_fences(&system.nodes);
}

fn print_nodes(system: &SystemStatus) {
    let mut table = Table::new(&[
        "INSTANCE", "ROLE", "ZONE", "ADMIN", "READY", "OFFSET", "LAG", "DIGEST", "NOTES",
    ]);
    for node in &system.nodes {
        let admin = node.admin.to_compact_string();
        let Some(status) = &node.status else {
            let error = node.error.clone().unwrap_or_default();
            let unknown = || CompactString::from("?");
            let mut cells = vec![unknown(), unknown(), unknown(), admin];
            cells.extend([unknown(), unknown(), unknown(), unknown(), error]);
            table.row(cells);
            continue;
        };
        let cfg = &status.configuration;
        let lag = system
            .log_offset
            .map(|last| last.saturating_sub(cfg.offset));
        table.row(vec![
            status.instance.to_compact_string(),
            status.role.to_compact_string(),
            status.zone.to_compact_string(),
            admin,
            if status.work.ready { "yes" } else { "no" }.into(),
            cfg.offset.to_compact_string(),
            lag.map_or("?".into(), |lag| lag.to_compact_string()),
            cfg.digest.clone(),
            notes(status),
        ]);
    }
    table.print();
}

fn notes(status: &NodeStatus) -> CompactString {
    let cfg = &status.configuration;
    let mut notes: Vec<CompactString> = status.work.not_ready_because.clone();
    if !cfg.complete {
        notes.push("configuration incomplete".into());
    }
    if cfg.log_failing {
        notes.push("log not readable".into());
    }
    if cfg.diverged {
        notes.push("differs from a peer".into());
    }
    let unreadable = cfg.unreadable.iter();
    notes.extend(unreadable.map(|o| format_compact!("{} {}: {}", o.kind, o.name, o.reason)));
    notes.join("; ").into()
}

fn print_listed(listed: &[ListedNode]) {
    if listed.is_empty() {
        return;
    }
    println!();
    let mut table = Table::new(&["LISTED", "ROLE", "ZONE", "SERVICE", "ADDRESS", "STATE"]);
    for ListedNode { listed, .. } in listed {
        let service = listed.service.as_ref();
        table.row(vec![
            listed.instance.to_compact_string(),
            listed.role.to_compact_string(),
            listed.zone.to_compact_string(),
            service.map_or("-".into(), ToCompactString::to_compact_string),
            listed.address.to_compact_string(),
            listed.state.to_compact_string(),
        ]);
    }
    table.print();
}

fn print_runners(nodes: &[NodeReport]) {
    let statuses = nodes.iter().filter_map(|node| node.status.as_ref());
    let runners = statuses.flat_map(|status| {
        let runners = status.work.runners.iter();
        runners.map(move |runner| (&status.instance, runner))
    });
    let mut table = Table::new(&[
        "ENTRY", "RUNNER", "ZONE", "SERVICE", "LINK", "LEAVING", "RUNNING", "WAITING", "SLOTS",
    ]);
    let mut any = false;
    for (entry, runner) in runners {
        any = true;
        table.row(vec![
            entry.to_compact_string(),
            runner.instance.to_compact_string(),
            runner.zone.to_compact_string(),
            runner.service.to_compact_string(),
            runner.link.clone(),
            if runner.leaving { "yes" } else { "no" }.into(),
            runner.load.running.to_compact_string(),
            runner.load.waiting.to_compact_string(),
            runner.load.slots.to_compact_string(),
        ]);
    }
    if any {
        println!();
        table.print();
    }
}

fn print_fences(nodes: &[NodeReport]) {
    let statuses = nodes.iter().filter_map(|node| node.status.as_ref());
    let mut table = Table::new(&["NODE", "GROUP", "FENCE", "HOLDER"]);
    let mut any = false;
    for status in statuses {
        for fence in &status.fences {
            any = true;
            table.row(vec![
                status.instance.to_compact_string(),
                fence.group.to_compact_string(),
                fence.fence.to_compact_string(),
                fence.holder.to_compact_string(),
            ]);
        }
    }
    if any {
        println!();
        table.print();
    }
}

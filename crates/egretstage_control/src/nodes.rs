//! Queries nodes for their status and prints the system's status.

use crate::table::Table;
use compact_str::{CompactString, ToCompactString, format_compact};
use egretstage_observe::NodeStatus;
use egretstage_platform::ListedInstance;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of the query of one node.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// An instance on the platform's list, with its admin address if the list has
/// one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedNode {
    /// The instance.
    #[serde(flatten)]
    pub listed: ListedInstance,
    /// Address of `/status`.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
}

/// The status that one node reported, or why it reported none.
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

fn get_json<T: DeserializeOwned>(agent: &ureq::Agent, url: &str) -> Result<T, CompactString> {
    let mut resp = agent.get(url).call().map_err(|e| format_compact!("{e}"))?;
    let body = resp.body_mut().read_json();
    body.map_err(|e| format_compact!("{e}"))
}

/// Reads the platform's list of instances.
pub(crate) fn list_instances(url: &str) -> Result<Vec<ListedNode>, CompactString> {
    let url = format!("{}/instances", url.trim_end_matches('/'));
    get_json(&agent(), &url).map_err(|e| format_compact!("{url}: {e}"))
}

/// Queries nodes for their status, all at the same time.
pub(crate) fn query(addresses: &[SocketAddr]) -> Vec<NodeReport> {
    let agent = agent();
    std::thread::scope(|scope| {
        let threads: Vec<_> = addresses
            .iter()
            .map(|admin| scope.spawn(|| query_node(&agent, *admin)))
            .collect();
        let answers = threads.into_iter().zip(addresses);
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

fn query_node(agent: &ureq::Agent, admin: SocketAddr) -> NodeReport {
    let answer = get_json(agent, &format!("http://{admin}/status"));
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

/// Status of the whole system, as far as its nodes answer.
#[derive(Clone, Debug, Serialize)]
pub struct SystemStatus {
    /// Offset of the log's last configuration record; none without a log.
    pub log_offset: Option<u64>,
    /// Instances on the platform's list.
    pub listed: Vec<ListedNode>,
    /// The reports of the nodes.
    pub nodes: Vec<NodeReport>,
}

impl SystemStatus {
    /// Returns whether each node answers, holds the same, whole and newest
    /// configuration and can read all of it.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.nodes.iter().all(|node| {
            node.status.as_ref().is_some_and(|status| {
                let cfg = &status.configuration;
                let is_current = self.log_offset.is_none_or(|last| cfg.offset >= last);
                cfg.complete && !cfg.diverged && cfg.unreadable.is_empty() && is_current
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
    print_upstreams(&system.nodes);
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
            table.add_row(cells);
            continue;
        };
        let cfg = &status.configuration;
        let lag = system
            .log_offset
            .map(|last| last.saturating_sub(cfg.offset));
        table.add_row(vec![
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
        table.add_row(vec![
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

fn print_upstreams(nodes: &[NodeReport]) {
    let statuses = nodes.iter().filter_map(|node| node.status.as_ref());
    let upstreams = statuses.flat_map(|status| {
        let upstreams = status.work.runners.iter();
        upstreams.map(move |upstream| (&status.instance, upstream))
    });
    let mut table = Table::new(&[
        "ENTRY", "RUNNER", "ZONE", "SERVICE", "LINK", "LEAVING", "RUNNING", "WAITING", "SLOTS",
    ]);
    let mut has_rows = false;
    for (entry, upstream) in upstreams {
        has_rows = true;
        table.add_row(vec![
            entry.to_compact_string(),
            upstream.instance.to_compact_string(),
            upstream.zone.to_compact_string(),
            upstream.service.to_compact_string(),
            upstream.link.clone(),
            if upstream.leaving { "yes" } else { "no" }.into(),
            upstream.load.running.to_compact_string(),
            upstream.load.waiting.to_compact_string(),
            upstream.load.slots.to_compact_string(),
        ]);
    }
    if has_rows {
        println!();
        table.print();
    }
}

fn print_fences(nodes: &[NodeReport]) {
    let statuses = nodes.iter().filter_map(|node| node.status.as_ref());
    let mut table = Table::new(&["NODE", "GROUP", "FENCE", "HOLDER"]);
    let mut has_rows = false;
    for status in statuses {
        for fence in &status.fences {
            has_rows = true;
            table.add_row(vec![
                status.instance.to_compact_string(),
                fence.group.to_compact_string(),
                fence.fence.to_compact_string(),
                fence.holder.to_compact_string(),
            ]);
        }
    }
    if has_rows {
        println!();
        table.print();
    }
}

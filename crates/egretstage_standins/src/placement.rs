//! Placement and settings of the upstreams and entries of a fleet.

use std::net::SocketAddr;

/// Placement of an upstream and its companion in the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Instance name of the companion.
    pub instance: &'a str,
    /// Availability zone of the companion.
    pub zone: &'a str,
    /// Name of the service or model group.
    pub service: &'a str,
    /// Kind of the upstream: `engine` or `plain`.
    pub kind: &'a str,
    /// Address of the upstream.
    pub upstream: SocketAddr,
}

/// Placement of a companion's rank in its model group.
#[derive(Clone, Copy, Debug)]
pub struct RankPlacement {
    /// Index of the rank.
    pub index: u16,
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Lock address: only the companion that binds it sends to the engine.
    pub sender_lock: SocketAddr,
    /// Address that the other companions connect to.
    pub advertise: SocketAddr,
}

impl RankPlacement {
    /// Returns the `[rank]` table of the companion's settings.
    pub(crate) fn settings(&self, group: &str) -> String {
        format!(
            "[rank]\ngroup = \"{group}\"\nindex = {}\nranks = {}\nsender_lock = \"{}\"\n\
             advertise = \"{}\"\nstep_ms = 20\ngrant_horizon_ms = 500\nheartbeat_ms = 100\n\
             suspect_after_ms = 1500\nclaim_stagger_ms = 300\nmap_interval_ms = 200\n\
             loads = [\"draft-1\"]\n",
            self.index, self.ranks, self.sender_lock, self.advertise
        )
    }
}

/// Options of an entry.
#[derive(Clone, Debug, Default)]
pub struct EntryOptions {
    /// Base URL of the log service; `None` uses the log of the fleet.
    pub log_url: Option<String>,
    /// Extra settings of the `[callers]` table, followed by any extra tables.
    pub settings: String,
}

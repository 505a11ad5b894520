//! Where upstreams and entries stand in a fleet.

use std::net::SocketAddr;

/// An upstream's place in the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Instance name of the companion.
    pub instance: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// The service or model group.
    pub service: &'a str,
    /// `engine` or `plain`.
    pub kind: &'a str,
    /// Address of the upstream.
    pub upstream: SocketAddr,
}

/// A companion's rank in a model group.
#[derive(Clone, Copy, Debug)]
pub struct RankPlacement {
    /// The rank.
    pub index: u16,
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Address that admits one sender to the engine.
    pub sender_lock: SocketAddr,
    /// Address at which the other companions reach this one.
    pub advertise: SocketAddr,
}

impl RankPlacement {
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

/// Settings of an entry that a test chooses.
#[derive(Clone, Debug, Default)]
pub struct EntryOptions {
    /// Base URL of the log service, if it isn't the fleet's.
    pub log_url: Option<String>,
    /// More settings of the callers' side, and more tables.
    pub settings: String,
}

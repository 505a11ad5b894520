//! The status of a node, which the admin endpoint serves at `/status`.

use crate::StatusPage;
use compact_str::CompactString;
use egretstage_wire::{
    Incarnation, InstanceId, KindName, LoadReport, ObjectName, Role, ServiceName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The status of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's instance name.
    pub instance: InstanceId,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service of a companion's upstream.
    pub service: Option<ServiceName>,
    /// Its incarnation, in hexadecimal.
    pub incarnation: CompactString,
    /// Whether it accepts new work, and the reasons if it doesn't.
    #[serde(flatten)]
    pub work: WorkStatus,
    /// The configuration that it holds.
    pub configuration: ConfigurationStatus,
    /// The deciders of the groups that it takes part in.
    #[serde(default)]
    pub fences: Vec<FenceStatus>,
}

/// Readiness and load of a node, and the upstreams that an entry sends calls to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkStatus {
    /// Whether it accepts new work.
    pub ready: bool,
    /// Reasons for not accepting new work.
    #[serde(default)]
    pub not_ready_because: Vec<CompactString>,
    /// The load of a companion's own upstream.
    #[serde(default)]
    pub load: Option<LoadReport>,
    /// Upstreams that an entry knows.
    #[serde(default)]
    pub runners: Vec<UpstreamStatus>,
}

/// The state of an upstream as an entry knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The upstream's companion.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service or model group that it belongs to.
    pub service: ServiceName,
    /// Whether the link is `up`, `dialing` or `down`.
    pub link: CompactString,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
    /// The entry's own calls that run on it.
    pub in_flight: u32,
    /// The last load report received from it.
    pub load: LoadReport,
}

/// The decider of a group in the last report that a node received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceStatus {
    /// The group.
    pub group: ServiceName,
    /// The fencing number.
    pub fence: u64,
    /// The companion that holds the fencing number.
    pub holder: InstanceId,
}

/// The configuration that a node holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// Offset of the last record that was applied.
    pub offset: u64,
    /// Digest over all accepted revisions, in hexadecimal.
    pub digest: CompactString,
    /// Whether the node holds every revision that it knows to be accepted.
    pub complete: bool,
    /// Offset that the node must hold, because the log has dropped the records
    /// below it.
    pub needed: u64,
    /// Whether the last read of the log failed.
    pub log_failing: bool,
    /// Whether a peer reached another state from the same records.
    pub diverged: bool,
    /// Accepted objects that this release can't read.
    pub unreadable: Vec<UnreadableStatus>,
}

/// An accepted object that a node can't read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadableStatus {
    /// Kind of the object.
    pub kind: KindName,
    /// Name of the object.
    pub name: ObjectName,
    /// Why the object can't be read.
    pub reason: CompactString,
}

impl NodeStatus {
    /// Returns the status of a node that has just started.
    #[must_use]
    pub fn starting(
        instance: InstanceId,
        role: Role,
        zone: ZoneName,
        service: Option<ServiceName>,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            instance,
            role,
            zone,
            service,
            incarnation: compact_str::format_compact!("{:016x}", incarnation.0),
            work: WorkStatus {
                not_ready_because: vec!["starting".into()],
                ..WorkStatus::default()
            },
            configuration: ConfigurationStatus::default(),
            fences: Vec::new(),
        }
    }
}

/// Shortest time between two status snapshots.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Decides when a status snapshot is due, and skips unchanged snapshots.
#[derive(Clone, Debug, Default)]
pub struct StatusSchedule {
    due: Option<Instant>,
    /// The last snapshot that was taken.
    last: Option<WorkStatus>,
}

impl StatusSchedule {
    /// Returns whether a snapshot is due, and if so schedules the next one.
    pub fn take_due(&mut self, now: Instant) -> bool {
        let due = self.due.is_none_or(|due| due <= now);
        if due {
            self.due = Some(now + STATUS_INTERVAL);
        }
        due
    }

    /// Returns a snapshot unless it is equal to the last one.
    pub fn take_changed(&mut self, status: WorkStatus) -> Option<WorkStatus> {
        if self.last.as_ref() == Some(&status) {
            return None;
        }
        self.last = Some(status.clone());
        Some(status)
    }

    /// Returns when the next snapshot is due, or `None` before the first one.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.due
    }
}

/// Holds the latest status for the admin endpoint.
#[derive(Clone, Debug)]
pub struct StatusBoard(Arc<Mutex<NodeStatus>>);

impl StatusBoard {
    /// Creates a board with an initial status.
    #[must_use]
    pub fn new(status: NodeStatus) -> Self {
        Self(Arc::new(Mutex::new(status)))
    }

    /// Replaces the status of the configuration.
    pub fn set_configuration(&self, configuration: ConfigurationStatus) {
        self.lock().configuration = configuration;
    }

    /// Replaces the readiness and load.
    pub fn set_work(&self, work: WorkStatus) {
        self.lock().work = work;
    }

    /// Replaces the fence of one group.
    pub fn set_fence(&self, fence: FenceStatus) {
        let mut status = self.lock();
        status.fences.retain(|known| known.group != fence.group);
        status.fences.push(fence);
    }

    /// Returns a function that renders the current status for the admin endpoint.
    ///
    /// # Panics
    ///
    /// The function doesn't panic in practice: serialising a status can't fail.
    #[must_use]
    pub fn page(&self) -> StatusPage {
        let board = self.clone();
        Box::new(move || serde_json::to_string(&*board.lock()).expect("a status can be serialised"))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, NodeStatus> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

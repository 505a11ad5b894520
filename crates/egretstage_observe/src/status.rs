//! What a node shows to operators at `/status`.

use crate::StatusPage;
use compact_str::CompactString;
use egretstage_wire::{
    Incarnation, InstanceId, KindName, LoadReport, ObjectName, Role, ServiceName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What a node shows to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's instance name.
    pub instance: InstanceId,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service behind a companion.
    pub service: Option<ServiceName>,
    /// Its incarnation, in hexadecimal.
    pub incarnation: CompactString,
    /// Whether it takes new work, and if not why.
    #[serde(flatten)]
    pub work: WorkStatus,
    /// The configuration that it holds.
    pub configuration: ConfigurationStatus,
    /// Who decides for the groups that it takes part in.
    #[serde(default)]
    pub fences: Vec<FenceStatus>,
}

/// Whether a node takes work, and where it can send it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkStatus {
    /// Whether it takes new work.
    pub ready: bool,
    /// Why it doesn't.
    #[serde(default)]
    pub not_ready_because: Vec<CompactString>,
    /// The load of a companion's own upstream.
    #[serde(default)]
    pub load: Option<LoadReport>,
    /// Upstreams that an entry knows.
    #[serde(default)]
    pub runners: Vec<UpstreamStatus>,
}

/// An upstream as an entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The companion.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service or model group.
    pub service: ServiceName,
    /// Whether the link is `up`, `dialing` or `down`.
    pub link: CompactString,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// The entry's own calls that run there.
    pub in_flight: u32,
    /// Its last load report.
    pub load: LoadReport,
}

/// Who decides for a group, as a node last heard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceStatus {
    /// The group.
    pub group: ServiceName,
    /// The fencing number.
    pub fence: u64,
    /// The companion that holds it.
    pub holder: InstanceId,
}

/// The configuration that a node holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// Offset of the last record folded.
    pub offset: u64,
    /// Digest over all accepted revisions, in hexadecimal.
    pub digest: CompactString,
    /// Whether the node holds all that it knows to be accepted.
    pub complete: bool,
    /// Offset that the node must hold, because the log has dropped what is
    /// below.
    pub needed: u64,
    /// Whether the last read of the log failed.
    pub log_failing: bool,
    /// Whether a peer folded the same records into another state.
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
    /// What is wrong.
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

/// Decides when a status snapshot is due.
#[derive(Clone, Debug, Default)]
pub struct StatusSchedule {
    due: Option<Instant>,
    shown: Option<WorkStatus>,
}

impl StatusSchedule {
    /// Tells whether a snapshot is due, and notes that it is taken.
    pub fn take_due(&mut self, now: Instant) -> bool {
        let due = self.due.is_none_or(|due| due <= now);
        if due {
            self.due = Some(now + STATUS_INTERVAL);
        }
        due
    }

    /// Returns a snapshot unless it is the same as the last one.
    pub fn take_changed(&mut self, status: WorkStatus) -> Option<WorkStatus> {
        if self.shown.as_ref() == Some(&status) {
            return None;
        }
        self.shown = Some(status.clone());
        Some(status)
    }

    /// Returns when the next snapshot is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.due
    }
}

/// Holds the latest status for the admin endpoint.
#[derive(Clone, Debug)]
pub struct StatusBoard(Arc<Mutex<NodeStatus>>);

impl StatusBoard {
    /// Starts with a first status.
    #[must_use]
    pub fn new(status: NodeStatus) -> Self {
        Self(Arc::new(Mutex::new(status)))
    }

    /// Replaces the part about the configuration.
    pub fn set_configuration(&self, configuration: ConfigurationStatus) {
        self.lock().configuration = configuration;
    }

    /// Replaces the part about work.
    pub fn set_work(&self, work: WorkStatus) {
        self.lock().work = work;
    }

    /// Replaces what is known of one group's fence.
    pub fn set_fence(&self, fence: FenceStatus) {
        let mut status = self.lock();
        status.fences.retain(|known| known.group != fence.group);
        status.fences.push(fence);
    }

    /// Returns the page that the admin endpoint serves.
    ///
    /// # Panics
    ///
    /// Never; a status is plain data.
    #[must_use]
    pub fn page(&self) -> StatusPage {
        let board = self.clone();
        Box::new(move || serde_json::to_string(&*board.lock()).expect("a status is plain data"))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, NodeStatus> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

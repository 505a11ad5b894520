//! Owners of the idempotency keys of a plain service.

use crate::{Incarnation, InstanceId, ServiceName};
use serde::{Deserialize, Serialize};

/// Offset of the last accepted change to a service's owners.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// One incarnation of a companion that owns keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The companion's instance.
    pub instance: InstanceId,
    /// The companion's incarnation.
    pub incarnation: Incarnation,
}

/// The owners of a service's keys in one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnersView {
    /// The service.
    pub service: ServiceName,
    /// The epoch.
    pub epoch: Epoch,
    /// The owners, sorted by instance.
    pub members: Vec<Member>,
}

/// What an entry states when it sends a call with a key to the key's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The epoch in which the receiver owns the key.
    pub epoch: Epoch,
    /// Whether the service lets calls run while the log can't be read.
    pub run_without_log: bool,
    /// Whether the receiver may only return a remembered answer and must not run
    /// the call.
    pub recall: bool,
}

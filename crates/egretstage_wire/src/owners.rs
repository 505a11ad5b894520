//! Who owns the idempotency keys of a plain service.

use crate::{Incarnation, InstanceId, ServiceName};
use serde::{Deserialize, Serialize};

/// Offset of the last accepted change of a service's owners.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// One start of a companion that owns keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The companion.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// The owners of a service's keys in one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnersView {
    /// The service.
    pub service: ServiceName,
    /// The epoch.
    pub epoch: Epoch,
    /// The members, in the order of their instances.
    pub members: Vec<Member>,
}

/// What an entry claims when it sends a call with a key to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The epoch in which the receiver owns the key.
    pub epoch: Epoch,
    /// Whether the service allows runs while the log can't be read.
    pub run_without_log: bool,
    /// Whether the receiver is asked only for an answer that it remembers.
    pub recall: bool,
}

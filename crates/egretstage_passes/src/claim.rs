//! The claim to decide for a group.

use compact_str::CompactString;
use egretstage_wire::InstanceId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A companion's claim to decide for a group, as stored in the platform's
/// store.
///
/// Its fencing number is derived from the era of the store and the end of the
/// earlier claims. So a later claim has a higher number without any further
/// agreement, even if the store has lost the claims in between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeciderClaim {
    /// The group.
    pub group: CompactString,
    /// The companion.
    pub instance: InstanceId,
    /// Random for each start of the companion.
    pub incarnation: u64,
    /// Address at which the other companions reach it.
    pub address: SocketAddr,
}

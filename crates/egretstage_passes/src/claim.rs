//! Who decides for a group.

use compact_str::CompactString;
use egretstage_wire::InstanceId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A companion's claim to decide for a group, as it stands in the store.
///
/// Its fencing number is made from the era of the store and the end of the claims
/// before it, so a later claim has a higher one without any other agreement, also
/// if the store has lost the claims between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeciderClaim {
    /// The group.
    pub group: CompactString,
    /// The companion.
    pub instance: InstanceId,
    /// Random for each start of the companion.
    pub incarnation: u64,
    /// Where the other companions reach it.
    pub address: SocketAddr,
}

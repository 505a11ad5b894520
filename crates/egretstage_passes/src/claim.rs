//! Who decides for a group.

use compact_str::CompactString;
use egretstage_wire::InstanceId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A companion's claim to decide for a group, as it stands in the store.
///
/// The offset of its record makes the fencing number, so a later claim has a
/// higher one without any other agreement.
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

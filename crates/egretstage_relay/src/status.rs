//! Status snapshots of a node's configuration for operators.

use compact_str::format_compact;
use egretstage_config::{ConfigurationFold, Offset};
use egretstage_observe::{ConfigurationStatus, UnreadableStatus};

/// The values that a status snapshot depends on, except for the fold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StatusInputs {
    /// Last offset that the node holds.
    pub(crate) offset: Offset,
    /// Offset that the node must hold to read on from the log.
    pub(crate) needed: Offset,
    pub(crate) complete: bool,
    pub(crate) log_failing: bool,
    pub(crate) diverged: bool,
}

impl StatusInputs {
    /// Creates the status snapshot of a fold with these inputs.
    pub(crate) fn status(self, fold: &ConfigurationFold) -> ConfigurationStatus {
        let unreadable = fold.configuration().unreadable();
        let unreadable = unreadable.map(|object| UnreadableStatus {
            kind: object.kind.clone(),
            name: object.name.clone(),
            reason: format_compact!("{}", object.reason),
        });
        ConfigurationStatus {
            offset: self.offset.0,
            digest: format_compact!("{:016x}", fold.digest().0),
            complete: self.complete,
            needed: self.needed.0,
            log_failing: self.log_failing,
            diverged: self.diverged,
            unreadable: unreadable.collect(),
        }
    }
}

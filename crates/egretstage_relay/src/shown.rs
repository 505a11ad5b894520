//! What operators are shown of a node's configuration.

use compact_str::format_compact;
use egretstage_config::{ConfigurationFold, Offset};
use egretstage_observe::{ConfigurationStatus, UnreadableStatus};

/// What a status snapshot depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShownState {
    pub(crate) offset: Offset,
    pub(crate) needed: Offset,
    pub(crate) complete: bool,
    pub(crate) log_failing: bool,
    pub(crate) diverged: bool,
}

impl ShownState {
    /// Returns the status snapshot of a fold in this state.
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

//! JSON log lines, metrics and health endpoints.
//!
//! Every daemon logs to standard output, one JSON object per line, and serves
//! `/livez`, `/readyz`, `/metrics` and `/status` on its admin address.

mod admin;
mod decision_log;
mod json_line;
mod line_queue;
mod logging;
mod metrics;
mod status;

pub use admin::{AdminError, AdminServer, Health, StatusPage};
pub use decision_log::{DecisionLog, DecisionRecord, DecisionWriter};
pub use logging::{DECISION_TARGET, LoggingError, init_logging};
pub use metrics::{Metrics, MetricsError};
pub use status::{
    ConfigurationStatus, FenceStatus, NodeStatus, StatusBoard, StatusSchedule, UnreadableStatus,
    UpstreamStatus, WorkStatus,
};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        AdminServer, DECISION_TARGET, DecisionLog, DecisionRecord, DecisionWriter, Health, Metrics,
        NodeStatus, StatusBoard, init_logging,
    };
}

//! JSON log lines, metrics and health endpoints.
//!
//! Every daemon logs to its standard output, one JSON object a line, and
//! serves `/livez`, `/readyz` and `/metrics` on its admin address.

mod admin;
mod decision_log;
mod json_line;
mod logging;
mod metrics;

pub use admin::{AdminError, AdminServer, Health, StatusPage};
pub use decision_log::{DecisionLog, DecisionRecord, DecisionWriter};
pub use logging::{DECISION_TARGET, LoggingError, init_logging};
pub use metrics::{Metrics, MetricsError};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        AdminServer, DECISION_TARGET, DecisionLog, DecisionRecord, DecisionWriter, Health, Metrics,
        init_logging,
    };
}

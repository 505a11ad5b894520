//! JSON log lines on standard output.

use crate::json_line::JsonLineEncoder;
use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Root};

/// Target of the log lines that record a routing or placement decision.
pub const DECISION_TARGET: &str = "decision";

/// Why logging can't start.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The configuration is inconsistent.
    #[error("logging can't be configured: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// Another logger is in place.
    #[error("logging was started before: {0}")]
    Set(#[from] log::SetLoggerError),
}

/// Starts JSON logging on standard output.
///
/// # Errors
///
/// Returns an error when a logger is in place already.
pub fn init_logging(level: LevelFilter) -> Result<(), LoggingError> {
    let stdout = ConsoleAppender::builder()
        .encoder(Box::new(JsonLineEncoder))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(stdout)))
        .build(Root::builder().appender("stdout").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}

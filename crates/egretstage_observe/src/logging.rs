//! JSON log lines on standard output.

use crate::json_line::JsonLineEncoder;
use crate::line_queue::LineQueue;
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

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
    /// The thread that writes lines can't be started.
    #[error("the log's thread can't be started: {0}")]
    Thread(#[from] std::io::Error),
}

/// Starts JSON logging on standard output, which never blocks who logs.
///
/// # Errors
///
/// Returns an error when a logger is in place already.
pub fn init_logging(level: LevelFilter) -> Result<(), LoggingError> {
    let stdout = QueuedAppender(LineQueue::start(std::io::stdout())?);
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(stdout)))
        .build(Root::builder().appender("stdout").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Encodes records and queues them for standard output.
#[derive(Debug)]
struct QueuedAppender(LineQueue);

impl Append for QueuedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        JsonLineEncoder.encode(&mut line, record)?;
        self.0.push(line.0);
        Ok(())
    }

    fn flush(&self) {
        self.0.flush();
    }
}

//! JSON log lines on standard output.

use crate::json_line::JsonLineEncoder;
use crate::line_queue::LineQueue;
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Target of the log lines that record a decision, such as one on routing or
/// placement.
pub const DECISION_TARGET: &str = "decision";

/// Why logging can't start.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The logger's configuration is inconsistent.
    #[error("invalid logger configuration: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// Another logger is already installed.
    #[error("another logger is already installed: {0}")]
    Set(#[from] log::SetLoggerError),
    /// The thread that writes lines can't be started.
    #[error("can't start the thread that writes log lines: {0}")]
    Thread(#[from] std::io::Error),
}

/// Starts JSON logging on standard output, which never blocks its callers.
///
/// # Errors
///
/// Returns an error when another logger is already installed or the thread that
/// writes lines can't be started.
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

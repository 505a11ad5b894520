//! The arguments of `egretctl`.

use miette::Diagnostic;
use pico_args::Arguments;
use std::ffi::OsString;
use std::path::PathBuf;

/// The text of `--help`.
pub(crate) const HELP: &str = "\
egretctl: checks and publishes egretstage's configuration

Usage:
  egretctl check FILE
  egretctl apply FILE --log URL

Options:
  --log URL    base URL of the platform's log service
  --help       prints this text
  --version    prints the version

Exit codes: 0 done; 1 failed; 2 wrong usage; 3 another change came first.";

/// What the operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Checks a file of records.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Publishes a file of records.
    Apply {
        /// The file.
        file: PathBuf,
        /// Base URL of the log service.
        log_url: String,
    },
}

/// Arguments that can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
#[diagnostic(help("see egretctl --help"))]
pub struct UsageError {
    message: String,
}

impl UsageError {
    fn new(message: &impl ToString) -> Self {
        Self {
            message: message.to_string(),
        }
    }
}

/// Parses the arguments.
pub(crate) fn parse(args: Vec<OsString>) -> Result<Command, UsageError> {
    let mut args = Arguments::from_vec(args);
    if args.contains("--help") {
        return Ok(Command::Help);
    }
    if args.contains("--version") {
        return Ok(Command::Version);
    }
    let name = args.subcommand().map_err(|e| UsageError::new(&e))?;
    let command = match name.as_deref() {
        Some("check") => Command::Check {
            file: file(&mut args)?,
        },
        Some("apply") => Command::Apply {
            log_url: args
                .value_from_str("--log")
                .map_err(|e| UsageError::new(&e))?,
            file: file(&mut args)?,
        },
        Some(other) => return Err(UsageError::new(&format!("unknown command {other:?}"))),
        None => return Err(UsageError::new(&"no command given")),
    };
    match args.finish().first() {
        None => Ok(command),
        Some(extra) => Err(UsageError::new(&format!(
            "unexpected argument {}",
            extra.display()
        ))),
    }
}

fn file(args: &mut Arguments) -> Result<PathBuf, UsageError> {
    args.free_from_str().map_err(|e| UsageError::new(&e))
}

//! The operator's command line, `egretctl`.
//!
//! [`run`] parses the arguments, does the work through the platform's log and
//! returns the process's exit code.

mod apply;
mod args;

pub use apply::{Applied, ApplyError, RecordFile, apply, read_records};
pub use args::{Command, UsageError};

use egretstage_platform::HttpAppendLog;
use miette::IntoDiagnostic;
use std::ffi::OsString;
use std::process::ExitCode;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{Applied, Command, RecordFile, apply, run};
}

/// Exit code when a record was refused because another change came first.
pub const EXIT_CONFLICT: u8 = 3;

/// Runs one command.
///
/// # Errors
///
/// Returns what was wrong with the arguments, the file or the log.
pub fn run(args: Vec<OsString>) -> miette::Result<ExitCode> {
    match args::parse(args)? {
        Command::Help => println!("{}", args::HELP),
        Command::Version => println!("egretctl {}", env!("CARGO_PKG_VERSION")),
        Command::Check { file } => {
            let records = read_records(&file)?;
            println!("{} records are valid", records.len());
        }
        Command::Apply { file, log_url } => {
            let records = read_records(&file)?;
            let log = HttpAppendLog::new(&log_url);
            let mut conflict = false;
            for applied in apply(&log, &records).into_diagnostic()? {
                println!("{applied}");
                conflict |= applied.is_conflict();
            }
            if conflict {
                return Ok(ExitCode::from(EXIT_CONFLICT));
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

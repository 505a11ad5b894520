//! The operator's command line.

use std::process::ExitCode;

/// Exit code for arguments that can't be used.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    match egretstage::control::run(std::env::args_os().skip(1).collect()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{e:?}");
            if e.is::<egretstage::control::UsageError>() {
                ExitCode::from(EXIT_USAGE)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}

//! The operator's command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    egretstage::control::run(std::env::args_os().skip(1).collect())
}

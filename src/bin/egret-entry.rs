//! The entry daemon.

use egretstage::daemon_args::daemon_main;
use std::process::ExitCode;

fn main() -> ExitCode {
    daemon_main(
        "egret-entry",
        "takes callers' requests and routes them",
        egretstage::entry::daemon::run,
    )
}

//! The companion daemon.

use egretstage::daemon_args::daemon_main;
use std::process::ExitCode;

fn main() -> ExitCode {
    daemon_main(
        "egret-companion",
        "sends work to the upstream beside it",
        egretstage::companion::daemon::run,
    )
}

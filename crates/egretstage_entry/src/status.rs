//! What an entry shows to operators.

use crate::runners::{LinkState, Runner};
use compact_str::CompactString;
use egretstage_observe::RunnerStatus;

/// Returns an upstream's line of a snapshot.
pub(crate) fn runner_status(runner: &Runner) -> RunnerStatus {
    let link = match runner.link {
        LinkState::Up(_) => "up",
        LinkState::Dialing => "dialing",
        LinkState::Down(_) => "down",
    };
    RunnerStatus {
        instance: runner.instance.clone(),
        zone: runner.zone.clone(),
        service: runner.service.clone(),
        link: link.into(),
        leaving: runner.leaving,
        in_flight: runner.tracker.in_flight(),
        load: *runner.tracker.report(),
    }
}

/// Returns why an entry isn't ready.
pub(crate) fn not_ready_because(
    configured: bool,
    listed: bool,
    stopping: bool,
) -> Vec<CompactString> {
    let causes = [
        (!configured, "the configuration is not complete"),
        (!listed, "the instance list was not read"),
        (stopping, "stopping"),
    ];
    let holds = causes.into_iter().filter(|(holds, _)| *holds);
    holds.map(|(_, cause)| cause.into()).collect()
}

//! The entry's status for operators.

use crate::upstreams::{LinkState, Upstream};
use compact_str::CompactString;
use egretstage_observe::UpstreamStatus;

/// Returns the status of one upstream.
pub(crate) fn upstream_status(upstream: &Upstream) -> UpstreamStatus {
    let link = match upstream.link_state {
        LinkState::Up(_) => "up",
        LinkState::Dialing => "dialing",
        LinkState::Down(_) => "down",
    };
    UpstreamStatus {
        instance: upstream.instance.clone(),
        zone: upstream.zone.clone(),
        service: upstream.service.clone(),
        link: link.into(),
        leaving: upstream.leaving,
        in_flight: upstream.tracker.in_flight(),
        load: *upstream.tracker.report(),
    }
}

/// Returns the reasons why an entry isn't ready.
pub(crate) fn not_ready_reasons(
    configured: bool,
    listed: bool,
    stopping: bool,
) -> Vec<CompactString> {
    let reasons = [
        (!configured, "the configuration is not complete"),
        (!listed, "the instance list was not read"),
        (stopping, "stopping"),
    ];
    let applicable = reasons.into_iter().filter(|(applies, _)| *applies);
    applicable.map(|(_, reason)| reason.into()).collect()
}

//! Load pattern: the store refuses this entry while the operator changes the
//! configuration. The other entries' load reports carry the version that each has.

use crate::support::{Harness, configured, report_of, table};
use egretstage_dispatch::{DecisionLine, DispatchEffect};
use std::time::Duration;

/// Returns the log lines with a verb among the effects.
fn lines(effects: &[DispatchEffect], verb: &str) -> Vec<DecisionLine> {
    let lines = effects.iter().filter_map(|effect| match effect {
        DispatchEffect::Log(line) if line.verb == verb => Some((**line).clone()),
        _ => None,
    });
    lines.collect()
}

#[test]
fn the_log_tells_when_an_entry_falls_behind_and_for_how_long() {
    let mut harness = Harness::ready();
    let effects = harness.sim.event(report_of("peer", 1, 4));
    let behind = lines(&effects, "behind");
    assert_eq!(behind.len(), 1);
    assert_eq!(behind[0].configuration, Some(4));
    assert_eq!(
        behind[0].peer.as_ref().map(|peer| peer.as_str()),
        Some("peer")
    );
    let effects = harness.sim.event(report_of("another", 1, 4));
    assert!(lines(&effects, "behind").is_empty(), "known already");
    harness.sim.advance(Duration::from_millis(700));
    let effects = harness.sim.event(configured(table(4, "key")));
    let configure = lines(&effects, "configure");
    assert_eq!(configure[0].behind_ms, Some(700));
    assert_eq!(configure[0].reason, Some("store"));
    let effects = harness.sim.event(configured(table(5, "key")));
    assert_eq!(lines(&effects, "configure")[0].behind_ms, None);
}

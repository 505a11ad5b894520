//! Calls that arrive late in a planned stop, or still run at its end.

use crate::support::{Harness, refused, sent};
use egretstage_dispatch::{DispatchEffect, DispatchEvent, DispatchLimits, RefusalKind};
use std::time::Duration;

/// Timeout of the routes without streams.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns an entry in its planned stop, with this much time left until it ends.
fn stopping(time_left: Duration) -> Harness {
    let mut harness = Harness::ready();
    harness.sim.event(DispatchEvent::Stop);
    let stop_within = DispatchLimits::default().stop_within;
    harness.sim.advance(stop_within.saturating_sub(time_left));
    harness
}

/// Report: requests that came late in the grace were passed on and cut at its end.
#[test]
fn a_call_that_may_outlast_the_stop_is_refused_at_once() {
    for path in ["/book/1", "/look/1"] {
        let mut harness = stopping(TIMEOUT.saturating_sub(Duration::from_millis(100)));
        let (key, effects) = harness.call(path, 3_000);
        assert!(sent(&effects, key).is_none(), "{path}");
        let refusal = refused(&effects, key).expect("a refusal at once");
        assert_eq!(refusal.kind, RefusalKind::Stopping);
        // One whose caller waits for less time is served.
        let (key, effects) = harness.call(path, 1_000);
        assert!(sent(&effects, key).is_some(), "{path}");
        let mut harness = stopping(TIMEOUT + Duration::from_millis(100));
        let (key, effects) = harness.call(path, 3_000);
        assert!(sent(&effects, key).is_some(), "{path}");
    }
}

/// What was taken is answered before the process ends.
#[test]
fn a_call_that_runs_at_the_end_of_the_stop_is_answered() {
    let mut harness = Harness::ready();
    let (running, effects) = harness.call("/draft/1", 8_000);
    assert!(sent(&effects, running).is_some());
    harness.sim.event(DispatchEvent::Stop);
    let limits = DispatchLimits::default();
    let effects = harness
        .sim
        .advance(limits.stop_within + limits.check_interval);
    let refusal = refused(&effects, running).expect("an answer");
    assert_eq!(refusal.kind.status(), 504, "the call may have run");
    let position = |matches: fn(&DispatchEffect) -> bool| effects.iter().position(matches);
    let answered = position(|effect| matches!(effect, DispatchEffect::Refuse { .. }));
    let stopped = position(|effect| matches!(effect, DispatchEffect::Stopped));
    assert!(stopped.is_some() && answered < stopped);
}

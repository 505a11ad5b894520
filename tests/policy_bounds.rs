//! Bounds on the routing policy under load and faults, in virtual time.
//!
//! The bounds come from the service targets: the first token within 0.48 s for
//! 95 % of requests, no starvation of small organisations, and recovery within
//! seconds after an outage.

use egretstage_standins::queueing::{
    Fault, Mechanisms, OUTAGE, PolicyKind, Scenario, booking_site, drafting_site, simulate,
};
use std::time::Duration;

/// Time to the first token that 95 % of requests must meet.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(480);

/// Share of requests that must meet a target.
const TARGET_SHARE: f64 = 0.95;

/// Share of the answers per second before an outage at which the throughput
/// counts as recovered.
const RECOVERED_ANSWER_SHARE: f64 = 0.8;

/// Seeds of the simulated runs.
const SEEDS: [u64; 2] = [1, 2];

/// Simulated time at which a fault or an outage starts.
const FAULT_AT: Duration = Duration::from_secs(25);

fn shortened(scenario: Scenario) -> Scenario {
    Scenario {
        warm_up: Duration::from_secs(10),
        duration: Duration::from_secs(40),
        ..scenario
    }
}

#[test]
fn below_capacity_first_tokens_meet_the_target_with_late_reports() {
    for seed in SEEDS {
        for report_delay in [100, 1000, 5000].map(Duration::from_millis) {
            let scenario = Scenario {
                report_delay,
                ..shortened(Scenario::steady(drafting_site(), 0.7, seed))
            };
            let metrics = simulate(&scenario, Mechanisms::product());
            assert!(
                metrics.on_time_share() >= TARGET_SHARE,
                "seed {seed}: {metrics:?}"
            );
            assert!(
                metrics.first_token_share_within(FIRST_TOKEN_TARGET) >= TARGET_SHARE,
                "seed {seed}"
            );
        }
    }
}

#[test]
fn bookings_below_capacity_are_on_time_at_one_send_each() {
    for seed in SEEDS {
        let scenario = shortened(Scenario::steady(booking_site(), 0.7, seed));
        let metrics = simulate(&scenario, Mechanisms::product());
        assert!(metrics.on_time_share() >= TARGET_SHARE, "seed {seed}");
        assert!(metrics.sends_per_admitted() <= 1.1, "seed {seed}");
    }
}

#[test]
fn small_organisations_are_not_starved_by_large_ones() {
    for seed in SEEDS {
        let scenario = shortened(Scenario::steady(drafting_site(), 1.5, seed));
        let fair = simulate(&scenario, Mechanisms::product());
        assert!(fair.small_on_time_share() >= TARGET_SHARE, "seed {seed}");
        let unfair = simulate(
            &scenario,
            Mechanisms::without_limits(PolicyKind::RoundRobin),
        );
        assert!(
            unfair.small_on_time_share() < 0.5,
            "seed {seed}: round robin must starve small organisations"
        );
    }
}

#[test]
fn a_run_repeats_exactly() {
    let scenario = shortened(Scenario::steady(drafting_site(), 1.0, SEEDS[0]));
    let first = simulate(&scenario, Mechanisms::product());
    assert_eq!(first, simulate(&scenario, Mechanisms::product()));
}

#[test]
fn a_slow_or_failed_upstream_costs_few_requests() {
    let faults = [
        Fault::SlowUpstream {
            upstream: 1,
            factor: 10.0,
        },
        Fault::UpstreamFailure { upstream: 1 },
        Fault::ZoneOutage { zone: 1 },
    ];
    for seed in SEEDS {
        for fault in faults {
            let scenario = Scenario::steady(drafting_site(), 0.6, seed);
            let scenario = shortened(scenario).with_fault(FAULT_AT, fault);
            let metrics = simulate(&scenario, Mechanisms::product());
            assert!(
                metrics.on_time_share() >= TARGET_SHARE,
                "seed {seed}, {fault:?}"
            );
        }
    }
}

#[test]
fn after_an_outage_the_on_time_share_recovers_within_seconds() {
    let end = FAULT_AT + OUTAGE;
    for seed in SEEDS {
        let scenario = Scenario::steady(drafting_site(), 0.8, seed);
        let scenario = shortened(scenario).with_outage(FAULT_AT);
        let metrics = simulate(&scenario, Mechanisms::product());
        let recovery = metrics.recovery_time(end, TARGET_SHARE);
        let limit = Duration::from_secs(30);
        assert!(
            recovery.is_some_and(|recovery| recovery <= limit),
            "seed {seed}: {recovery:?}"
        );
        let answers_per_second =
            metrics.on_time_per_second_between(Duration::from_secs(10), FAULT_AT);
        let throughput_recovery =
            metrics.throughput_recovery_time(end, RECOVERED_ANSWER_SHARE * answers_per_second);
        let limit = Duration::from_secs(10);
        assert!(
            throughput_recovery.is_some_and(|recovery| recovery <= limit),
            "seed {seed}: {throughput_recovery:?}"
        );
    }
}

//! Bounds on the routing policy under load and faults, in virtual time.
//!
//! The bounds come from the stated target: the first token within 0.48 s for
//! 95 in 100, small organisations not starved, back within seconds.

use egretstage_standins::queueing::{
    Fault, Mechanisms, OUTAGE, PolicyKind, Scenario, booking_site, drafting_site, simulate,
};
use std::time::Duration;

/// Time to the first token that 95 in 100 requests must meet.
const FIRST_TOKEN: Duration = Duration::from_millis(480);

/// Share of requests that must meet a target.
const MOST: f64 = 0.95;

/// Share of the former answers in a second that counts as back.
const MOST_ANSWERS: f64 = 0.8;

/// Seeds of the runs.
const SEEDS: [u64; 2] = [1, 2];

/// Time of the fault in runs with one.
const FAULT_AT: Duration = Duration::from_secs(25);

fn short(scenario: Scenario) -> Scenario {
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
                ..short(Scenario::steady(drafting_site(), 0.7, seed))
            };
            let figures = simulate(&scenario, Mechanisms::product());
            assert!(figures.on_time_share() >= MOST, "seed {seed}: {figures:?}");
            assert!(
                figures.first_token_share_within(FIRST_TOKEN) >= MOST,
                "seed {seed}"
            );
        }
    }
}

#[test]
fn bookings_below_capacity_are_on_time_at_one_send_each() {
    for seed in SEEDS {
        let scenario = short(Scenario::steady(booking_site(), 0.7, seed));
        let figures = simulate(&scenario, Mechanisms::product());
        assert!(figures.on_time_share() >= MOST, "seed {seed}");
        assert!(figures.sends_per_admitted() <= 1.1, "seed {seed}");
    }
}

#[test]
fn small_organisations_are_not_starved_by_large_ones() {
    for seed in SEEDS {
        let scenario = short(Scenario::steady(drafting_site(), 1.5, seed));
        let fair = simulate(&scenario, Mechanisms::product());
        assert!(fair.small_on_time_share() >= MOST, "seed {seed}");
        let unfair = simulate(
            &scenario,
            Mechanisms::without_limits(PolicyKind::RoundRobin),
        );
        assert!(
            unfair.small_on_time_share() < 0.5,
            "the run must starve them: {seed}"
        );
    }
}

#[test]
fn a_run_repeats_exactly() {
    let scenario = short(Scenario::steady(drafting_site(), 1.0, SEEDS[0]));
    let first = simulate(&scenario, Mechanisms::product());
    assert_eq!(first, simulate(&scenario, Mechanisms::product()));
}

#[test]
fn a_straggler_or_a_death_costs_few_requests() {
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
            let scenario = short(scenario).with_fault(FAULT_AT, fault);
            let figures = simulate(&scenario, Mechanisms::product());
            assert!(figures.on_time_share() >= MOST, "seed {seed}, {fault:?}");
        }
    }
}

#[test]
fn after_an_outage_the_share_on_time_is_back_within_seconds() {
    let end = FAULT_AT + OUTAGE;
    for seed in SEEDS {
        let scenario = Scenario::steady(drafting_site(), 0.8, seed);
        let scenario = short(scenario).with_outage(FAULT_AT);
        let figures = simulate(&scenario, Mechanisms::product());
        let back = figures.recovery_time(end, MOST);
        let limit = Duration::from_secs(30);
        assert!(back.is_some_and(|back| back <= limit), "{seed}: {back:?}");
        let before = figures.on_time_per_second_between(Duration::from_secs(10), FAULT_AT);
        let answers = figures.throughput_recovery_time(end, MOST_ANSWERS * before);
        let limit = Duration::from_secs(10);
        assert!(answers.is_some_and(|a| a <= limit), "{seed}: {answers:?}");
    }
}

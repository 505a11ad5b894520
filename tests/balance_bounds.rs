//! Regression bounds of expert balancing, in virtual time.
//!
//! The bounds are the project's targets for drifting demand, relative to full
//! re-planning and to planning with perfect knowledge on the same seed.

use egretstage_balance::LayerShape;
use egretstage_standins::balance_run::{
    BalanceMetrics, Policy, Scenario, run_policy, run_with_known_loads,
};
use egretstage_standins::expert_demand::DemandKind;

/// Upper bound on the bytes that the low-skew preset copies, relative to full
/// re-planning.
const LOW_SKEW_MAX_COPY_SHARE: f64 = 0.1;

/// Lower bound on the low-skew preset's improvement over full re-planning, as a
/// share of the skew difference between full re-planning and perfect knowledge.
const LOW_SKEW_MIN_IMPROVEMENT_SHARE: f64 = 0.5;

/// Upper bound on the bytes that the low-cost preset copies, relative to full
/// re-planning.
const LOW_COST_MAX_COPY_SHARE: f64 = 0.03;

/// Lower bound on the low-cost preset's skew reduction over never moving experts,
/// relative to that of full re-planning.
const LOW_COST_MIN_GAIN_SHARE: f64 = 0.8;

fn small_group(sigma: f64, seed: u64) -> Scenario {
    Scenario {
        shape: LayerShape {
            ranks: 8,
            experts: 64,
            slots_per_rank: 10,
        },
        demand: DemandKind::Drifting,
        sigma,
        seed,
        minutes: 1440,
    }
}

fn large_group(slots_per_rank: u16, sigma: f64) -> Scenario {
    Scenario {
        shape: LayerShape {
            ranks: 128,
            experts: 128,
            slots_per_rank,
        },
        minutes: 360,
        ..small_group(sigma, 1)
    }
}

fn check_low_skew(scenario: &Scenario) {
    let full = run_policy(scenario, Policy::FULL_REPLAN);
    let balanced = run_policy(scenario, Policy::LOW_SKEW);
    let perfect = run_with_known_loads(scenario);
    assert!(balanced.p95_skew <= full.p95_skew, "{balanced:?} {full:?}");
    assert!(
        balanced.gib_per_hour < LOW_SKEW_MAX_COPY_SHARE * full.gib_per_hour,
        "{balanced:?} {full:?}"
    );
    let max_skew =
        full.p95_skew - LOW_SKEW_MIN_IMPROVEMENT_SHARE * (full.p95_skew - perfect.p95_skew);
    assert!(
        balanced.p95_skew <= max_skew,
        "{balanced:?} {full:?} {perfect:?}"
    );
}

fn check_low_cost(scenario: &Scenario) {
    let never = run_policy(scenario, Policy::Never);
    let full = run_policy(scenario, Policy::FULL_REPLAN);
    let balanced = run_policy(scenario, Policy::LOW_COST);
    let gain = |metrics: &BalanceMetrics| never.p95_skew - metrics.p95_skew;
    assert!(
        gain(&balanced) >= LOW_COST_MIN_GAIN_SHARE * gain(&full),
        "{balanced:?} {full:?} {never:?}"
    );
    assert!(
        balanced.gib_per_hour < LOW_COST_MAX_COPY_SHARE * full.gib_per_hour,
        "{balanced:?} {full:?}"
    );
}

#[test]
fn low_skew_holds_at_8_ranks() {
    for seed in 1..=3 {
        check_low_skew(&small_group(0.6, seed));
        check_low_skew(&small_group(1.0, seed));
    }
}

#[test]
fn low_cost_holds_at_8_ranks() {
    for seed in 1..=3 {
        check_low_cost(&small_group(0.6, seed));
        check_low_cost(&small_group(1.0, seed));
    }
}

#[test]
fn low_skew_holds_at_128_ranks() {
    for slots_per_rank in [2, 3] {
        check_low_skew(&large_group(slots_per_rank, 0.6));
        check_low_skew(&large_group(slots_per_rank, 1.0));
    }
}

#[test]
fn low_cost_holds_at_128_ranks() {
    for slots_per_rank in [2, 3] {
        check_low_cost(&large_group(slots_per_rank, 0.6));
        check_low_cost(&large_group(slots_per_rank, 1.0));
    }
}

#[test]
fn a_run_repeats_exactly() {
    let mut scenario = small_group(0.6, 7);
    scenario.minutes = 60;
    assert_eq!(
        run_policy(&scenario, Policy::LOW_SKEW),
        run_policy(&scenario, Policy::LOW_SKEW)
    );
}

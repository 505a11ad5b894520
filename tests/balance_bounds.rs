//! Regression bounds of the expert balance, in virtual time.
//!
//! The bounds are the project's aims for drifting demand, relative to full
//! re-planning and to perfect knowledge on the same seed.

use egretstage_balance::LayerShape;
use egretstage_standins::balance_run::{
    BalanceMetrics, Policy, Scenario, run_policy, run_with_known_loads,
};
use egretstage_standins::expert_demand::DemandKind;

/// Largest part of full re-planning's bytes with the preset for low skew.
const LOW_SKEW_BYTES: f64 = 0.1;

/// Least part of the way from full re-planning to perfect knowledge.
const LOW_SKEW_WAY: f64 = 0.5;

/// Largest part of full re-planning's bytes with the preset for low cost.
const LOW_COST_BYTES: f64 = 0.03;

/// Least part of the gain of full re-planning over never moving.
const LOW_COST_GAIN: f64 = 0.8;

fn small(sigma: f64, seed: u64) -> Scenario {
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

fn large(slots_per_rank: u16, sigma: f64) -> Scenario {
    Scenario {
        shape: LayerShape {
            ranks: 128,
            experts: 128,
            slots_per_rank,
        },
        minutes: 360,
        ..small(sigma, 1)
    }
}

fn check_low_skew(scenario: &Scenario) {
    let full = run_policy(scenario, Policy::FULL_REPLAN);
    let ours = run_policy(scenario, Policy::LOW_SKEW);
    let best = run_with_known_loads(scenario);
    assert!(ours.p95_skew <= full.p95_skew, "{ours:?} {full:?}");
    assert!(
        ours.gib_per_hour < LOW_SKEW_BYTES * full.gib_per_hour,
        "{ours:?} {full:?}"
    );
    let half_way = full.p95_skew - LOW_SKEW_WAY * (full.p95_skew - best.p95_skew);
    assert!(ours.p95_skew <= half_way, "{ours:?} {full:?} {best:?}");
}

fn check_low_cost(scenario: &Scenario) {
    let never = run_policy(scenario, Policy::Never);
    let full = run_policy(scenario, Policy::FULL_REPLAN);
    let ours = run_policy(scenario, Policy::LOW_COST);
    let gain = |f: &BalanceMetrics| never.p95_skew - f.p95_skew;
    assert!(
        gain(&ours) >= LOW_COST_GAIN * gain(&full),
        "{ours:?} {full:?} {never:?}"
    );
    assert!(
        ours.gib_per_hour < LOW_COST_BYTES * full.gib_per_hour,
        "{ours:?} {full:?}"
    );
}

#[test]
fn low_skew_holds_at_8_ranks() {
    for seed in 1..=3 {
        check_low_skew(&small(0.6, seed));
        check_low_skew(&small(1.0, seed));
    }
}

#[test]
fn low_cost_holds_at_8_ranks() {
    for seed in 1..=3 {
        check_low_cost(&small(0.6, seed));
        check_low_cost(&small(1.0, seed));
    }
}

#[test]
fn low_skew_holds_at_128_ranks() {
    for slots_per_rank in [2, 3] {
        check_low_skew(&large(slots_per_rank, 0.6));
        check_low_skew(&large(slots_per_rank, 1.0));
    }
}

#[test]
fn low_cost_holds_at_128_ranks() {
    for slots_per_rank in [2, 3] {
        check_low_cost(&large(slots_per_rank, 0.6));
        check_low_cost(&large(slots_per_rank, 1.0));
    }
}

#[test]
fn a_run_repeats_exactly() {
    let mut scenario = small(0.6, 7);
    scenario.minutes = 60;
    assert_eq!(
        run_policy(&scenario, Policy::LOW_SKEW),
        run_policy(&scenario, Policy::LOW_SKEW)
    );
}

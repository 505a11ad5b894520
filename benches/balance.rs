//! Measures the step skew and the copied bytes of each balancing policy in virtual time.
//!
//! Every run gives the same results. An argument selects the demands whose name
//! contains it, as in `cargo bench --bench balance -- drifting`.

use egretstage_balance::{BalanceTradeoff, LayerShape, Sharing};
use egretstage_standins::balance_run::{
    BalanceMetrics, Policy, SKEW_BOUND, Scenario, run_policy, run_with_known_loads,
};
use egretstage_standins::expert_demand::DemandKind;
use std::thread;

const MINUTES_PER_DAY: usize = 1440;

/// Seed of every demand.
const SEED: u64 = 1;

/// The policies of the table with their names.
const POLICIES: [(&str, Policy); 8] = [
    ("never move", Policy::Never),
    ("full re-plan, 15 min", Policy::FULL_REPLAN),
    ("full re-plan, 1 min", Policy::FullReplan { every: 1 }),
    ("greedy swaps, 15 min", Policy::GreedySwaps),
    ("shares only, 1 min", Policy::SHARES_ONLY),
    ("low-skew preset", Policy::LOW_SKEW),
    ("low-cost preset", Policy::LOW_COST),
    (
        "low-skew, even shares",
        Policy::Incremental {
            tradeoff: BalanceTradeoff::LOW_SKEW,
            sharing: Sharing::Even,
        },
    ),
];

fn shape(ranks: u16, experts: u16, spare: u16) -> LayerShape {
    LayerShape {
        ranks,
        experts,
        slots_per_rank: experts / ranks + spare,
    }
}

fn main() {
    let name_filters: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with("--"))
        .collect();
    let shapes = [shape(8, 64, 2), shape(128, 128, 1), shape(128, 128, 2)];
    for demand in [DemandKind::Drifting, DemandKind::Steady, DemandKind::Flash] {
        if !name_filters.is_empty()
            && !name_filters
                .iter()
                .any(|filter| demand.to_string().contains(filter))
        {
            continue;
        }
        for shape in shapes {
            for sigma in [0.6, 1.0] {
                print_table(&Scenario {
                    shape,
                    demand,
                    sigma,
                    seed: SEED,
                    minutes: MINUTES_PER_DAY,
                });
            }
        }
    }
}

fn print_table(scenario: &Scenario) {
    let (perfect, rows) = thread::scope(|scope| {
        let rows = POLICIES
            .map(|(name, policy)| (name, scope.spawn(move || run_policy(scenario, policy))));
        let perfect = run_with_known_loads(scenario);
        let join_row =
            |(name, row): (_, thread::ScopedJoinHandle<_>)| (name, row.join().expect("a run ends"));
        (perfect, rows.map(join_row))
    });
    let LayerShape {
        ranks,
        experts,
        slots_per_rank,
    } = scenario.shape;
    println!(
        "\n{} demand, {ranks} ranks x {experts} experts, {slots_per_rank} slots a rank, sigma {}",
        scenario.demand, scenario.sigma
    );
    println!("| policy | mean skew | p95 skew | GiB/h a layer | time above {SKEW_BOUND} |");
    println!("|---|---|---|---|---|");
    print_row("perfect knowledge", &perfect);
    for (name, metrics) in &rows {
        print_row(name, metrics);
    }
    if scenario.demand == DemandKind::Drifting {
        print_preset_comparison(&perfect, &rows.map(|(_, metrics)| metrics));
    }
}

fn print_row(name: &str, metrics: &BalanceMetrics) {
    println!(
        "| {name} | {:.3} | {:.3} | {:.2} | {:.1}% |",
        metrics.mean_skew,
        metrics.p95_skew,
        metrics.gib_per_hour,
        metrics.above_bound * 100.0
    );
}

/// Prints how the presets compare with full re-planning every 15 minutes.
fn print_preset_comparison(perfect: &BalanceMetrics, rows: &[BalanceMetrics; 8]) {
    let [never, full, _, _, _, low_skew, low_cost, _] = rows;
    let low_skew_gain = (full.p95_skew - low_skew.p95_skew) / (full.p95_skew - perfect.p95_skew);
    let low_cost_gain = (never.p95_skew - low_cost.p95_skew) / (never.p95_skew - full.p95_skew);
    println!(
        "low-skew: {:.0}% of the way from full re-plan to perfect, {:.1}% of its bytes; \
         low-cost: {:.0}% of the gain of full re-plan, {:.1}% of its bytes",
        low_skew_gain * 100.0,
        low_skew.gib_per_hour / full.gib_per_hour * 100.0,
        low_cost_gain * 100.0,
        low_cost.gib_per_hour / full.gib_per_hour * 100.0,
    );
}

//! Step skew and moved bytes of each planner, in virtual time.
//!
//! The figures repeat exactly. Give a word to run the demands whose name
//! holds it, as in `cargo bench --bench balance -- drifting`.

use egretstage_balance::{BalanceTradeoff, LayerShape, Sharing};
use egretstage_standins::balance_run::{
    BalanceMetrics, Policy, SKEW_BOUND, Scenario, run_policy, run_with_known_loads,
};
use egretstage_standins::expert_demand::DemandKind;
use std::thread;

/// Minutes of a day.
const DAY: usize = 1440;

/// Seed of every demand.
const SEED: u64 = 1;

/// The policies of the table, by name.
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
    let words: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with("--"))
        .collect();
    let shapes = [shape(8, 64, 2), shape(128, 128, 1), shape(128, 128, 2)];
    for demand in [DemandKind::Drifting, DemandKind::Steady, DemandKind::Flash] {
        if !words.is_empty() && !words.iter().any(|w| demand.to_string().contains(w)) {
            continue;
        }
        for shape in shapes {
            for sigma in [0.6, 1.0] {
                table(&Scenario {
                    shape,
                    demand,
                    sigma,
                    seed: SEED,
                    minutes: DAY,
                });
            }
        }
    }
}

fn table(scenario: &Scenario) {
    let (best, rows) = thread::scope(|scope| {
        let rows = POLICIES
            .map(|(name, policy)| (name, scope.spawn(move || run_policy(scenario, policy))));
        let best = run_with_known_loads(scenario);
        let join =
            |(name, row): (_, thread::ScopedJoinHandle<_>)| (name, row.join().expect("a run ends"));
        (best, rows.map(join))
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
    line("perfect knowledge", &best);
    for (name, figures) in &rows {
        line(name, figures);
    }
    if scenario.demand == DemandKind::Drifting {
        aims(&best, &rows.map(|(_, figures)| figures));
    }
}

fn line(name: &str, f: &BalanceMetrics) {
    println!(
        "| {name} | {:.3} | {:.3} | {:.2} | {:.1}% |",
        f.mean_skew,
        f.p95_skew,
        f.gib_per_hour,
        f.above_bound * 100.0
    );
}

/// Prints how far the presets come against full re-planning.
fn aims(best: &BalanceMetrics, rows: &[BalanceMetrics; 8]) {
    let [never, full, _, _, _, skew, cost, _] = rows;
    let toward_best = (full.p95_skew - skew.p95_skew) / (full.p95_skew - best.p95_skew);
    let gain = (never.p95_skew - cost.p95_skew) / (never.p95_skew - full.p95_skew);
    println!(
        "low-skew: {:.0}% of the way from full re-plan to perfect, {:.1}% of its bytes; \
         low-cost: {:.0}% of the gain of full re-plan, {:.1}% of its bytes",
        toward_best * 100.0,
        skew.gib_per_hour / full.gib_per_hour * 100.0,
        gain * 100.0,
        cost.gib_per_hour / full.gib_per_hour * 100.0,
    );
}

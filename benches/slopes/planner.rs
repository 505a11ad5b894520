//! Time to plan the expert map of one layer.

use super::measure::print_slope;
use egretstage_balance::{
    BalanceTradeoff, IncrementalPlanner, LayerShape, PlanContext, Planner, Sharing, level_shares,
    replicate_and_pack,
};
use egretstage_standins::balance_run::EXPERT_BYTES;
use egretstage_standins::expert_demand::{DemandKind, ExpertDemand};
use std::time::{Duration, Instant};

/// Minutes of demand for which plans are timed, one plan each.
const PLANNED_MINUTES: usize = 360;

pub(crate) fn print() {
    for (ranks, experts, slots_per_rank) in [(8, 64, 10), (128, 128, 2), (128, 128, 3)] {
        let shape = LayerShape {
            ranks,
            experts,
            slots_per_rank,
        };
        let mut times = plan_times(shape);
        times.sort();
        for (quantile, percent) in [("p50", 50), ("p99", 99), ("largest", 100)] {
            let time = times[(times.len() - 1) * percent / 100];
            let slope = format!(
                "plan of one layer, {ranks} ranks x {experts} experts, {slots_per_rank} slots, {quantile}"
            );
            print_slope(&slope, time.as_secs_f64() * 1e6, "µs");
        }
    }
}

fn plan_times(shape: LayerShape) -> Vec<Duration> {
    let mut demand = ExpertDemand::new(DemandKind::Flash, shape.experts, 1.0, 1);
    let mut planner = IncrementalPlanner::new(BalanceTradeoff::LOW_SKEW, Sharing::Uneven);
    let mut map = replicate_and_pack(shape, &demand.loads());
    let mut times = Vec::with_capacity(PLANNED_MINUTES);
    for _ in 0..PLANNED_MINUTES {
        demand.advance_minute();
        let loads = demand.measure();
        let start = Instant::now();
        let plan = planner.plan(&PlanContext {
            map: &map,
            loads: &loads,
            horizon_loads: &loads,
            expert_bytes: EXPERT_BYTES,
            budget_bytes: u64::MAX,
        });
        times.push(start.elapsed());
        map = level_shares(&plan.target, &loads, Sharing::Uneven);
    }
    times
}

//! Real companions spread hot experts: they measure loads, copy weights
//! through the weight store, and switch all ranks to each new map together.

use egretstage::balance::{ExpertMap, skew};
use egretstage::rebalance::decode_map;
use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::rank_engine::MapSelection;
use egretstage_standins::rank_group::check_steps;
use std::sync::Arc;
use std::time::Duration;

const RANKS: u16 = 4;
const EXPERTS: usize = 16;

/// Two layers, five slots per rank, 32 MiB per expert.
const BALANCE_SETTINGS: &str = "preset = \"low-skew\"\nlayers = 2\nexperts = 16\nslots_per_rank = 5\n\
     expert_mib = 32\nstore_mib_per_s = 1024\ninterval_ms = 200\n";

/// Returns the loads of two layers, each with one hot expert whose load is `factor`
/// times that of each other expert.
fn layer_loads(hot: [usize; 2], factor: f64) -> Vec<Vec<f64>> {
    let layer = |hot| (0..EXPERTS).map(move |i| if i == hot { factor } else { 1.0 });
    hot.into_iter().map(|hot| layer(hot).collect()).collect()
}

/// Returns the largest skew of any layer.
fn max_skew(map: &ExpertMap, loads: &[Vec<f64>]) -> f64 {
    let layers = map.layers.iter().zip(loads);
    layers
        .map(|(map, loads)| skew(&map.rank_loads(loads)))
        .fold(1.0, f64::max)
}

fn start_engines(fleet: &Fleet) -> Arc<RankGroupStandIn> {
    let _guard = fleet.runtime_handle().enter();
    RankGroupStandIn::start(RankGroupOptions {
        ranks: RANKS,
        tick: Duration::from_millis(10),
        map_selection: MapSelection::Granted,
        checks_fences: true,
    })
}

fn start_companion(fleet: &Fleet, engines: &Arc<RankGroupStandIn>, rank: u16) -> Program {
    let upstream = {
        let _guard = fleet.runtime_handle().enter();
        engines.engine(rank).expect("an engine")
    };
    let name = format!("rank-{rank}");
    let placement = Placement {
        instance: &name,
        zone: "west",
        service: "drafting",
        kind: "engine",
        upstream,
    };
    let address = free_address();
    let rank = RankPlacement {
        index: rank,
        ranks: RANKS,
        sender_lock: free_address(),
        advertise: address,
    };
    fleet.balanced_rank_companion(&placement, address, &rank, BALANCE_SETTINGS)
}

/// Waits until the ranks step with a map whose skew under the loads is below
/// 1.1.
fn wait_for_balanced_map(engines: &RankGroupStandIn, loads: &[Vec<f64>]) -> ExpertMap {
    wait_for("a balanced map", || {
        let map = decode_map(&engines.active_map(0)?.bytes).ok()?;
        (max_skew(&map, loads) < 1.1).then_some(map)
    })
}

#[test]
fn hot_experts_are_spread_before_and_after_the_decider_is_killed() {
    let fleet = Fleet::start(programs!());
    let engines = start_engines(&fleet);
    let first_loads = layer_loads([0, 5], 8.0);
    engines.set_expert_loads(first_loads.clone());
    let mut companions: Vec<_> = (0..RANKS)
        .map(|rank| start_companion(&fleet, &engines, rank))
        .collect();

    let map = wait_for_balanced_map(&engines, &first_loads);
    let copies = fleet.store.completed_transfers().len();
    assert!(copies > 0, "no weights were copied for replicas");

    let second_loads = layer_loads([9, 14], 8.0);
    assert!(
        max_skew(&map, &second_loads) > 1.3,
        "the first map must not fit the second loads"
    );
    let decider = companions
        .iter()
        .position(|companion| {
            let lines = companion.log_lines();
            lines
                .iter()
                .any(|line| line["decision"]["skew"].is_number())
        })
        .expect("a companion that plans maps");
    companions[decider].kill();
    engines.set_expert_loads(second_loads.clone());
    let rank = u16::try_from(decider).expect("a rank");
    companions[decider] = start_companion(&fleet, &engines, rank);

    wait_for_balanced_map(&engines, &second_loads);
    assert!(fleet.store.completed_transfers().len() > copies);
    assert_eq!(check_steps(&engines.executed_steps()), Ok(()));
}

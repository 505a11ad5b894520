//! Hot experts are spread by real companions: measured loads, copies through
//! the weight store, and one switch of all ranks for each map.

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

/// Two layers, five slots a rank, an expert of 32 MiB.
const BALANCE: &str = "preset = \"low-skew\"\nlayers = 2\nexperts = 16\nslots_per_rank = 5\n\
     expert_mib = 32\nstore_mib_per_s = 1024\ninterval_ms = 200\n";

/// The loads of two layers, each with one hot expert.
fn loads(hot: [usize; 2], factor: f64) -> Vec<Vec<f64>> {
    let layer = |hot| (0..EXPERTS).map(move |i| if i == hot { factor } else { 1.0 });
    hot.into_iter().map(|hot| layer(hot).collect()).collect()
}

fn worst(map: &ExpertMap, loads: &[Vec<f64>]) -> f64 {
    let of_layer = map.layers.iter().zip(loads);
    of_layer
        .map(|(map, loads)| skew(&map.rank_loads(loads)))
        .fold(1.0, f64::max)
}

fn group(fleet: &Fleet) -> Arc<RankGroupStandIn> {
    let _guard = fleet.runtime_handle().enter();
    RankGroupStandIn::start(RankGroupOptions {
        ranks: RANKS,
        tick: Duration::from_millis(10),
        map_selection: MapSelection::Granted,
        checks_fences: true,
    })
}

fn companion(fleet: &Fleet, engines: &Arc<RankGroupStandIn>, rank: u16) -> Program {
    let upstream = {
        let _guard = fleet.runtime_handle().enter();
        engines.engine(rank).expect("an engine")
    };
    let name = format!("rank-{rank}");
    let place = Placement {
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
    fleet.balanced_rank_companion(&place, address, &rank, BALANCE)
}

/// Waits until the ranks step with a map that is even for the loads.
fn await_even(engines: &RankGroupStandIn, loads: &[Vec<f64>]) -> ExpertMap {
    wait_for("an even map", || {
        let map = decode_map(&engines.active_map(0)?.bytes).ok()?;
        (worst(&map, loads) < 1.1).then_some(map)
    })
}

#[test]
fn hot_experts_are_spread_also_after_the_decider_died() {
    let fleet = Fleet::start(programs!());
    let engines = group(&fleet);
    let first = loads([0, 5], 8.0);
    engines.set_expert_loads(first.clone());
    let mut companions: Vec<_> = (0..RANKS)
        .map(|rank| companion(&fleet, &engines, rank))
        .collect();

    let map = await_even(&engines, &first);
    let copied = fleet.store.completed_transfers().len();
    assert!(copied > 0, "replicas need weights");

    let second = loads([9, 14], 8.0);
    assert!(worst(&map, &second) > 1.3, "the demand has turned");
    let decider = companions
        .iter()
        .position(|companion| {
            let lines = companion.log_lines();
            lines
                .iter()
                .any(|line| line["decision"]["skew"].is_number())
        })
        .expect("a companion that plans");
    companions[decider].kill();
    engines.set_expert_loads(second.clone());
    let rank = u16::try_from(decider).expect("a rank");
    companions[decider] = companion(&fleet, &engines, rank);

    await_even(&engines, &second);
    assert!(fleet.store.completed_transfers().len() > copied);
    assert_eq!(check_steps(&engines.executed_steps()), Ok(()));
}

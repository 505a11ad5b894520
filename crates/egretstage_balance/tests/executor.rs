//! Execution of a plan under refusals, lost ranks and shifting demand.

use egretstage_balance::{
    DropReason, ExecutorEffect, ExecutorEvent, ExecutorLimits, ExpertId, ExpertMap, GroupPlan,
    LayerMap, LayerMove, LayerShape, MapVersion, Move, MoveExecutor, RankId, RawLayerMap, Replica,
    Share, Sharing, TransferId, TransferResult,
};
use egretstage_runtime::VirtualLoop;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use smallvec::{SmallVec, smallvec};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

const EXPERT_BYTES: u64 = 100;

const LIMITS: ExecutorLimits = ExecutorLimits {
    store_bytes_per_second: 100,
    batch_time: Duration::from_secs(2),
    expert_bytes: EXPERT_BYTES,
    max_attempts: 3,
};

/// Returns a map of four ranks with three slots each; experts 0 to 3 have two
/// replicas, experts 4 to 7 have one.
fn map() -> LayerMap {
    let replica = |rank: u16, share| Replica {
        rank: RankId(rank % 4),
        share: Share(share),
    };
    let pair =
        |e: u16| -> SmallVec<[Replica; 4]> { smallvec![replica(e, 5_000), replica(e + 1, 5_000)] };
    let single = |e: u16| -> SmallVec<[Replica; 4]> { smallvec![replica(e, 10_000)] };
    let shape = LayerShape {
        ranks: 4,
        experts: 8,
        slots_per_rank: 3,
    };
    let experts = (0..4).map(pair).chain((4..8).map(single)).collect();
    LayerMap::try_from(RawLayerMap { shape, experts }).unwrap()
}

/// Returns moves of the hot expert 4 to ranks 1, 2 and 3.
fn moves() -> Vec<LayerMove> {
    let layer_move = |rank: u16| LayerMove {
        layer: 0,
        expert_move: Move {
            expert: ExpertId(4),
            rank: RankId(rank),
            replaces: Some(ExpertId(rank)),
        },
    };
    (1..4).map(layer_move).collect()
}

fn hot_loads() -> Vec<Vec<f64>> {
    vec![vec![1.0, 1.0, 1.0, 1.0, 20.0, 1.0, 1.0, 1.0]]
}

fn plan() -> ExecutorEvent {
    ExecutorEvent::Start(Box::new(GroupPlan {
        map: ExpertMap {
            layers: vec![map()],
        },
        loads: hot_loads(),
        moves: moves(),
    }))
}

fn executor() -> VirtualLoop<MoveExecutor> {
    VirtualLoop::new(MoveExecutor::new(LIMITS, Sharing::Uneven, MapVersion(0)))
}

fn transfers(fx: &[ExecutorEffect]) -> Vec<TransferId> {
    let transfer = |e: &ExecutorEffect| match e {
        ExecutorEffect::Transfer { transfer, .. } => Some(*transfer),
        _ => None,
    };
    fx.iter().filter_map(transfer).collect()
}

fn commits(fx: &[ExecutorEffect]) -> Vec<(MapVersion, LayerMap)> {
    let commit = |e: &ExecutorEffect| match e {
        ExecutorEffect::Commit { version, map } => Some((*version, map.layers[0].clone())),
        _ => None,
    };
    fx.iter().filter_map(commit).collect()
}

fn ended(transfer: TransferId, result: TransferResult) -> ExecutorEvent {
    ExecutorEvent::Transferred { transfer, result }
}

/// Starts the plan, commits its first map and returns the requested transfers.
fn start_first_batch(executor: &mut VirtualLoop<MoveExecutor>) -> Vec<TransferId> {
    let fx = executor.event(plan());
    let (version, map) = commits(&fx).remove(0);
    for rank in 1..3 {
        assert!(
            !map.holds(RankId(rank), ExpertId(rank)),
            "a replica to overwrite is still in the map"
        );
        assert!(
            !map.holds(RankId(rank), ExpertId(4)),
            "a replica is in the map before its weights are copied"
        );
    }
    transfers(&executor.event(ExecutorEvent::Committed(version)))
}

#[test]
fn batch_size_follows_from_the_rate_of_the_store() {
    let mut executor = executor();
    let batch = start_first_batch(&mut executor);
    assert_eq!(batch.len(), 2, "2 s at 100 B/s copy two experts of 100 B");
    assert!(
        executor
            .event(ended(batch[0], TransferResult::Done))
            .is_empty()
    );
    let fx = executor.event(ended(batch[1], TransferResult::Done));
    let (version, map) = commits(&fx).remove(0);
    assert!(map.holds(RankId(1), ExpertId(4)) && map.holds(RankId(2), ExpertId(4)));
    let fx = executor.event(ExecutorEvent::Committed(version));
    let (version, _) = commits(&fx).remove(0);
    let batch = transfers(&executor.event(ExecutorEvent::Committed(version)));
    let fx = executor.event(ended(batch[0], TransferResult::Done));
    let (version, map) = commits(&fx).remove(0);
    assert!(map.holds(RankId(3), ExpertId(4)));
    let fx = executor.event(ExecutorEvent::Committed(version));
    assert_eq!(fx, [ExecutorEffect::Finished]);
}

#[test]
fn a_busy_store_receives_later_and_fewer_requests() {
    let mut executor = executor();
    let batch = start_first_batch(&mut executor);
    for transfer in batch {
        assert!(
            executor
                .event(ended(transfer, TransferResult::StoreBusy))
                .is_empty()
        );
    }
    assert!(executor.advance(Duration::from_millis(400)).is_empty());
    let fx = executor.advance(Duration::from_secs(2));
    assert_eq!(
        transfers(&fx).len(),
        1,
        "one transfer at a time after refusals"
    );
}

#[test]
fn no_batch_starts_while_steps_are_near_their_bound() {
    let mut executor = executor();
    let bound = Duration::from_millis(35);
    let step_time = |p95| ExecutorEvent::StepTime { p95, bound };
    executor.event(step_time(Duration::from_millis(34)));
    assert!(executor.event(plan()).is_empty());
    assert!(executor.advance(Duration::from_mins(1)).is_empty());
    executor.event(step_time(Duration::from_millis(20)));
    assert_eq!(commits(&executor.advance(Duration::from_secs(2))).len(), 1);
}

#[test]
fn a_failed_transfer_is_retried_and_then_left_out() {
    let mut executor = executor();
    let batch = start_first_batch(&mut executor);
    executor.event(ended(batch[0], TransferResult::Done));
    for _ in 1..LIMITS.max_attempts {
        let fx = executor.event(ended(batch[1], TransferResult::Failed));
        assert_eq!(transfers(&fx), [batch[1]]);
    }
    let fx = executor.event(ended(batch[1], TransferResult::Failed));
    let (_, map) = commits(&fx).remove(0);
    assert!(map.holds(RankId(1), ExpertId(4)));
    assert!(!map.holds(RankId(2), ExpertId(4)));
}

#[test]
fn remaining_moves_are_dropped_when_demand_shifts() {
    let mut executor = executor();
    let batch = start_first_batch(&mut executor);
    let shifted = vec![vec![1.0, 9.0, 9.0, 9.0, 0.0, 1.0, 1.0, 1.0]];
    let fx = executor.event(ExecutorEvent::Demand(shifted));
    assert_eq!(fx, [ExecutorEffect::Dropped(DropReason::DemandTurned)]);
    executor.event(ended(batch[0], TransferResult::Done));
    let fx = executor.event(ended(batch[1], TransferResult::Done));
    let (version, _) = commits(&fx).remove(0);
    assert!(
        executor.event(ExecutorEvent::Committed(version)).is_empty(),
        "no further batch starts"
    );
}

#[test]
fn a_lost_rank_drops_the_plan_and_gets_no_replica() {
    let mut executor = executor();
    let batch = start_first_batch(&mut executor);
    let fx = executor.event(ExecutorEvent::RankLost(RankId(1)));
    assert_eq!(fx, [ExecutorEffect::Dropped(DropReason::RankLost)]);
    executor.event(ended(batch[0], TransferResult::Done));
    let fx = executor.event(ended(batch[1], TransferResult::Done));
    let (_, map) = commits(&fx).remove(0);
    assert!(!map.holds(RankId(1), ExpertId(4)));
    assert!(map.holds(RankId(2), ExpertId(4)));
}

/// An action of a random run.
#[derive(Clone, Debug)]
enum Action {
    Commit,
    Refuse,
    End(usize, TransferResult),
    LoseRank(u16),
    Demand(Vec<f64>),
    Advance(u64),
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let result = prop_oneof![
        4 => Just(TransferResult::Done),
        1 => Just(TransferResult::StoreBusy),
        1 => Just(TransferResult::Failed),
    ];
    let action = prop_oneof![
        6 => Just(Action::Commit),
        1 => Just(Action::Refuse),
        6 => (0_usize..3, result).prop_map(|(i, r)| Action::End(i, r)),
        1 => (0_u16..4).prop_map(Action::LoseRank),
        1 => prop::collection::vec(0.0..9.0_f64, 8).prop_map(Action::Demand),
        2 => (1_u64..5_000).prop_map(Action::Advance),
    ];
    prop::collection::vec(action, 1..60)
}

/// Returns a configuration that draws the same cases on every run;
/// `PROPTEST_RNG_SEED` draws others.
fn config() -> ProptestConfig {
    let mut config = ProptestConfig::default();
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(1);
    }
    config
}

proptest! {
    #![proptest_config(config())]

    /// Each replica of a committed map was there before or its transfer has
    /// completed, and no replica of a committed map is overwritten.
    #[test]
    fn only_weights_in_place_are_committed(actions in actions()) {
        let mut executor = executor();
        let mut in_place: HashSet<(RankId, ExpertId)> = replicas(&map());
        let mut committed = map();
        let mut pending_commit: Option<(MapVersion, LayerMap)> = None;
        let mut requested: BTreeMap<TransferId, LayerMove> = BTreeMap::new();
        let mut fx = executor.event(plan());
        for action in actions {
            for effect in fx.drain(..) {
                match effect {
                    ExecutorEffect::Commit { version, map } => {
                        let map = map.layers[0].clone();
                        prop_assert!(replicas(&map).is_subset(&in_place));
                        pending_commit = Some((version, map));
                    }
                    ExecutorEffect::Transfer { transfer, target, .. } => {
                        let Move { rank, replaces, .. } = target.expert_move;
                        let overwritten = replaces.unwrap();
                        prop_assert!(!committed.holds(rank, overwritten));
                        in_place.remove(&(rank, overwritten));
                        requested.insert(transfer, target);
                    }
                    ExecutorEffect::Dropped(_) | ExecutorEffect::Finished => {}
                }
            }
            fx = match action {
                Action::Commit => match pending_commit.take() {
                    Some((version, map)) => {
                        committed = map;
                        executor.event(ExecutorEvent::Committed(version))
                    }
                    None => Vec::new(),
                },
                Action::Refuse => match pending_commit.take() {
                    Some((version, _)) => executor.event(ExecutorEvent::CommitRefused(version)),
                    None => Vec::new(),
                },
                Action::End(index, result) => match requested.keys().copied().nth(index) {
                    Some(transfer) => {
                        let expert_move = requested.remove(&transfer).unwrap().expert_move;
                        if result == TransferResult::Done {
                            in_place.insert((expert_move.rank, expert_move.expert));
                        }
                        executor.event(ended(transfer, result))
                    }
                    None => Vec::new(),
                },
                Action::LoseRank(rank) => executor.event(ExecutorEvent::RankLost(RankId(rank))),
                Action::Demand(loads) => executor.event(ExecutorEvent::Demand(vec![loads])),
                Action::Advance(millis) => executor.advance(Duration::from_millis(millis)),
            };
        }
    }
}

fn replicas(map: &LayerMap) -> HashSet<(RankId, ExpertId)> {
    map.iter()
        .flat_map(|(e, replicas)| replicas.iter().map(move |r| (r.rank, e)))
        .collect()
}

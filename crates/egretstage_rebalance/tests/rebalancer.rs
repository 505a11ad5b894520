//! A rebalancer with a decider and a weight store that answer at once, or not.

use egretstage_balance::{
    BalanceTrade, ExecutorLimits, ExpertMap, LayerShape, RankId, Sharing, TransferId,
    TransferResult, skew,
};
use egretstage_rebalance::prelude::*;
use egretstage_runtime::VirtualLoop;
use std::time::{Duration, Instant};

const MINUTE: Duration = Duration::from_mins(1);

fn settings() -> RebalanceSettings {
    RebalanceSettings {
        shape: LayerShape {
            ranks: 8,
            experts: 64,
            slots_per_rank: 10,
        },
        layers: 2,
        trade: BalanceTrade::LOW_SKEW,
        sharing: Sharing::Uneven,
        executor: ExecutorLimits {
            store_bytes_per_second: 1 << 30,
            batch_time: Duration::from_secs(1),
            expert_bytes: 88 << 20,
            max_attempts: 3,
        },
        interval: MINUTE,
        relaxation: Duration::from_hours(8),
        level_gain_points: 0.5,
    }
}

fn start() -> VirtualLoop<Rebalancer> {
    let settings = settings();
    let map = Rebalancer::initial_map(&settings);
    VirtualLoop::new(Rebalancer::new(Instant::now(), settings, map))
}

/// Loads of both layers: the first experts are hot.
fn hot(experts: usize, factor: f64) -> Vec<LayerLoads> {
    let loads = (0..64).map(|i| if i < experts { factor } else { 1.0 });
    vec![LayerLoads(loads.collect()); 2]
}

fn measure(run: &mut VirtualLoop<Rebalancer>, layers: &[LayerLoads]) -> Vec<RebalanceEffect> {
    let mut effects = run.advance(MINUTE);
    effects.extend(run.event(RebalanceEvent::LoadsMeasured {
        interval: MINUTE,
        layers: layers.to_vec(),
    }));
    effects
}

/// What a world that answers everything did.
#[derive(Default)]
struct Answered {
    maps: Vec<ExpertMap>,
    transfers: Vec<(TransferId, RankId)>,
    steps: Vec<RebalanceAction>,
}

/// Answers each offer with its commit and each transfer with its end.
fn answer_all(run: &mut VirtualLoop<Rebalancer>, mut effects: Vec<RebalanceEffect>) -> Answered {
    let mut answered = Answered::default();
    while !effects.is_empty() {
        let mut next = Vec::new();
        for effect in effects {
            match effect {
                RebalanceEffect::Offer { offer, map } => {
                    answered.maps.push(*map);
                    next.extend(run.event(RebalanceEvent::Committed(offer)));
                }
                RebalanceEffect::Transfer {
                    transfer, target, ..
                } => {
                    answered.transfers.push((transfer, target.step.rank));
                    let result = TransferResult::Done;
                    next.extend(run.event(RebalanceEvent::Transferred { transfer, result }));
                }
                RebalanceEffect::Log(line) => answered.steps.push(line.step),
            }
        }
        effects = next;
    }
    answered
}

fn worst(map: &ExpertMap, layers: &[LayerLoads]) -> f64 {
    let of_layer = map.layers.iter().zip(layers);
    of_layer
        .map(|(map, loads)| skew(&map.rank_loads(&loads.0)))
        .fold(1.0, f64::max)
}

#[test]
fn even_demand_moves_nothing() {
    let mut run = start();
    let loads = hot(0, 1.0);
    for _ in 0..10 {
        let effects = measure(&mut run, &loads);
        let answered = answer_all(&mut run, effects);
        assert!(answered.maps.is_empty());
        assert_eq!(answered.steps, [RebalanceAction::Keep]);
    }
}

#[test]
fn hot_experts_are_spread_and_each_copy_is_in_place_before_it_is_offered() {
    let mut run = start();
    let loads = hot(5, 20.0);
    let before = worst(&Rebalancer::initial_map(&settings()), &loads);
    let mut transfers = 0;
    let mut map = Rebalancer::initial_map(&settings());
    for _ in 0..20 {
        let effects = measure(&mut run, &loads);
        let answered = answer_all(&mut run, effects);
        transfers += answered.transfers.len();
        for offered in answered.maps {
            let added: usize = offered
                .layers
                .iter()
                .zip(&map.layers)
                .map(|(new, old)| new.replicas_added_since(old))
                .sum();
            assert!(added <= transfers, "a replica without weights was offered");
            map = offered;
        }
    }
    let after = worst(&map, &loads);
    assert!(before > 1.2, "the demand is uneven: {before}");
    assert!(after < 1.05, "from {before} to {after}");
}

#[test]
fn nothing_new_is_planned_while_an_offer_is_open() {
    let mut run = start();
    let loads = hot(5, 20.0);
    let first = measure(&mut run, &loads);
    let offers = |effects: &[RebalanceEffect]| {
        let is_offer = |effect: &&RebalanceEffect| matches!(effect, RebalanceEffect::Offer { .. });
        effects.iter().filter(is_offer).count()
    };
    assert_eq!(offers(&first), 1);
    for _ in 0..5 {
        assert_eq!(offers(&measure(&mut run, &loads)), 0);
    }
}

#[test]
fn a_refused_map_leaves_the_one_in_force() {
    let mut run = start();
    let loads = hot(5, 20.0);
    let mut refused = 0;
    for _ in 0..5 {
        for effect in measure(&mut run, &loads) {
            if let RebalanceEffect::Offer { offer, .. } = effect {
                refused += 1;
                let after = run.event(RebalanceEvent::Refused(offer));
                let transfers = after
                    .iter()
                    .any(|e| matches!(e, RebalanceEffect::Transfer { .. }));
                assert!(!transfers);
            }
        }
    }
    assert!(refused >= 4, "a refused plan is made again: {refused}");
}

#[test]
fn a_lost_rank_ends_the_plan() {
    let mut run = start();
    let effects = measure(&mut run, &hot(5, 20.0));
    let committed = effects.iter().find_map(|effect| match effect {
        RebalanceEffect::Offer { offer, .. } => Some(*offer),
        _ => None,
    });
    let offer = committed.expect("a plan vacates first");
    let effects = run.event(RebalanceEvent::Committed(offer));
    let rank = effects.iter().find_map(|effect| match effect {
        RebalanceEffect::Transfer { target, .. } => Some(target.step.rank),
        _ => None,
    });
    let effects = run.event(RebalanceEvent::RankLost(rank.expect("a transfer")));
    let dropped = effects.iter().any(|effect| {
        matches!(effect, RebalanceEffect::Log(line) if line.step == RebalanceAction::DropRankLost)
    });
    assert!(dropped);
}

#[test]
fn a_map_survives_its_bytes() {
    let map = Rebalancer::initial_map(&settings());
    assert_eq!(decode_map(&encode_map(&map)), Ok(map));
    assert!(decode_map(b"nonsense").is_err());
}

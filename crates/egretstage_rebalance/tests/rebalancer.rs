//! Tests a rebalancer with a simulated decider and weight store that reply at
//! once or never.

use egretstage_balance::{
    BalanceTradeoff, ExecutorLimits, ExpertMap, LayerShape, RankId, Sharing, TransferId,
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
        tradeoff: BalanceTradeoff::LOW_SKEW,
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

/// Returns the loads of both layers: `factor` for the first `experts`, 1 for the rest.
fn hot_loads(experts: usize, factor: f64) -> Vec<LayerLoads> {
    let loads = (0..64).map(|i| if i < experts { factor } else { 1.0 });
    vec![LayerLoads(loads.collect()); 2]
}

fn send_loads(
    rebalancer: &mut VirtualLoop<Rebalancer>,
    layers: &[LayerLoads],
) -> Vec<RebalanceEffect> {
    let mut effects = rebalancer.advance(MINUTE);
    effects.extend(rebalancer.event(RebalanceEvent::LoadsMeasured {
        interval: MINUTE,
        layers: layers.to_vec(),
    }));
    effects
}

/// Effects that the simulated decider and weight store have handled.
#[derive(Default)]
struct Handled {
    maps: Vec<ExpertMap>,
    transfers: Vec<(TransferId, RankId)>,
    steps: Vec<RebalanceAction>,
}

/// Commits each offer and completes each transfer, until there are no effects left.
fn handle_all_effects(
    rebalancer: &mut VirtualLoop<Rebalancer>,
    mut effects: Vec<RebalanceEffect>,
) -> Handled {
    let mut handled = Handled::default();
    while !effects.is_empty() {
        let mut next = Vec::new();
        for effect in effects {
            match effect {
                RebalanceEffect::Offer { offer, map } => {
                    handled.maps.push(*map);
                    next.extend(rebalancer.event(RebalanceEvent::Committed(offer)));
                }
                RebalanceEffect::Transfer {
                    transfer, target, ..
                } => {
                    handled.transfers.push((transfer, target.expert_move.rank));
                    let result = TransferResult::Done;
                    next.extend(rebalancer.event(RebalanceEvent::Transferred { transfer, result }));
                }
                RebalanceEffect::Log(decision) => handled.steps.push(decision.step),
            }
        }
        effects = next;
    }
    handled
}

fn worst_skew(map: &ExpertMap, layers: &[LayerLoads]) -> f64 {
    let layer_pairs = map.layers.iter().zip(layers);
    layer_pairs
        .map(|(map, loads)| skew(&map.rank_loads(&loads.0)))
        .fold(1.0, f64::max)
}

#[test]
fn even_demand_moves_nothing() {
    let mut rebalancer = start();
    let loads = hot_loads(0, 1.0);
    for _ in 0..10 {
        let effects = send_loads(&mut rebalancer, &loads);
        let handled = handle_all_effects(&mut rebalancer, effects);
        assert!(handled.maps.is_empty());
        assert_eq!(handled.steps, [RebalanceAction::Keep]);
    }
}

#[test]
fn hot_experts_are_spread_and_each_replica_has_its_weights_before_it_is_offered() {
    let mut rebalancer = start();
    let loads = hot_loads(5, 20.0);
    let before = worst_skew(&Rebalancer::initial_map(&settings()), &loads);
    let mut transfers = 0;
    let mut map = Rebalancer::initial_map(&settings());
    for _ in 0..20 {
        let effects = send_loads(&mut rebalancer, &loads);
        let handled = handle_all_effects(&mut rebalancer, effects);
        transfers += handled.transfers.len();
        for offered in handled.maps {
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
    let after = worst_skew(&map, &loads);
    assert!(before > 1.2, "skew before: {before}");
    assert!(after < 1.05, "skew changed from {before} to {after}");
}

#[test]
fn nothing_new_is_planned_while_an_offer_is_pending() {
    let mut rebalancer = start();
    let loads = hot_loads(5, 20.0);
    let first = send_loads(&mut rebalancer, &loads);
    let offers = |effects: &[RebalanceEffect]| {
        let is_offer = |effect: &&RebalanceEffect| matches!(effect, RebalanceEffect::Offer { .. });
        effects.iter().filter(is_offer).count()
    };
    assert_eq!(offers(&first), 1);
    for _ in 0..5 {
        assert_eq!(offers(&send_loads(&mut rebalancer, &loads)), 0);
    }
}

#[test]
fn a_refused_map_leaves_the_active_one() {
    let mut rebalancer = start();
    let loads = hot_loads(5, 20.0);
    let mut refused = 0;
    for _ in 0..5 {
        for effect in send_loads(&mut rebalancer, &loads) {
            if let RebalanceEffect::Offer { offer, .. } = effect {
                refused += 1;
                let after = rebalancer.event(RebalanceEvent::Refused(offer));
                let transfers = after
                    .iter()
                    .any(|e| matches!(e, RebalanceEffect::Transfer { .. }));
                assert!(!transfers);
            }
        }
    }
    assert!(refused >= 4, "maps offered and refused: {refused}");
}

#[test]
fn a_lost_rank_ends_the_plan() {
    let mut rebalancer = start();
    let effects = send_loads(&mut rebalancer, &hot_loads(5, 20.0));
    let first_offer = effects.iter().find_map(|effect| match effect {
        RebalanceEffect::Offer { offer, .. } => Some(*offer),
        _ => None,
    });
    let offer = first_offer.expect("a plan frees slots first");
    let effects = rebalancer.event(RebalanceEvent::Committed(offer));
    let rank = effects.iter().find_map(|effect| match effect {
        RebalanceEffect::Transfer { target, .. } => Some(target.expert_move.rank),
        _ => None,
    });
    let effects = rebalancer.event(RebalanceEvent::RankLost(rank.expect("a transfer")));
    let dropped = effects.iter().any(|effect| {
        matches!(effect, RebalanceEffect::Log(decision) if decision.step == RebalanceAction::DropRankLost)
    });
    assert!(dropped);
}

#[test]
fn a_map_survives_encoding_and_decoding() {
    let map = Rebalancer::initial_map(&settings());
    assert_eq!(decode_map(&encode_map(&map)), Ok(map));
    assert!(decode_map(b"nonsense").is_err());
}

//! Waves of few copies under demand that shifts.

use egretstage_balance::{CopyRoundLimits, EvenMap, ExpertId, mean_skew, plan_copy_round};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RANKS: u16 = 12;
const EXPERTS: u16 = 96;
const LAYERS: usize = 3;

const LIMITS: CopyRoundLimits = CopyRoundLimits {
    copies_per_rank: 1,
    copies_per_layer: 4,
    slots_per_rank: 11,
    min_gain: 0.04,
};

/// Demand in which few experts get most tokens (weights 1/n to the power 1.3).
fn demand(rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut loads: Vec<f64> = (1..=EXPERTS).map(|n| f64::from(n).powf(-1.3)).collect();
    loads.shuffle(rng);
    loads
}

fn check(layers: &[EvenMap], before: &[EvenMap]) {
    let mut made = vec![0; usize::from(RANKS)];
    for (map, old) in layers.iter().zip(before) {
        let (ranks, old) = (map.by_rank(), old.by_rank());
        assert!(
            EvenMap::from_ranks(EXPERTS, &ranks).is_some(),
            "an expert is lost"
        );
        for (rank, held) in ranks.iter().enumerate() {
            assert!(held.len() <= usize::from(LIMITS.slots_per_rank));
            let new = held.iter().filter(|e| !old[rank].contains(e)).count();
            assert!(new <= usize::from(LIMITS.copies_per_layer));
            made[rank] += new;
        }
    }
    assert!(
        made.iter()
            .all(|n| *n <= usize::from(LIMITS.copies_per_rank))
    );
}

/// Load pattern: every shift makes other experts hot, in all layers at once.
#[test]
fn two_waves_after_each_shift_level_the_ranks() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut layers = vec![EvenMap::blocks(RANKS, EXPERTS); LAYERS];
    let mut worst: f64 = 0.0;
    for _ in 0..20 {
        let loads: Vec<_> = (0..LAYERS).map(|_| demand(&mut rng)).collect();
        let before = mean_skew(&layers, &loads);
        for _ in 0..2 {
            if let Some(wave) = plan_copy_round(&layers, &loads, &LIMITS) {
                check(&wave.layers, &layers);
                assert!(wave.skew_after < wave.skew_before);
                layers = wave.layers;
            }
        }
        let after = mean_skew(&layers, &loads);
        assert!(after < before.max(1.5), "{before} to {after}");
        worst = worst.max(after);
    }
    assert!(worst < 1.6, "largest rank load after two waves: {worst}");
}

#[test]
fn one_expert_with_most_of_the_load_is_spread_although_two_ranks_end_as_hot() {
    let layers = vec![EvenMap::blocks(4, 16)];
    let mut loads = vec![5.0; 16];
    loads[0] = 60.0;
    let limits = CopyRoundLimits {
        slots_per_rank: 6,
        ..LIMITS
    };
    let wave = plan_copy_round(&layers, &[loads], &limits).expect("a wave");
    assert!(wave.skew_after < 1.3, "{}", wave.skew_after);
}

#[test]
fn an_idle_or_level_group_is_left_alone() {
    let layers = vec![EvenMap::blocks(RANKS, EXPERTS)];
    let idle = vec![vec![0.0; usize::from(EXPERTS)]];
    let level = vec![vec![1.0; usize::from(EXPERTS)]];
    assert_eq!(plan_copy_round(&layers, &idle, &LIMITS), None);
    assert_eq!(plan_copy_round(&layers, &level, &LIMITS), None);
}

#[test]
fn maps_of_ranks_are_checked() {
    let expert = ExpertId;
    assert!(EvenMap::from_ranks(2, &[vec![expert(0)], vec![expert(1)]]).is_some());
    assert!(EvenMap::from_ranks(2, &[vec![expert(0)], vec![]]).is_none());
    assert!(EvenMap::from_ranks(2, &[vec![expert(0), expert(1), expert(1)]]).is_none());
    assert!(EvenMap::from_ranks(2, &[vec![expert(0), expert(1)], vec![expert(2)]]).is_none());
}

/// The largest group that is planned for keeps within the limits too.
#[test]
fn random_shapes_keep_every_expert() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    for _ in 0..30 {
        let ranks: u16 = rng.random_range(2..32);
        let experts = ranks * rng.random_range(1..5);
        let slots = experts.div_ceil(ranks) + rng.random_range(0..3);
        let limits = CopyRoundLimits {
            copies_per_rank: rng.random_range(1..4),
            slots_per_rank: slots,
            ..LIMITS
        };
        let mut layers = vec![EvenMap::blocks(ranks, experts)];
        for _ in 0..4 {
            let loads: Vec<f64> = (0..experts).map(|_| rng.random_range(0.0..9.0)).collect();
            let Some(wave) = plan_copy_round(&layers, &[loads], &limits) else {
                continue;
            };
            let held = wave.layers[0].by_rank();
            assert!(EvenMap::from_ranks(experts, &held).is_some());
            assert!(held.iter().all(|held| held.len() <= usize::from(slots)));
            layers = wave.layers;
        }
    }
}

//! Groups of 64 and 128 ranks behind links of 6 Mbit/s.
//!
//! Load pattern: all ranks report to one companion, which sends heartbeats and
//! maps to all of them. Effect: datagrams are late or lost at its link, and
//! other companions take over from a decider that is alive. Policy, which these
//! tests check: the decider uses at most the capacity of its link, a single
//! claim suffices unless the decider fails, and a successor acts before engines
//! cut off requests.

use crate::REQUEST_CUTOFF;
use crate::engine::GroupSize;
use crate::link::Link;
use crate::simulation::{Faults, Simulation};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// The users' large groups.
const LARGE: GroupSize = GroupSize {
    ranks: 64,
    layers: 12,
    experts: 256,
    copy_time: Duration::from_millis(38),
};

/// Groups of the target size.
const TARGET: GroupSize = GroupSize {
    ranks: 128,
    layers: 12,
    experts: 128,
    copy_time: Duration::from_millis(38),
};

/// The users' initial groups.
const FIRST: GroupSize = GroupSize {
    ranks: 12,
    layers: 3,
    experts: 96,
    copy_time: Duration::from_millis(98),
};

/// The users' groups after growth.
const GROWN: GroupSize = GroupSize {
    ranks: 24,
    layers: 16,
    experts: 96,
    copy_time: Duration::from_millis(76),
};

/// Largest share of its link that the decider may use while nothing changes.
const STEADY_SHARE: f64 = 0.6;

fn simulation(size: GroupSize, seed: u64) -> Simulation {
    let mut sim = Simulation::with_size(size, seed, true, false);
    sim.link = Some(Link::NARROW);
    sim
}

/// Simulates a group whose demand shifts.
fn run_shifts(size: GroupSize, seed: u64, faults: Faults) -> Simulation {
    let mut sim = simulation(size, seed);
    sim.faults = faults;
    sim.run_for(4 * SECOND);
    for hot in [9, 77, 30] {
        sim.group.shift_demand(hot);
        sim.run_for(3 * SECOND);
    }
    sim
}

#[test]
fn one_claim_suffices_and_maps_switch_with_64_ranks() {
    let sim = run_shifts(LARGE, 1, Faults::default());
    assert_eq!(sim.claims.len(), 1, "claims without a fault");
    let switches = sim.group.switches;
    assert!(switches >= 3, "{switches} switches for three shifts");
}

#[test]
fn one_claim_suffices_and_maps_switch_with_128_ranks() {
    for seed in [2, 3, 5] {
        let sim = run_shifts(TARGET, seed, Faults::default());
        assert_eq!(sim.claims.len(), 1, "seed {seed}: claims without a fault");
        let switches = sim.group.switches;
        assert!(
            switches >= 3,
            "seed {seed}: {switches} switches for three shifts"
        );
    }
}

#[test]
fn one_claim_suffices_while_datagrams_are_lost() {
    let faults = Faults {
        lost_datagrams: 0.03,
        ..Faults::default()
    };
    let sim = run_shifts(LARGE, 3, faults);
    assert_eq!(sim.claims.len(), 1, "claims without a fault at the decider");
    assert!(sim.group.switches > 0, "no switch");
}

/// Prints, with `--nocapture`, the rates behind the slopes of `docs/CAPACITY.md`.
#[test]
fn a_steady_decider_uses_a_part_of_its_link() {
    for size in [FIRST, GROWN, LARGE, TARGET] {
        let mut sim = simulation(size, 4);
        sim.run_for(6 * SECOND);
        let decider = sim.decider().expect("a decider");
        let before = sim.bytes(decider);
        sim.run_for(4 * SECOND);
        let after = sim.bytes(decider);
        let link = f64::from(Link::NARROW.bytes_per_s) * 4.0;
        for (direction, bytes) in [
            ("sends", after.0 - before.0),
            ("receives", after.1 - before.1),
        ] {
            let bytes = f64::from(u32::try_from(bytes).expect("a few megabytes"));
            let share = bytes / link;
            let kb_per_s = bytes / 4_000.0;
            println!(
                "a decider of {} ranks {direction} {kb_per_s:.1} KB/s",
                size.ranks
            );
            assert!(
                share <= STEADY_SHARE,
                "a decider of {} ranks {direction} {share:.2} of its link",
                size.ranks
            );
        }
    }
}

#[test]
fn one_blocked_path_causes_no_takeover() {
    let mut sim = simulation(LARGE, 5);
    sim.run_for(6 * SECOND);
    let decider = sim.decider().expect("a decider");
    let receiver = (decider + 1) % 64;
    sim.faults.blocked_path = Some((decider, receiver));
    sim.run_for(3 * SECOND);
    assert_eq!(sim.claims.len(), 1, "takeover because of one blocked path");
}

/// Makes the decider's companion, at the given rank, fail in some way.
type LoseDecider = fn(&mut Simulation, usize);

#[test]
fn a_lost_decider_is_replaced_before_requests_are_cut_off() {
    let lose: [(&str, LoseDecider); 4] = [
        ("killed", Simulation::kill),
        ("frozen", Simulation::freeze),
        ("unable to send", |sim, decider| sim.cut(decider, true)),
        ("unable to receive", |sim, decider| sim.cut(decider, false)),
    ];
    for (how, lose) in lose {
        let mut sim = simulation(LARGE, 6);
        sim.run_for(6 * SECOND);
        let decider = sim.decider().expect("a decider");
        lose(&mut sim, decider);
        let limit = if how == "unable to receive" {
            2 * REQUEST_CUTOFF
        } else {
            REQUEST_CUTOFF
        };
        sim.run_for(limit);
        assert_ne!(
            sim.decider(),
            Some(decider),
            "the decider was {how} and still decides"
        );
        let claims = sim.claims.len();
        assert!(claims <= 3, "{claims} claims after the decider was {how}");
    }
}

//! Groups of 64 and 128 ranks behind links of 6 Mbit/s.
//!
//! Load pattern: all ranks report to one companion, which tells all of them
//! that it lives and what map comes next. Bounds come from the target: the
//! decider uses at most the link that it has, one claim holds without a fault
//! at the decider, and a successor acts before engines cut requests off.

use crate::STALL;
use crate::engine::Size;
use crate::link::Link;
use crate::world::{Faults, World};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// The users' large groups.
const LARGE: Size = Size {
    ranks: 64,
    layers: 12,
    experts: 256,
    copy_time: Duration::from_millis(38),
};

/// The groups of the target.
const TARGET: Size = Size {
    ranks: 128,
    layers: 12,
    experts: 128,
    copy_time: Duration::from_millis(38),
};

/// The users' first groups.
const FIRST: Size = Size {
    ranks: 12,
    layers: 3,
    experts: 96,
    copy_time: Duration::from_millis(98),
};

/// The users' grown groups.
const GROWN: Size = Size {
    ranks: 24,
    layers: 16,
    experts: 96,
    copy_time: Duration::from_millis(76),
};

/// Share of its link that the decider may use while nothing changes.
const STEADY_SHARE: f64 = 0.6;

fn world(size: Size, seed: u64) -> World {
    let mut world = World::of(size, seed, true, false);
    world.link = Some(Link::NARROW);
    world
}

/// Runs a group while its demand shifts, and returns its world.
fn run_shifts(size: Size, seed: u64, faults: Faults) -> World {
    let mut world = world(size, seed);
    world.faults = faults;
    world.run_for(4 * SECOND);
    for hot in [9, 77, 30] {
        world.group.shift(hot);
        world.run_for(3 * SECOND);
    }
    world
}

#[test]
fn one_claim_holds_and_maps_change_with_64_ranks() {
    let world = run_shifts(LARGE, 1, Faults::default());
    assert_eq!(world.claims.len(), 1, "claims without a fault");
    let switches = world.group.switches;
    assert!(switches >= 3, "{switches} switches for three shifts");
}

#[test]
fn one_claim_holds_and_maps_change_with_128_ranks() {
    for seed in [2, 3, 5] {
        let world = run_shifts(TARGET, seed, Faults::default());
        assert_eq!(world.claims.len(), 1, "seed {seed}: claims without a fault");
        let switches = world.group.switches;
        assert!(
            switches >= 3,
            "seed {seed}: {switches} switches for three shifts"
        );
    }
}

#[test]
fn one_claim_holds_while_datagrams_are_lost() {
    let faults = Faults {
        lost_datagrams: 0.03,
        ..Faults::default()
    };
    let world = run_shifts(LARGE, 3, faults);
    assert_eq!(
        world.claims.len(),
        1,
        "claims without a fault at the decider"
    );
    assert!(world.group.switches > 0, "no switch");
}

/// Prints the slopes of `docs/CAPACITY.md` with `--nocapture`.
#[test]
fn a_steady_decider_uses_a_part_of_its_link() {
    for size in [FIRST, GROWN, LARGE, TARGET] {
        let mut world = world(size, 4);
        world.run_for(6 * SECOND);
        let decider = world.decider().expect("a decider");
        let before = world.bytes(decider);
        world.run_for(4 * SECOND);
        let after = world.bytes(decider);
        let link = f64::from(Link::NARROW.bytes_per_s) * 4.0;
        for (what, bytes) in [
            ("sends", after.0 - before.0),
            ("receives", after.1 - before.1),
        ] {
            let bytes = f64::from(u32::try_from(bytes).expect("a few megabytes"));
            let share = bytes / link;
            let kb_per_s = bytes / 4_000.0;
            println!(
                "a decider of {} ranks {what} {kb_per_s:.1} KB/s",
                size.ranks
            );
            assert!(
                share <= STEADY_SHARE,
                "a decider of {} ranks {what} {share:.2} of its link",
                size.ranks
            );
        }
    }
}

#[test]
fn one_rank_that_hears_nothing_changes_no_decider() {
    let mut world = world(LARGE, 5);
    world.run_for(6 * SECOND);
    let decider = world.decider().expect("a decider");
    let deaf = (decider + 1) % 64;
    world.faults.unheard = Some((decider, deaf));
    world.run_for(3 * SECOND);
    assert_eq!(world.claims.len(), 1, "one link made another decider");
}

/// What becomes of a companion.
type Loss = fn(&mut World, usize);

#[test]
fn a_lost_decider_is_replaced_before_requests_are_cut_off() {
    let lose: [(&str, Loss); 4] = [
        ("killed", World::kill),
        ("frozen", World::freeze),
        ("mute", |world, decider| world.cut(decider, true)),
        ("deaf", |world, decider| world.cut(decider, false)),
    ];
    for (how, lose) in lose {
        let mut world = world(LARGE, 6);
        world.run_for(6 * SECOND);
        let decider = world.decider().expect("a decider");
        lose(&mut world, decider);
        let limit = if how == "deaf" { 2 * STALL } else { STALL };
        world.run_for(limit);
        assert_ne!(world.decider(), Some(decider), "{how} and still decides");
        let claims = world.claims.len();
        assert!(claims <= 3, "{claims} claims after the decider was {how}");
    }
}
